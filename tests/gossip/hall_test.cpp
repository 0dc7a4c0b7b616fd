// The hall itself: what it starts runs, and what it judges by finds what is planted. Without peers, so that
// this stands for a fleet that has none as well.
#include <signal.h>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "gtest/gtest.h"
#include "standins/test_cluster.h"

namespace mothrack::testing {
namespace {

using std::chrono::milliseconds;

TestCluster::Options Alone() {
  TestCluster::Options options;
  options.with_peers = false;
  return options;
}

std::string Joined(const std::vector<std::string>& lines) {
  std::string text;
  for (std::size_t i = 0; i < lines.size() && i < 10; ++i) text += lines[i] + '\n';
  return text;
}

TEST(TestCluster, SidecarsServeWhileOthersAreKilledStoppedAndStartedAnew) {
  TestCluster hall(Alone());
  EXPECT_EQ(hall.Names("bole-hall-0"), (std::vector<std::string>{"a0", "s0"}));
  EXPECT_EQ(hall.Names("agents"), (std::vector<std::string>{"a0", "a1", "a2"}));
  EXPECT_TRUE(hall.Peers("s1").is_null());
  EXPECT_TRUE(hall.Status("a1").is_object());
  hall.BeginTraffic();
  std::this_thread::sleep_for(milliseconds(500));
  hall.Kill("bole-hall-0");
  EXPECT_FALSE(hall.runs("s0"));
  EXPECT_TRUE(hall.runs("s3"));
  hall.Pause("kality-hall");
  std::this_thread::sleep_for(milliseconds(500));
  hall.Continue("kality-hall");
  hall.Start("bole-hall-0");
  EXPECT_TRUE(hall.Status("s0").is_object());
  std::this_thread::sleep_for(milliseconds(500));
  const auto broken = hall.StopTrafficAndCheck();
  EXPECT_TRUE(broken.empty()) << Joined(broken);
  EXPECT_GT(hall.count(Traffic::Outcome::kServed), 200U);
  EXPECT_GT(hall.count(Traffic::Outcome::kNotAccepted), 0U);
}

TEST(TestCluster, TrafficBreaksNoRuleWhileAZoneIsCutOffAndLinksAreBad) {
  TestCluster hall(Alone());
  hall.BeginTraffic();
  std::this_thread::sleep_for(milliseconds(300));
  hall.relay().Partition({{"bole-hall"}});
  std::this_thread::sleep_for(milliseconds(1500));
  hall.relay().Heal();
  hall.relay().ChangeFaults("sidecars", "upstreams", [](auto& faults) { faults.delay = milliseconds(30); });
  hall.relay().ResetConnections("sidecars", "upstreams");
  std::this_thread::sleep_for(milliseconds(700));
  hall.SetUpstreamState("adama-hall-u0", "leaving");
  std::this_thread::sleep_for(milliseconds(1500));
  const auto broken = hall.StopTrafficAndCheck();
  EXPECT_TRUE(broken.empty()) << Joined(broken) << hall.relay().Describe();
  EXPECT_GT(hall.count(Traffic::Outcome::kServed), 200U);
  EXPECT_GT(hall.relay().counts("sidecars", "upstreams").resets, 0U);
}

// What breaks the rules, caused on purpose: each of the four is found.
TEST(TestCluster, JudgesByTheFourRules) {
  TestCluster hall(Alone());
  hall.BeginTraffic();
  std::this_thread::sleep_for(milliseconds(500));
  // Discovery is not heard any more: what it says of an upstream reaches nobody, who therefore sends on
  // there.
  hall.relay().Cut("discovery", "sidecars");
  hall.SetUpstreamState("adama-hall-u0", "leaving");
  // Cold, by an upstream that can do next to nothing.
  hall.AnnounceRestart("kality-hall-u0", 0.01);
  std::this_thread::sleep_for(milliseconds(2000));
  // Killed behind the hall's back: what was under way there is lost. Its client sends again once its stop is
  // over.
  hall.Signal("s1", SIGSTOP);
  std::this_thread::sleep_for(milliseconds(200));
  hall.Signal("s1", SIGKILL);
  std::this_thread::sleep_for(milliseconds(300));
  // A request that a client has sent, the first unsafe one, sent once more past all sidecars.
  const std::string upstream = hall.AddressOf("bole-hall-u1");
  Client again(static_cast<std::uint16_t>(std::stoi(upstream.substr(upstream.find(':') + 1))));
  EXPECT_TRUE(again.Post("/submit/s0-1", "s0-1", "s0-1"));
  const std::string broken = Joined(hall.StopTrafficAndCheck());
  EXPECT_NE(broken.find("rule drain"), std::string::npos) << broken;
  EXPECT_NE(broken.find("rule cold"), std::string::npos) << broken;
  EXPECT_NE(broken.find("was taken and never answered"), std::string::npos) << broken;
  EXPECT_NE(broken.find("rule twice"), std::string::npos) << broken;
  EXPECT_NE(broken.find("s0-1 ran 2 times"), std::string::npos) << broken;
}

}  // namespace
}  // namespace mothrack::testing
