// Six real sidecars and three agents in three places that are peers, with traffic through all of them, while
// machines drop, links break and keys change. FLEET_RUNS sets how many runs of each, FLEET_SEED the first
// seed of the links' chances, FLEET_PROBE_MS the round that all other terms are scaled by.
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

int Set(const char* name, int otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::atoi(text);
}

const milliseconds kProbe(Set("FLEET_PROBE_MS", 200));
constexpr int kMembers = 9;

// From a death to everybody's knowing of it, by the core's terms: the first to probe it does so within two
// rounds over all members; its round ends; a suspicion that nobody confirms lasts `longest_suspicion` times
// `suspicion` rounds; the news go round. And a second for a machine that has other things to do.
const milliseconds kDead = (2 * (kMembers - 1) + 1 + 4 * 6 + 5) * kProbe + milliseconds(1000);
// A live one is known again with the next news that reach anybody, or when the lost are asked.
const milliseconds kBack = milliseconds(20'000);

std::string Joined(const std::vector<std::string>& lines) {
  std::string text;
  for (std::size_t i = 0; i < lines.size() && i < 10; ++i) text += lines[i] + '\n';
  return text;
}

class Fleet : public ::testing::TestWithParam<int> {
 protected:
  explicit Fleet(milliseconds probe = kProbe) : hall_(Of(probe)) {}

  static TestCluster::Options Of(milliseconds probe) {
    TestCluster::Options options;
    options.probe = probe;
    options.seed = static_cast<std::uint64_t>(Set("FLEET_SEED", 1) + GetParam());
    return options;
  }

  void SetUp() override {
    Reaches(
        "all see all", [&] { return hall_.AllSee("*", "*", "alive"); }, kBack);
    hall_.BeginTraffic();
  }

  void TearDown() override {
    const auto broken = hall_.StopTrafficAndCheck();
    EXPECT_TRUE(broken.empty()) << Joined(broken);
    // A client whose request went to a zone that is cut off waits for the whole of its time.
    EXPECT_GT(hall_.count(Traffic::Outcome::kServed), 20U);
    std::cout << "traffic: served " << hall_.count(Traffic::Outcome::kServed) << ", refused "
              << hall_.count(Traffic::Outcome::kRefused) << ", failed "
              << hall_.count(Traffic::Outcome::kFailed) << ", not taken "
              << hall_.count(Traffic::Outcome::kNotAccepted) << ", crossed "
              << hall_.count(Traffic::Outcome::kIdleCloseRace) << ", lost "
              << hall_.count(Traffic::Outcome::kLost) << std::endl;
    if (!HasFailure()) return;
    for (const std::string& name : hall_.Names()) {
      std::cout << name << ": " << hall_.Peers(name).dump() << '\n' << hall_.Log(name);
    }
    std::cout << hall_.relay().Describe();
  }

  void Reaches(const std::string& what, const std::function<bool()>& condition, milliseconds within) {
    const auto took = hall_.Await(condition, within);
    ASSERT_TRUE(took) << "not within " << within.count() << " ms: " << what;
    std::cout << what << ": " << took->count() << " ms" << std::endl;
  }

  std::vector<std::string> Others(const std::vector<std::string>& some) const {
    std::vector<std::string> others;
    for (const std::string& name : hall_.Names()) {
      if (std::ranges::find(some, name) == some.end()) others.push_back(name);
    }
    return others;
  }

  bool OthersSee(const std::vector<std::string>& some, const std::string& state) const {
    return hall_.AllSee(Others(some), some, state);
  }

  std::uint64_t Count(const std::string& name, const std::string& what) const {
    const json peers = hall_.Peers(name);
    return peers.is_object() && peers.contains("counts") ? peers["counts"].value(what, std::uint64_t{0}) : 0;
  }
  std::uint64_t CountAll(const std::string& what) const {
    std::uint64_t sum = 0;
    for (const std::string& name : hall_.Names()) sum += Count(name, what);
    return sum;
  }

  TestCluster hall_;
};

TEST_P(Fleet, AllSeeAllWithTheirZonesAndRoles) {
  for (const std::string& name : hall_.Names()) {
    const json peers = hall_.Peers(name);
    ASSERT_TRUE(peers.is_object()) << name;
    EXPECT_EQ(peers.value("alive", 0), kMembers) << name;
    EXPECT_EQ(peers.value("known", 0), kMembers) << name;
    ASSERT_EQ(peers["members"].size(), static_cast<std::size_t>(kMembers - 1)) << name;
    for (const json& member : peers["members"]) {
      const std::string other = member.value("name", "");
      EXPECT_TRUE(hall_.MachineOf(other).starts_with(member.value("zone", "?"))) << member;
      EXPECT_EQ(member.value("role", ""), other.starts_with("a") ? "agent" : "sidecar");
    }
  }
  // Nobody but the box stood between them, and all went through it.
  EXPECT_GT(hall_.relay().counts("*", "*").delivered, 100U);
  EXPECT_EQ(hall_.relay().unknown_senders(), 0U);
  std::this_thread::sleep_for(milliseconds(1000));
  EXPECT_EQ(CountAll("died"), 0U);
}

TEST_P(Fleet, AMachineThatDropsIsKnownAsDeadAndComesBackAsAnotherProcess) {
  const std::vector<std::string> machine = {"a0", "s0"};
  ASSERT_EQ(hall_.Names("bole-hall-0"), machine);
  // Its links end with it: a machine that drops sends no resets.
  hall_.relay().Partition({{"bole-hall-0"}});
  hall_.Kill("bole-hall-0");
  Reaches(
      "known as dead by all", [&] { return OthersSee(machine, "dead"); }, kDead);
  hall_.relay().Heal();
  hall_.Start("bole-hall-0");
  Reaches(
      "back at all", [&] { return hall_.AllSee("*", "*", "alive"); }, kBack);
}

TEST_P(Fleet, AMachineThatIsStoppedIsKnownAsDeadAndRefutesItWhenItGoesOn) {
  const std::vector<std::string> machine = {"a1", "s1"};
  hall_.Pause("kality-hall-0");
  Reaches(
      "known as dead by all", [&] { return OthersSee(machine, "dead"); }, kDead);
  hall_.Continue("kality-hall-0");
  Reaches(
      "back at all", [&] { return hall_.AllSee("*", "*", "alive"); }, kBack);
}

TEST_P(Fleet, AZoneThatIsCutOffIsKnownOnBothSidesAndHeals) {
  const std::vector<std::string> zone = {"a2", "s2", "s5"};
  hall_.relay().Partition({{"adama-hall"}});
  Reaches(
      "both sides know", [&] { return OthersSee(zone, "dead") && hall_.AllSee(zone, Others(zone), "dead"); },
      kDead + 2 * kProbe * kMembers);
  // Who is the one alone: it hears fewer than half of those that it knew.
  for (const std::string& name : hall_.Names()) {
    const json peers = hall_.Peers(name);
    const bool alone = 2 * peers.value("alive", 0) < peers.value("known", 0);
    EXPECT_EQ(alone, std::ranges::find(zone, name) != zone.end())
        << name << ": " << peers.value("alive", 0) << " of " << peers.value("known", 0);
  }
  EXPECT_TRUE(hall_.AllSee("a2", "s5", "alive")) << "a zone that is cut off still knows itself";
  hall_.relay().Heal();
  Reaches(
      "healed", [&] { return hall_.AllSee("*", "*", "alive"); }, kBack);
}

// By the terms as they come: what is scaled down would ask of a busy machine what no network is to blame for.
constexpr milliseconds kUsualProbe(500);
class UsualFleet : public Fleet {
 protected:
  UsualFleet() : Fleet(kUsualProbe) {}
};

TEST_P(UsualFleet, LossAndDelayMakeNoFalseDeath) {
  // There and back; a probe's patience is as long.
  hall_.relay().ChangeFaults("*", "*",
                             [&](auto& faults) { faults.loss = 0.1, faults.delay = milliseconds(100); });
  std::this_thread::sleep_for(kUsualProbe * 20);
  EXPECT_EQ(CountAll("died"), 0U);
  std::cout << "suspected " << CountAll("suspected") << ", refuted " << CountAll("refuted") << ", indirect "
            << CountAll("indirect") << std::endl;
  EXPECT_GT(hall_.relay().counts("*", "*").lost, 20U);
  hall_.relay().ClearFaults();
  Reaches(
      "all see all", [&] { return hall_.AllSee("*", "*", "alive"); }, kBack);
  EXPECT_EQ(CountAll("died"), 0U);
}

TEST_P(Fleet, WhoHasAnotherKeyIsNotHeardAndCounted) {
  hall_.Kill("s5");
  Reaches(
      "known as dead", [&] { return OthersSee({"s5"}, "dead"); }, kDead);
  std::uint64_t before = 0;
  for (const std::string& name : Others({"s5"})) before += Count(name, "unheard");
  hall_.SetKeys("s5", {TestCluster::Key(7)});
  hall_.Start("s5");
  std::this_thread::sleep_for(kProbe * 10);
  EXPECT_TRUE(OthersSee({"s5"}, "dead"));
  EXPECT_EQ(hall_.Peers("s5").value("alive", 0), 1);
  std::uint64_t after = 0;
  for (const std::string& name : Others({"s5"})) after += Count(name, "unheard");
  EXPECT_GT(after, before);
  // With the right one it is heard without a start.
  hall_.SetKeys("s5", {TestCluster::Key(0)});
  hall_.Signal("s5", SIGHUP);
  Reaches(
      "heard", [&] { return hall_.AllSee("*", "*", "alive"); }, kBack);
}

TEST_P(Fleet, KeysChangeUnderWay) {
  const auto unheard = CountAll("unheard");
  const std::vector<std::vector<std::string>> steps = {{TestCluster::Key(0), TestCluster::Key(1)},
                                                       {TestCluster::Key(1), TestCluster::Key(0)},
                                                       {TestCluster::Key(1)}};
  for (const auto& keys : steps) {
    // One after the other, so that there is a time with both.
    for (const std::string& name : hall_.Names()) {
      hall_.SetKeys(name, keys);
      hall_.Signal(name, SIGHUP);
      std::this_thread::sleep_for(milliseconds(50));
    }
    std::this_thread::sleep_for(kProbe * 3);
  }
  std::this_thread::sleep_for(kProbe * 10);
  EXPECT_EQ(CountAll("died"), 0U);
  EXPECT_EQ(CountAll("unheard"), unheard);
  Reaches(
      "all see all", [&] { return hall_.AllSee("*", "*", "alive"); }, kBack);
  // The old one is out of use.
  hall_.Kill("s5");
  hall_.SetKeys("s5", {TestCluster::Key(0)});
  hall_.Start("s5");
  Reaches(
      "counted", [&] { return CountAll("unheard") > unheard; }, kBack);
  EXPECT_EQ(hall_.Peers("s5").value("alive", 0), 1);
}

TEST_P(Fleet, AllStartedAnewAtOnce) {
  hall_.Kill("*");
  hall_.Start("*");
  Reaches(
      "all see all", [&] { return hall_.AllSee("*", "*", "alive"); }, kBack);
  for (const std::string& name : hall_.Names()) {
    EXPECT_EQ(hall_.Peers(name).value("known", 0), kMembers) << name << " counts former processes as members";
  }
  std::this_thread::sleep_for(kProbe * 10);
  EXPECT_TRUE(hall_.AllSee("*", "*", "alive"));
}

TEST_P(Fleet, AOneWayCutIsNoDeath) {
  const auto indirect = CountAll("indirect");
  hall_.relay().Cut("s0", "s1");
  std::this_thread::sleep_for(kProbe * 40);
  EXPECT_EQ(CountAll("died"), 0U);
  EXPECT_GT(CountAll("indirect"), indirect);
  EXPECT_GT(hall_.relay().counts("s0", "s1").cut, 0U);
  hall_.relay().Restore("s0", "s1");
  Reaches(
      "all see all", [&] { return hall_.AllSee("*", "*", "alive"); }, kBack);
}

INSTANTIATE_TEST_SUITE_P(Runs, Fleet, ::testing::Range(0, Set("FLEET_RUNS", 1)));
INSTANTIATE_TEST_SUITE_P(Runs, UsualFleet, ::testing::Range(0, Set("FLEET_RUNS", 1)));

}  // namespace
}  // namespace mothrack::testing
