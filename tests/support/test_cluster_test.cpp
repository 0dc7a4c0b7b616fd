// The test cluster itself: its processes run, and its checks find each violation that a test causes on
// purpose. Gossip is disabled, so that the tests also cover a fleet without it.
#include "standins/test_cluster.h"

#include <signal.h>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "gtest/gtest.h"

namespace mothrack::testing {
namespace {

using std::chrono::milliseconds;

TestCluster::Options WithoutGossip() {
  TestCluster::Options options;
  options.with_peers = false;
  return options;
}

TEST(TestCluster, SidecarsServeWhileOthersAreKilledPausedAndRestarted) {
  TestCluster cluster(WithoutGossip());
  EXPECT_EQ(cluster.Names("bole-hall-0"), (std::vector<std::string>{"a0", "s0"}));
  EXPECT_EQ(cluster.Names("agents"), (std::vector<std::string>{"a0", "a1", "a2"}));
  EXPECT_TRUE(cluster.Peers("s1").is_null());
  EXPECT_TRUE(cluster.Status("a1").is_object());
  cluster.BeginTraffic();
  std::this_thread::sleep_for(milliseconds(500));
  cluster.Kill("bole-hall-0");
  EXPECT_FALSE(cluster.runs("s0"));
  EXPECT_TRUE(cluster.runs("s3"));
  cluster.Pause("kality-hall");
  std::this_thread::sleep_for(milliseconds(500));
  cluster.Continue("kality-hall");
  cluster.Start("bole-hall-0");
  EXPECT_TRUE(cluster.Status("s0").is_object());
  std::this_thread::sleep_for(milliseconds(500));
  const auto violations = cluster.StopTrafficAndCheck();
  EXPECT_TRUE(violations.empty()) << FirstLines(violations);
  EXPECT_GT(cluster.count(Traffic::Outcome::kServed), 200U);
  EXPECT_GT(cluster.count(Traffic::Outcome::kNotAccepted), 0U);
}

TEST(TestCluster, TrafficBreaksNoRuleDuringAPartitionAndLinkFaults) {
  TestCluster cluster(WithoutGossip());
  cluster.BeginTraffic();
  std::this_thread::sleep_for(milliseconds(300));
  cluster.relay().Partition({{"bole-hall"}});
  std::this_thread::sleep_for(milliseconds(1500));
  cluster.relay().Heal();
  cluster.relay().ChangeFaults("sidecars", "upstreams",
                               [](auto& faults) { faults.delay = milliseconds(30); });
  cluster.relay().ResetConnections("sidecars", "upstreams");
  std::this_thread::sleep_for(milliseconds(700));
  cluster.SetUpstreamState("adama-hall-u0", "leaving");
  std::this_thread::sleep_for(milliseconds(1500));
  const auto violations = cluster.StopTrafficAndCheck();
  EXPECT_TRUE(violations.empty()) << FirstLines(violations) << cluster.relay().Describe();
  EXPECT_GT(cluster.count(Traffic::Outcome::kServed), 200U);
  EXPECT_GT(cluster.relay().counts("sidecars", "upstreams").resets, 0U);
}

// The test violates each of the four rules on purpose: drain, slow start ("cold"), no lost request, and no
// request that runs twice. The cluster must report all of them.
TEST(TestCluster, ReportsViolationsOfAllFourRules) {
  TestCluster cluster(WithoutGossip());
  cluster.BeginTraffic();
  std::this_thread::sleep_for(milliseconds(500));
  // Discovery is cut off: its changes to an upstream don't reach the sidecars, so they keep sending to it.
  cluster.relay().Cut("discovery", "sidecars");
  cluster.SetUpstreamState("adama-hall-u0", "leaving");
  // A restarted upstream has a capacity near zero, so that the requests it gets violate slow start.
  cluster.AnnounceRestart("kality-hall-u0", 0.01);
  std::this_thread::sleep_for(milliseconds(2000));
  // A sidecar is killed without the cluster's knowledge, so that requests in flight there count as lost. It
  // is paused first, and its client sends again once it ended.
  cluster.Signal("s1", SIGSTOP);
  std::this_thread::sleep_for(milliseconds(200));
  cluster.Signal("s1", SIGKILL);
  std::this_thread::sleep_for(milliseconds(300));
  // The first unsafe request of a client is sent a second time, directly to an upstream.
  const std::string upstream = cluster.AddressOf("bole-hall-u1");
  Client again(static_cast<std::uint16_t>(std::stoi(upstream.substr(upstream.find(':') + 1))));
  EXPECT_TRUE(again.Post("/submit/s0-1", "s0-1", "s0-1"));
  const std::string violations = FirstLines(cluster.StopTrafficAndCheck());
  EXPECT_NE(violations.find("rule drain"), std::string::npos) << violations;
  EXPECT_NE(violations.find("rule cold"), std::string::npos) << violations;
  EXPECT_NE(violations.find("was accepted and never answered"), std::string::npos) << violations;
  EXPECT_NE(violations.find("rule twice"), std::string::npos) << violations;
  EXPECT_NE(violations.find("s0-1 ran 2 times"), std::string::npos) << violations;
}

}  // namespace
}  // namespace mothrack::testing
