// Bans survive a temporary disk failure.
#include <cerrno>
#include <csignal>
#include <string>

#include "gtest/gtest.h"
#include "standins/admin_client.h"
#include "standins/peers.h"
#include "support/fault_plan.h"
#include "support/temporary_directory.h"

namespace mothrack::testing {
namespace {

// A ban that the operator API has confirmed holds for the next process too, even if the disk failed at that
// moment.
TEST(Bans, OutliveADiskThatFailsForAWhile) {
  const struct {
    SystemCall call;
    int error;
  } disk_faults[] = {{SystemCall::kWrite, ENOSPC}, {SystemCall::kSync, EIO}, {SystemCall::kRename, ENOSPC}};
  for (const auto& fault : disk_faults) {
    const TemporaryDirectory directory;
    FaultPlanFile plan;
    Upstream first(Upstream::Echo("first"));
    Upstream second(Upstream::Echo("second"));
    Node::Options options;
    options.known = List({Target("u1", first.address()), Target("u2", second.address())});
    options.ops = "127.0.0.1:0";
    options.tmpdir = directory.path();
    const std::string admin_address = "unix:" + directory.File("admin.sock");
    options.operator_file = "[admin]\nlisten = \"" + admin_address + "\"\n";
    options.fault_plan = plan.path();
    {
      Node node(options);
      ASSERT_TRUE(node.Listening() && node.OpsListening());
      CallFaults& faults = plan.plan().Of(fault.call);
      faults.error = fault.error;
      faults.remaining = -1;
      const AdminClient ops(node.ops());
      ASSERT_TRUE(Eventually([&] {
        const auto answer = ops.Put("/ops/upstreams/down", R"({"name": "u1"})");
        return answer && answer->status == 200;
      }));
      EXPECT_TRUE(Eventually([&] {
        return node.log().find(" warning bans_not_kept cause=") != std::string::npos;
      })) << node.log();
      EXPECT_TRUE(AdminClient(admin_address).Get("/v1/status")->body.contains("bans_not_kept"));
      faults.remaining = 0;
      EXPECT_TRUE(Eventually([&] { return node.log().find(" info bans_kept_again\n") != std::string::npos; }))
          << node.log();
      EXPECT_FALSE(AdminClient(admin_address).Get("/v1/status")->body.contains("bans_not_kept"));
      node.Signal(SIGKILL);
      node.Wait();
    }
    Node next(options);
    ASSERT_TRUE(next.Listening());
    for (int i = 0; i < 6; ++i) {
      Client client(next.port());
      const auto response = client.Get("/page/k", "b" + std::to_string(i));
      ASSERT_TRUE(response);
      EXPECT_EQ(response->body(), "second /page/k");
    }
  }
}

}  // namespace
}  // namespace mothrack::testing
