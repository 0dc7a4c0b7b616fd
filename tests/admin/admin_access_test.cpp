// Who may use the admin API: its socket, token and limits.
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <string>

#include "admin/admin_fixture.h"
#include "gtest/gtest.h"
#include "standins/admin_client.h"
#include "standins/peers.h"

namespace mothrack::testing {
namespace {

TEST(AdminApi, AddressNeedsTheTokenAndNeverShowsIt) {
  const AdminDirectory directory;
  const std::string token = "5f1c0a7e9b3d48265f1c0a7e9b3d4826";
  Node node(
      Dns(Resolvers(1) + AdminSectionAt("127.0.0.1:0", "token_file = \"" + directory.Token(token) + "\"\n")));
  const std::string address = AdminAddressOf(node);
  ASSERT_TRUE(address.starts_with("127.0.0.1:")) << node.log();
  std::string wrong = token;
  wrong.back() = '7';
  for (const std::string& given : {std::string(), wrong, token + "0", token.substr(1), std::string("x")}) {
    const auto refused = AdminClient(address, given).Post("/v1/drain");
    ASSERT_TRUE(refused) << given;
    EXPECT_EQ(refused->status, 401) << given;
    EXPECT_NE(refused->head.find("WWW-Authenticate: Bearer"), std::string::npos);
  }
  EXPECT_TRUE(Logs(
      node, " warning command_refused api=admin reason=\"no valid token\" method=POST path=/v1/drain\n"));
  const auto let_in = AdminClient(address, token).Get("/v1/status");
  ASSERT_TRUE(let_in);
  EXPECT_EQ(let_in->status, 200);
  EXPECT_EQ(let_in->body["state"], "ready");
  EXPECT_EQ(let_in->body.dump().find(token), std::string::npos);
  EXPECT_EQ(node.log().find(token), std::string::npos);
}

TEST(AdminApi, IdleConnectionsDoNotBlockIt) {
  const AdminDirectory directory;
  Node node(Dns(Resolvers(1) + AdminSectionAt(directory.address())));
  ASSERT_EQ(AdminAddressOf(node), directory.address());
  const AdminClient admin(directory.address());
  const int idle = admin.Connect();
  ASSERT_GE(idle, 0);
  const int half = admin.Connect();
  ASSERT_EQ(::send(half, "GET /v1/st", 10, MSG_NOSIGNAL), 10);
  const auto answer = admin.Get("/v1/status");
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->status, 200);
  ::close(idle);
  ::close(half);
}

TEST(AdminApi, PollingTooOftenIsRejected) {
  const AdminDirectory directory;
  Node node(Dns(Resolvers(1) + AdminSectionAt(directory.address())));
  ASSERT_EQ(AdminAddressOf(node), directory.address());
  const AdminClient admin(directory.address());
  int refused = 0;
  // More than the burst allowance; how many more pass depends on how long they take.
  for (int i = 0; i < 200; ++i) {
    const auto answer = admin.Get("/v1/status");
    ASSERT_TRUE(answer) << i;
    ASSERT_TRUE(answer->status == 200 || answer->status == 429) << answer->status;
    if (answer->status == 429) ++refused;
    if (i == 0) {
      EXPECT_EQ(answer->status, 200);
    }
  }
  EXPECT_GT(refused, 0);
}

TEST(AdminApi, ReplacesAStaleSocketButNothingElse) {
  const AdminDirectory directory;
  const std::string file = Resolvers(1) + AdminSectionAt(directory.address());
  {
    Node killed(Dns(file));
    ASSERT_EQ(AdminAddressOf(killed), directory.address());
    killed.Signal(SIGKILL);
    killed.Wait();
  }
  ASSERT_TRUE(fs::exists(directory.socket())) << "left behind";
  Node node(Dns(file));
  ASSERT_EQ(AdminAddressOf(node), directory.address());
  EXPECT_TRUE(AdminClient(directory.address()).Get("/v1/status"));

  Node second(Dns(file));
  EXPECT_EQ(second.Wait(), 1);
  EXPECT_NE(second.log().find("is served by another process"), std::string::npos) << second.log();
  EXPECT_TRUE(AdminClient(directory.address()).Get("/v1/status")) << "the first one's socket is still there";

  std::ofstream(directory.File("plain")) << "kept";
  Node third(Dns(Resolvers(1) + AdminSectionAt("unix:" + directory.File("plain"))));
  EXPECT_EQ(third.Wait(), 1);
  EXPECT_NE(third.log().find("is no socket"), std::string::npos) << third.log();
  EXPECT_EQ(fs::file_size(directory.File("plain")), 4U);
}

TEST(AdminSettings, TokenFileMustBeGoodAndPrivate) {
  const AdminDirectory directory;
  const auto error_of = [&](const std::string& token_file) {
    Node node(Dns(Resolvers(1) + AdminSectionAt("127.0.0.1:0", "token_file = \"" + token_file + "\"\n")));
    EXPECT_EQ(node.Wait(), 1);
    return node.log();
  };
  EXPECT_NE(error_of(directory.File("none")).find("cannot be read"), std::string::npos);
  EXPECT_NE(error_of(directory.Token("5f1c0a7e9b3d48265f1c", 0644)).find("open to others; chmod 600"),
            std::string::npos);
  EXPECT_NE(error_of(directory.Token("short")).find("is no token"), std::string::npos);
}

}  // namespace
}  // namespace mothrack::testing
