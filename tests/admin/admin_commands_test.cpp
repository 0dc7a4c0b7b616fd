// Commands of the admin API: reload and drain, and what is rejected.
#include <optional>
#include <string>

#include "admin/admin_fixture.h"
#include "gtest/gtest.h"
#include "standins/admin_client.h"
#include "standins/peers.h"

namespace mothrack::testing {
namespace {

TEST(AdminApi, ReloadAppliesAValidFileAndNamesTheErrorOfAnInvalidOne) {
  const AdminDirectory directory;
  const std::string admin_section = AdminSectionAt(directory.address());
  Node node(DnsOptions(DnsSection(1) + admin_section));
  // Waits until the node has started, since the admin API is its last part to listen.
  ASSERT_EQ(AdminAddressOf(node), directory.address());
  const AdminClient admin(directory.address());
  const auto before = admin.Get("/v1/status");
  ASSERT_TRUE(before);

  node.WriteOperatorFile(DnsSection(1) + "sorckets = 1\n" + admin_section);
  const auto rejected = admin.Post("/v1/reload");
  ASSERT_TRUE(rejected);
  EXPECT_EQ(rejected->status, 409);
  EXPECT_NE(rejected->body["error"].get<std::string>().find("sorckets"), std::string::npos) << rejected->body;
  const auto unchanged = admin.Get("/v1/status");
  ASSERT_TRUE(unchanged);
  EXPECT_EQ(unchanged->body["configuration"]["generation"], 1);
  EXPECT_EQ(unchanged->body["configuration"]["hash"], before->body["configuration"]["hash"]);
  EXPECT_EQ(unchanged->body["configuration"]["refused"]["error"], rejected->body["error"]);

  node.WriteOperatorFile(DnsSection(2) + admin_section);
  const auto accepted = admin.Post("/v1/reload");
  ASSERT_TRUE(accepted);
  EXPECT_EQ(accepted->status, 200);
  const auto after = admin.Get("/v1/status");
  ASSERT_TRUE(after);
  EXPECT_EQ(after->body["configuration"]["generation"], 2);
  EXPECT_NE(after->body["configuration"]["hash"], before->body["configuration"]["hash"]);
  EXPECT_FALSE(after->body["configuration"].contains("refused"));
  EXPECT_EQ(after->body["pools"][0]["upstreams"].size(), 2U);
}

TEST(AdminApi, DrainIsThePlannedStopAndIsReportedMeanwhile) {
  const AdminDirectory directory;
  Node node(DnsOptions(DnsSection(1) + AdminSectionAt(directory.address())));
  // Waits until the node has started, since the admin API is its last part to listen.
  ASSERT_EQ(AdminAddressOf(node), directory.address());
  const AdminClient admin(directory.address());
  const auto answer = admin.Post("/v1/drain");
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->status, 202);
  // The node accepts queries for some tenths of a second more, so the API still answers.
  const auto draining = admin.Get("/v1/status");
  ASSERT_TRUE(draining);
  EXPECT_EQ(draining->body["state"], "draining");
  EXPECT_EQ(node.Wait(), 0);
  EXPECT_FALSE(fs::exists(directory.socket()));
}

TEST(AdminApi, UnknownCommandsAreRejectedAndLogged) {
  const AdminDirectory directory;
  Node node(DnsOptions(DnsSection(1) + AdminSectionAt(directory.address())));
  ASSERT_EQ(AdminAddressOf(node), directory.address());
  const AdminClient admin(directory.address());
  const auto status = [](const std::optional<AdminAnswer>& answer) { return answer ? answer->status : 0; };
  EXPECT_EQ(status(admin.Get("/v1/drain")), 405);
  EXPECT_EQ(status(admin.Post("/v1/status")), 405);
  EXPECT_EQ(status(admin.Get("/v2/status")), 404);
  EXPECT_TRUE(
      Logs(node, " warning command_refused api=admin reason=\"wrong method\" method=GET path=/v1/drain\n"));
  EXPECT_TRUE(Logs(
      node, " warning command_refused api=admin reason=\"unknown command\" method=GET path=/v2/status\n"));
  EXPECT_EQ(status(admin.Raw("POST /v1/reload HTTP/1.1\r\nContent-Length: 9\r\n\r\n123456789")), 413);
  EXPECT_EQ(status(admin.Raw("GET /v1/status HTTP/1.1\r\nX: " + std::string(5000, 'x') + "\r\n\r\n")), 413);
  EXPECT_EQ(status(admin.Raw("\x16\x03\x01 garbage\r\n\r\n")), 0);
  EXPECT_EQ(status(admin.Get("/v1/status")), 200);
}

}  // namespace
}  // namespace mothrack::testing
