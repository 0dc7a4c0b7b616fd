// Six real sidecars and three agents in three zones that gossip, with traffic through all of them, while
// machines drop, links break and keys change. FLEET_RUNS sets the runs of each test, FLEET_SEED the first
// seed of the links' random faults, FLEET_PROBE_MS the probe interval that all other intervals are scaled by.
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

// A number from the environment.
int NumberFrom(const char* name, int otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::atoi(text);
}

const milliseconds kProbe(NumberFrom("FLEET_PROBE_MS", 200));
constexpr int kMembers = 9;

// From a death until all members know of it: the first probe comes within two rounds over all members; its
// round ends; a suspicion that nobody confirms lasts `longest_suspicion` times `suspicion` rounds; the update
// is disseminated. And a second, because the machine is shared.
const milliseconds kDeathNoticeLimit = (2 * (kMembers - 1) + 1 + 4 * 6 + 5) * kProbe + milliseconds(1000);
// A live member is known again with the next update that reaches any other, or when lost members are probed.
const milliseconds kRejoinLimit = milliseconds(20'000);

class Fleet : public ::testing::TestWithParam<int> {
 protected:
  explicit Fleet(milliseconds probe = kProbe) : cluster_(OptionsOf(probe)) {}

  static TestCluster::Options OptionsOf(milliseconds probe) {
    TestCluster::Options options;
    options.probe = probe;
    options.seed = static_cast<std::uint64_t>(NumberFrom("FLEET_SEED", 1) + GetParam());
    return options;
  }

  void SetUp() override {
    ExpectWithin(
        "all see all", [&] { return cluster_.AllSee("*", "*", "alive"); }, kRejoinLimit);
    cluster_.BeginTraffic();
  }

  void TearDown() override {
    const auto violations = cluster_.StopTrafficAndCheck();
    EXPECT_TRUE(violations.empty()) << FirstLines(violations);
    // A client whose request went to a zone that is cut off waits for the whole of its time.
    EXPECT_GT(cluster_.count(Traffic::Outcome::kServed), 20U);
    std::cout << "traffic: served " << cluster_.count(Traffic::Outcome::kServed) << ", refused "
              << cluster_.count(Traffic::Outcome::kRefused) << ", failed "
              << cluster_.count(Traffic::Outcome::kFailed) << ", not taken "
              << cluster_.count(Traffic::Outcome::kNotAccepted) << ", crossed "
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
    ASSERT_TRUE(took) << "not within " << within.count() << " ms: " << what;
    std::cout << what << ": " << took->count() << " ms" << std::endl;
  }

  std::vector<std::string> Others(const std::vector<std::string>& some) const {
    std::vector<std::string> others;
    for (const std::string& name : cluster_.Names()) {
      if (std::ranges::find(some, name) == some.end()) others.push_back(name);
    }
    return others;
  }

  bool OthersSee(const std::vector<std::string>& some, const std::string& state) const {
    return cluster_.AllSee(Others(some), some, state);
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
  // Only the relay was between them, and all datagrams went through it.
  EXPECT_GT(cluster_.relay().counts("*", "*").delivered, 100U);
  EXPECT_EQ(cluster_.relay().unknown_senders(), 0U);
  std::this_thread::sleep_for(milliseconds(1000));
  EXPECT_EQ(CountAll("died"), 0U);
}

TEST_P(Fleet, AMachineThatDropsIsKnownAsDeadAndComesBackAsAnotherProcess) {
  const std::vector<std::string> machine = {"a0", "s0"};
  ASSERT_EQ(cluster_.Names("bole-hall-0"), machine);
  // Its links end with it: a machine that drops sends no resets.
  cluster_.relay().Partition({{"bole-hall-0"}});
  cluster_.Kill("bole-hall-0");
  ExpectWithin(
      "known as dead by all", [&] { return OthersSee(machine, "dead"); }, kDeathNoticeLimit);
  cluster_.relay().Heal();
  cluster_.Start("bole-hall-0");
  ExpectWithin(
      "back at all", [&] { return cluster_.AllSee("*", "*", "alive"); }, kRejoinLimit);
}

TEST_P(Fleet, AMachineThatIsStoppedIsKnownAsDeadAndRefutesItWhenItGoesOn) {
  const std::vector<std::string> machine = {"a1", "s1"};
  cluster_.Pause("kality-hall-0");
  ExpectWithin(
      "known as dead by all", [&] { return OthersSee(machine, "dead"); }, kDeathNoticeLimit);
  cluster_.Continue("kality-hall-0");
  ExpectWithin(
      "back at all", [&] { return cluster_.AllSee("*", "*", "alive"); }, kRejoinLimit);
}

TEST_P(Fleet, AZoneThatIsCutOffIsKnownOnBothSidesAndHeals) {
  const std::vector<std::string> zone = {"a2", "s2", "s5"};
  cluster_.relay().Partition({{"adama-hall"}});
  ExpectWithin(
      "both sides know",
      [&] { return OthersSee(zone, "dead") && cluster_.AllSee(zone, Others(zone), "dead"); },
      kDeathNoticeLimit + 2 * kProbe * kMembers);
  // The zone that is cut off hears fewer than half of the members that it knew.
  for (const std::string& name : cluster_.Names()) {
    const json peers = cluster_.Peers(name);
    const bool alone = 2 * peers.value("alive", 0) < peers.value("known", 0);
    EXPECT_EQ(alone, std::ranges::find(zone, name) != zone.end())
        << name << ": " << peers.value("alive", 0) << " of " << peers.value("known", 0);
  }
  EXPECT_TRUE(cluster_.AllSee("a2", "s5", "alive")) << "a zone that is cut off still knows itself";
  cluster_.relay().Heal();
  ExpectWithin(
      "healed", [&] { return cluster_.AllSee("*", "*", "alive"); }, kRejoinLimit);
}

// With the default intervals: scaled down, a busy machine alone could miss them.
constexpr milliseconds kDefaultProbe(500);
class UsualFleet : public Fleet {
 protected:
  UsualFleet() : Fleet(kDefaultProbe) {}
};

TEST_P(UsualFleet, LossAndDelayMakeNoFalseDeath) {
  // In each direction; a probe times out after as long.
  cluster_.relay().ChangeFaults("*", "*",
                                [&](auto& faults) { faults.loss = 0.1, faults.delay = milliseconds(100); });
  std::this_thread::sleep_for(kDefaultProbe * 20);
  EXPECT_EQ(CountAll("died"), 0U);
  std::cout << "suspected " << CountAll("suspected") << ", refuted " << CountAll("refuted") << ", indirect "
            << CountAll("indirect") << std::endl;
  EXPECT_GT(cluster_.relay().counts("*", "*").lost, 20U);
  cluster_.relay().ClearFaults();
  ExpectWithin(
      "all see all", [&] { return cluster_.AllSee("*", "*", "alive"); }, kRejoinLimit);
  EXPECT_EQ(CountAll("died"), 0U);
}

TEST_P(Fleet, WhoHasAnotherKeyIsNotHeardAndCounted) {
  cluster_.Kill("s5");
  ExpectWithin(
      "known as dead", [&] { return OthersSee({"s5"}, "dead"); }, kDeathNoticeLimit);
  std::uint64_t before = 0;
  for (const std::string& name : Others({"s5"})) before += Count(name, "unheard");
  cluster_.SetKeys("s5", {TestCluster::Key(7)});
  cluster_.Start("s5");
  std::this_thread::sleep_for(kProbe * 10);
  EXPECT_TRUE(OthersSee({"s5"}, "dead"));
  EXPECT_EQ(cluster_.Peers("s5").value("alive", 0), 1);
  std::uint64_t after = 0;
  for (const std::string& name : Others({"s5"})) after += Count(name, "unheard");
  EXPECT_GT(after, before);
  // With the right key it is heard without a restart.
  cluster_.SetKeys("s5", {TestCluster::Key(0)});
  cluster_.Signal("s5", SIGHUP);
  ExpectWithin(
      "heard", [&] { return cluster_.AllSee("*", "*", "alive"); }, kRejoinLimit);
}

TEST_P(Fleet, KeysChangeUnderWay) {
  const auto unheard = CountAll("unheard");
  const std::vector<std::vector<std::string>> steps = {{TestCluster::Key(0), TestCluster::Key(1)},
                                                       {TestCluster::Key(1), TestCluster::Key(0)},
                                                       {TestCluster::Key(1)}};
  for (const auto& keys : steps) {
    // One after the other, so that both keys are in use for a while.
    for (const std::string& name : cluster_.Names()) {
      cluster_.SetKeys(name, keys);
      cluster_.Signal(name, SIGHUP);
      std::this_thread::sleep_for(milliseconds(50));
    }
    std::this_thread::sleep_for(kProbe * 3);
  }
  std::this_thread::sleep_for(kProbe * 10);
  EXPECT_EQ(CountAll("died"), 0U);
  EXPECT_EQ(CountAll("unheard"), unheard);
  ExpectWithin(
      "all see all", [&] { return cluster_.AllSee("*", "*", "alive"); }, kRejoinLimit);
  // The old key is no longer accepted.
  cluster_.Kill("s5");
  cluster_.SetKeys("s5", {TestCluster::Key(0)});
  cluster_.Start("s5");
  ExpectWithin(
      "counted", [&] { return CountAll("unheard") > unheard; }, kRejoinLimit);
  EXPECT_EQ(cluster_.Peers("s5").value("alive", 0), 1);
}

TEST_P(Fleet, AllStartedAnewAtOnce) {
  cluster_.Kill("*");
  cluster_.Start("*");
  ExpectWithin(
      "all see all", [&] { return cluster_.AllSee("*", "*", "alive"); }, kRejoinLimit);
  for (const std::string& name : cluster_.Names()) {
    EXPECT_EQ(cluster_.Peers(name).value("known", 0), kMembers)
        << name << " counts former processes as members";
  }
  std::this_thread::sleep_for(kProbe * 10);
  EXPECT_TRUE(cluster_.AllSee("*", "*", "alive"));
}

TEST_P(Fleet, AOneWayCutIsNoDeath) {
  const auto indirect = CountAll("indirect");
  cluster_.relay().Cut("s0", "s1");
  std::this_thread::sleep_for(kProbe * 40);
  EXPECT_EQ(CountAll("died"), 0U);
  EXPECT_GT(CountAll("indirect"), indirect);
  EXPECT_GT(cluster_.relay().counts("s0", "s1").cut, 0U);
  cluster_.relay().Restore("s0", "s1");
  ExpectWithin(
      "all see all", [&] { return cluster_.AllSee("*", "*", "alive"); }, kRejoinLimit);
}

INSTANTIATE_TEST_SUITE_P(Runs, Fleet, ::testing::Range(0, NumberFrom("FLEET_RUNS", 1)));
INSTANTIATE_TEST_SUITE_P(Runs, UsualFleet, ::testing::Range(0, NumberFrom("FLEET_RUNS", 1)));

}  // namespace
}  // namespace mothrack::testing
