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

TEST(AdminApi, AddressNeedsTheTokenWhichIsNeverShown) {
  const AdminDirectory directory;
  const std::string token = "5f1c0a7e9b3d48265f1c0a7e9b3d4826";
  Node node(DnsOptions(DnsSection(1) +
                       AdminSectionAt("127.0.0.1:0", "token_file = \"" + directory.Token(token) + "\"\n")));
  const std::string address = AdminAddressOf(node);
  ASSERT_TRUE(address.starts_with("127.0.0.1:")) << node.log();
  std::string wrong = token;
  wrong.back() = '7';
  for (const std::string& given : {std::string(), wrong, token + "0", token.substr(1), std::string("x")}) {
    const auto rejected = AdminClient(address, given).Post("/v1/drain");
    ASSERT_TRUE(rejected) << given;
    EXPECT_EQ(rejected->status, 401) << given;
    EXPECT_NE(rejected->head.find("WWW-Authenticate: Bearer"), std::string::npos);
  }
  EXPECT_TRUE(Logs(
      node, " warning command_refused api=admin reason=\"no valid token\" method=POST path=/v1/drain\n"));
  const auto authorized = AdminClient(address, token).Get("/v1/status");
  ASSERT_TRUE(authorized);
  EXPECT_EQ(authorized->status, 200);
  EXPECT_EQ(authorized->body["state"], "ready");
  EXPECT_EQ(authorized->body.dump().find(token), std::string::npos);
  EXPECT_EQ(node.log().find(token), std::string::npos);
}

TEST(AdminApi, IdleConnectionsDoNotBlockIt) {
  const AdminDirectory directory;
  Node node(DnsOptions(DnsSection(1) + AdminSectionAt(directory.address())));
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
  Node node(DnsOptions(DnsSection(1) + AdminSectionAt(directory.address())));
  ASSERT_EQ(AdminAddressOf(node), directory.address());
  const AdminClient admin(directory.address());
  int rejected = 0;
  // More calls than a burst may have. How many of the others are served depends on how long the calls take.
  for (int i = 0; i < 200; ++i) {
    const auto answer = admin.Get("/v1/status");
    ASSERT_TRUE(answer) << i;
    ASSERT_TRUE(answer->status == 200 || answer->status == 429) << answer->status;
    if (answer->status == 429) ++rejected;
    if (i == 0) {
      EXPECT_EQ(answer->status, 200);
    }
  }
  EXPECT_GT(rejected, 0);
}

TEST(AdminApi, ReplacesAStaleSocketButNothingElse) {
  const AdminDirectory directory;
  const std::string file = DnsSection(1) + AdminSectionAt(directory.address());
  {
    Node killed(DnsOptions(file));
    ASSERT_EQ(AdminAddressOf(killed), directory.address());
    killed.Signal(SIGKILL);
    killed.Wait();
  }
  ASSERT_TRUE(fs::exists(directory.socket())) << "the killed process left no socket behind";
  Node node(DnsOptions(file));
  ASSERT_EQ(AdminAddressOf(node), directory.address());
  EXPECT_TRUE(AdminClient(directory.address()).Get("/v1/status"));

  Node second(DnsOptions(file));
  EXPECT_EQ(second.Wait(), 1);
  EXPECT_NE(second.log().find("is served by another process"), std::string::npos) << second.log();
  EXPECT_TRUE(AdminClient(directory.address()).Get("/v1/status"))
      << "the second process broke the socket of the first";

  std::ofstream(directory.File("plain")) << "kept";
  Node third(DnsOptions(DnsSection(1) + AdminSectionAt("unix:" + directory.File("plain"))));
  EXPECT_EQ(third.Wait(), 1);
  EXPECT_NE(third.log().find("is not a socket"), std::string::npos) << third.log();
  EXPECT_EQ(fs::file_size(directory.File("plain")), 4U);
}

TEST(AdminSettings, TokenFileMustBeValidAndPrivate) {
  const AdminDirectory directory;
  const auto error_of = [&](const std::string& token_file) {
    Node node(
        DnsOptions(DnsSection(1) + AdminSectionAt("127.0.0.1:0", "token_file = \"" + token_file + "\"\n")));
    EXPECT_EQ(node.Wait(), 1);
    return node.log();
  };
  EXPECT_NE(error_of(directory.File("none")).find("cannot be read"), std::string::npos);
  EXPECT_NE(error_of(directory.Token("5f1c0a7e9b3d48265f1c", 0644))
                .find("accessible to other users; set its mode with chmod 600"),
            std::string::npos);
  EXPECT_NE(error_of(directory.Token("short")).find("is not a valid token"), std::string::npos);
}

}  // namespace
}  // namespace mothrack::testing
