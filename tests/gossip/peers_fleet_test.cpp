// Tests six real sidecars and three agents in three zones that gossip, with traffic through all of them,
// while machines fail, links break and keys change. FLEET_RUNS sets the number of runs of each test,
// FLEET_SEED the first seed of the links' random faults, FLEET_PROBE_MS the probe interval, by which all
// other intervals are scaled.
#include <signal.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "gtest/gtest.h"
#include "standins/test_cluster.h"

namespace mothrack::testing {
namespace {

using std::chrono::milliseconds;

// Returns a number from the environment, or `fallback` if the variable is not set.
int NumberFrom(const char* name, int fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::atoi(text);
}

const milliseconds kProbeInterval(NumberFrom("FLEET_PROBE_MS", 200));
constexpr int kMembers = 9;

// Maximum time from a death until all members know of it: at most two passes over all members until the first
// probe; the round of that probe; an unconfirmed suspicion, which lasts `max_suspicion_multiplier` (6) times
// `suspicion_multiplier` (4) probe intervals; dissemination of the update. One second is added for the load
// of a shared machine.
const milliseconds kDeathNoticeLimit =
    (2 * (kMembers - 1) + 1 + 4 * 6 + 5) * kProbeInterval + milliseconds(1000);
// Maximum time until a returned member is known: it is known with the next update that reaches another
// member, or when members considered dead are probed.
const milliseconds kRejoinLimit = milliseconds(20'000);

class Fleet : public ::testing::TestWithParam<int> {
 protected:
  explicit Fleet(milliseconds probe_interval = kProbeInterval) : cluster_(OptionsOf(probe_interval)) {}

  static TestCluster::Options OptionsOf(milliseconds probe_interval) {
    TestCluster::Options options;
    options.probe = probe_interval;
    options.seed = static_cast<std::uint64_t>(NumberFrom("FLEET_SEED", 1) + GetParam());
    return options;
  }

  void SetUp() override {
    ExpectWithin(
        "all members see all others alive", [&] { return cluster_.AllSee("*", "*", "alive"); }, kRejoinLimit);
    cluster_.BeginTraffic();
  }

  void TearDown() override {
    const auto violations = cluster_.StopTrafficAndCheck();
    EXPECT_TRUE(violations.empty()) << FirstLines(violations);
    // Few requests suffice: a client whose request went to a partitioned zone waits until its time-out.
    EXPECT_GT(cluster_.count(Traffic::Outcome::kServed), 20U);
    std::cout << "traffic: served " << cluster_.count(Traffic::Outcome::kServed) << ", refused "
              << cluster_.count(Traffic::Outcome::kRefused) << ", failed "
              << cluster_.count(Traffic::Outcome::kFailed) << ", not accepted "
              << cluster_.count(Traffic::Outcome::kNotAccepted) << ", idle close races "
              << cluster_.count(Traffic::Outcome::kIdleCloseRace) << ", lost "
              << cluster_.count(Traffic::Outcome::kLost) << std::endl;
    if (!HasFailure()) return;
    for (const std::string& name : cluster_.Names()) {
      std::cout << name << ": " << cluster_.Peers(name).dump() << '\n' << cluster_.Log(name);
    }
    std::cout << cluster_.relay().Describe();
  }

  void ExpectWithin(const std::string& what, const std::function<bool()>& condition, milliseconds within) {
    const auto took = cluster_.Await(condition, within);
    ASSERT_TRUE(took) << what << " did not happen within " << within.count() << " ms";
    std::cout << what << ": " << took->count() << " ms" << std::endl;
  }

  std::vector<std::string> Others(const std::vector<std::string>& excluded) const {
    std::vector<std::string> others;
    for (const std::string& name : cluster_.Names()) {
      if (std::ranges::find(excluded, name) == excluded.end()) others.push_back(name);
    }
    return others;
  }

  bool OthersSee(const std::vector<std::string>& excluded, const std::string& state) const {
    return cluster_.AllSee(Others(excluded), excluded, state);
  }

  std::uint64_t Count(const std::string& name, const std::string& what) const {
    const json peers = cluster_.Peers(name);
    return peers.is_object() && peers.contains("counts") ? peers["counts"].value(what, std::uint64_t{0}) : 0;
  }
  std::uint64_t CountAll(const std::string& what) const {
    std::uint64_t sum = 0;
    for (const std::string& name : cluster_.Names()) sum += Count(name, what);
    return sum;
  }

  TestCluster cluster_;
};

TEST_P(Fleet, AllSeeAllWithTheirZonesAndRoles) {
  for (const std::string& name : cluster_.Names()) {
    const json peers = cluster_.Peers(name);
    ASSERT_TRUE(peers.is_object()) << name;
    EXPECT_EQ(peers.value("alive", 0), kMembers) << name;
    EXPECT_EQ(peers.value("known", 0), kMembers) << name;
    ASSERT_EQ(peers["members"].size(), static_cast<std::size_t>(kMembers - 1)) << name;
    for (const json& member : peers["members"]) {
      const std::string other = member.value("name", "");
      EXPECT_TRUE(cluster_.MachineOf(other).starts_with(member.value("zone", "?"))) << member;
      EXPECT_EQ(member.value("role", ""), other.starts_with("a") ? "agent" : "sidecar");
    }
  }
  // All datagrams went through the relay.
  EXPECT_GT(cluster_.relay().counts("*", "*").delivered, 100U);
  EXPECT_EQ(cluster_.relay().unknown_senders(), 0U);
  std::this_thread::sleep_for(milliseconds(1000));
  EXPECT_EQ(CountAll("died"), 0U);
}

TEST_P(Fleet, AKilledMachineIsDeclaredDeadAndReturnsAsANewProcess) {
  const std::vector<std::string> machine = {"a0", "s0"};
  ASSERT_EQ(cluster_.Names("bole-hall-0"), machine);
  // Partition its links as well, because a failed machine sends no resets.
  cluster_.relay().Partition({{"bole-hall-0"}});
  cluster_.Kill("bole-hall-0");
  ExpectWithin(
      "declared dead by all other members", [&] { return OthersSee(machine, "dead"); }, kDeathNoticeLimit);
  cluster_.relay().Heal();
  cluster_.Start("bole-hall-0");
  ExpectWithin(
      "alive again for all members", [&] { return cluster_.AllSee("*", "*", "alive"); }, kRejoinLimit);
}

TEST_P(Fleet, AStoppedMachineIsDeclaredDeadAndRefutesItWhenItResumes) {
  const std::vector<std::string> machine = {"a1", "s1"};
  cluster_.Pause("kality-hall-0");
  ExpectWithin(
      "declared dead by all other members", [&] { return OthersSee(machine, "dead"); }, kDeathNoticeLimit);
  cluster_.Continue("kality-hall-0");
  ExpectWithin(
      "alive again for all members", [&] { return cluster_.AllSee("*", "*", "alive"); }, kRejoinLimit);
}

TEST_P(Fleet, APartitionedZoneIsDetectedOnBothSidesAndHeals) {
  const std::vector<std::string> zone = {"a2", "s2", "s5"};
  cluster_.relay().Partition({{"adama-hall"}});
  ExpectWithin(
      "each side declares the other dead",
      [&] { return OthersSee(zone, "dead") && cluster_.AllSee(zone, Others(zone), "dead"); },
      kDeathNoticeLimit + 2 * kProbeInterval * kMembers);
  // In the partitioned zone, fewer than half of the known members are alive.
  for (const std::string& name : cluster_.Names()) {
    const json peers = cluster_.Peers(name);
    const bool alone = 2 * peers.value("alive", 0) < peers.value("known", 0);
    EXPECT_EQ(alone, std::ranges::find(zone, name) != zone.end())
        << name << ": " << peers.value("alive", 0) << " of " << peers.value("known", 0);
  }
  EXPECT_TRUE(cluster_.AllSee("a2", "s5", "alive"))
      << "members of a partitioned zone must still see each other";
  cluster_.relay().Heal();
  ExpectWithin(
      "the partition heals", [&] { return cluster_.AllSee("*", "*", "alive"); }, kRejoinLimit);
}

// A fleet with the default intervals: a busy machine could miss shorter ones even without faults.
constexpr milliseconds kDefaultProbeInterval(500);
class FleetWithDefaultIntervals : public Fleet {
 protected:
  FleetWithDefaultIntervals() : Fleet(kDefaultProbeInterval) {}
};

TEST_P(FleetWithDefaultIntervals, LossAndDelayCauseNoFalseDeath) {
  // The delay applies in each direction, so that a round trip takes as long as the probe timeout.
  cluster_.relay().ChangeFaults("*", "*",
                                [&](auto& faults) { faults.loss = 0.1, faults.delay = milliseconds(100); });
  std::this_thread::sleep_for(kDefaultProbeInterval * 20);
  EXPECT_EQ(CountAll("died"), 0U);
  std::cout << "suspected " << CountAll("suspected") << ", refuted " << CountAll("refuted") << ", indirect "
            << CountAll("indirect") << std::endl;
  EXPECT_GT(cluster_.relay().counts("*", "*").lost, 20U);
  cluster_.relay().ClearFaults();
  ExpectWithin(
      "all members see all others alive", [&] { return cluster_.AllSee("*", "*", "alive"); }, kRejoinLimit);
  EXPECT_EQ(CountAll("died"), 0U);
}

TEST_P(Fleet, DatagramsWithAnotherKeyAreRejectedAndCounted) {
  cluster_.Kill("s5");
  ExpectWithin(
      "s5 declared dead", [&] { return OthersSee({"s5"}, "dead"); }, kDeathNoticeLimit);
  std::uint64_t before = 0;
  for (const std::string& name : Others({"s5"})) before += Count(name, "unheard");
  cluster_.SetKeys("s5", {TestCluster::Key(7)});
  cluster_.Start("s5");
  std::this_thread::sleep_for(kProbeInterval * 10);
  EXPECT_TRUE(OthersSee({"s5"}, "dead"));
  EXPECT_EQ(cluster_.Peers("s5").value("alive", 0), 1);
  std::uint64_t after = 0;
  for (const std::string& name : Others({"s5"})) after += Count(name, "unheard");
  EXPECT_GT(after, before);
  // With the right key its datagrams are accepted without a restart.
  cluster_.SetKeys("s5", {TestCluster::Key(0)});
  cluster_.Signal("s5", SIGHUP);
  ExpectWithin(
      "all members see all others alive", [&] { return cluster_.AllSee("*", "*", "alive"); }, kRejoinLimit);
}

TEST_P(Fleet, KeysAreRotatedWithoutInterruption) {
  const auto unheard = CountAll("unheard");
  const std::vector<std::vector<std::string>> steps = {{TestCluster::Key(0), TestCluster::Key(1)},
                                                       {TestCluster::Key(1), TestCluster::Key(0)},
                                                       {TestCluster::Key(1)}};
  for (const auto& keys : steps) {
    // Change one member after the other, so that both keys are in use at the same time.
    for (const std::string& name : cluster_.Names()) {
      cluster_.SetKeys(name, keys);
      cluster_.Signal(name, SIGHUP);
      std::this_thread::sleep_for(milliseconds(50));
    }
    std::this_thread::sleep_for(kProbeInterval * 3);
  }
  std::this_thread::sleep_for(kProbeInterval * 10);
  EXPECT_EQ(CountAll("died"), 0U);
  EXPECT_EQ(CountAll("unheard"), unheard);
  ExpectWithin(
      "all members see all others alive", [&] { return cluster_.AllSee("*", "*", "alive"); }, kRejoinLimit);
  // The old key is no longer accepted.
  cluster_.Kill("s5");
  cluster_.SetKeys("s5", {TestCluster::Key(0)});
  cluster_.Start("s5");
  ExpectWithin(
      "datagrams with the old key are counted", [&] { return CountAll("unheard") > unheard; }, kRejoinLimit);
  EXPECT_EQ(cluster_.Peers("s5").value("alive", 0), 1);
}

TEST_P(Fleet, AllMembersRestartAtOnce) {
  cluster_.Kill("*");
  cluster_.Start("*");
  ExpectWithin(
      "all members see all others alive", [&] { return cluster_.AllSee("*", "*", "alive"); }, kRejoinLimit);
  for (const std::string& name : cluster_.Names()) {
    EXPECT_EQ(cluster_.Peers(name).value("known", 0), kMembers)
        << name << " counts former processes as members";
  }
  std::this_thread::sleep_for(kProbeInterval * 10);
  EXPECT_TRUE(cluster_.AllSee("*", "*", "alive"));
}

TEST_P(Fleet, AOneWayPartitionCausesNoDeath) {
  const auto indirect = CountAll("indirect");
  cluster_.relay().Cut("s0", "s1");
  std::this_thread::sleep_for(kProbeInterval * 40);
  EXPECT_EQ(CountAll("died"), 0U);
  EXPECT_GT(CountAll("indirect"), indirect);
  EXPECT_GT(cluster_.relay().counts("s0", "s1").cut, 0U);
  cluster_.relay().Restore("s0", "s1");
  ExpectWithin(
      "all members see all others alive", [&] { return cluster_.AllSee("*", "*", "alive"); }, kRejoinLimit);
}

INSTANTIATE_TEST_SUITE_P(Runs, Fleet, ::testing::Range(0, NumberFrom("FLEET_RUNS", 1)));
INSTANTIATE_TEST_SUITE_P(Runs, FleetWithDefaultIntervals, ::testing::Range(0, NumberFrom("FLEET_RUNS", 1)));

}  // namespace
}  // namespace mothrack::testing
