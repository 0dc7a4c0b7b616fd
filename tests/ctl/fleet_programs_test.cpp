// The agent and the tool as programs, with real sidecars under them: what they do when one of them dies at
// any moment, when two operators meet, when a configuration is bad.
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <fstream>
#include <random>
#include <string>
#include <thread>

#include "gtest/gtest.h"
#include "standins/fleet.h"
#include "standins/peers.h"

namespace mothrack::testing {
namespace {

using std::chrono::milliseconds;

const std::vector<std::string> kQuick = {"--max-unavailable", "2", "--watch-ms", "100"};

std::vector<std::string> With(std::vector<std::string> words, const std::vector<std::string>& more = kQuick) {
  words.insert(words.end(), more.begin(), more.end());
  return words;
}

std::size_t Count(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) ++count;
  return count;
}

TEST(Agent, AdoptsWhatRunsAfterItsOwnDeath) {
  Fleet fleet({1, 2, "", "", false});
  ASSERT_TRUE(fleet.AllReady("g1"));
  const int first = fleet.Pid(0, 0);
  const int second = fleet.Pid(0, 1);
  fleet.KillAgent(0);
  ::kill(second, SIGKILL);  // while nobody looks
  fleet.StartAgent(0);
  ASSERT_TRUE(fleet.AllReady("g1"));
  EXPECT_EQ(fleet.Pid(0, 0), first);
  EXPECT_NE(fleet.Pid(0, 1), second);
  EXPECT_NE(fleet.AgentLog(0).find(" info process_adopted instance=n0 pid="), std::string::npos);
}

TEST(Agent, StartsAgainWhatIsKilledAndHoldsWhatEndsTooOften) {
  Fleet fleet({1, 2, "crashes = 3\nlongest_pause_ms = 200\n", R"(["/bin/false"])", false});
  EXPECT_TRUE(Eventually([&] { return fleet.Instance(0, 0).value("held", false); }));
  EXPECT_EQ(Count(fleet.AgentLog(0), " info process_started instance=n0 pid="), 3U);
  EXPECT_EQ(Count(fleet.AgentLog(0), "crash loop"), 1U);
  EXPECT_TRUE(Eventually([&] { return fleet.Instance(0, 1).value("ready", false); }));
  const int pid = fleet.Pid(0, 1);
  ::kill(pid, SIGKILL);
  EXPECT_TRUE(
      Eventually([&] { return fleet.Instance(0, 1).value("ready", false) && fleet.Pid(0, 1) != pid; }));
  const auto told = fleet.Ctl({"explain", "a0/n0"});
  EXPECT_NE(told.out.find("not started again"), std::string::npos) << told.out;
}

// Nobody else's process is adopted, stopped or killed for having the number that a file names.
TEST(Agent, AProcessThatHasTheNumberSinceIsNotTakenForItsOwn) {
  Fleet fleet({1, 1, "", "", false});
  ASSERT_TRUE(fleet.AllReady("g1"));
  const int pid = fleet.Pid(0, 0);
  fleet.KillAgent(0);
  ::kill(pid, SIGKILL);
  const pid_t stranger = ::fork();
  if (stranger == 0) {
    ::pause();
    ::_exit(0);
  }
  std::ofstream(fleet.DirectoryOf(0, 0) + "/process.json")
      << R"({"pid":)" << stranger << R"(,"started":1,"token":"","generation":"g1"})";
  fleet.StartAgent(0);
  ASSERT_TRUE(fleet.AllReady("g1"));
  EXPECT_NE(fleet.Pid(0, 0), stranger);
  EXPECT_EQ(::kill(stranger, 0), 0);
  ::kill(stranger, SIGKILL);
  ::waitpid(stranger, nullptr, 0);
}

TEST(Agent, TwoOverOneDirectoryAreOne) {
  Fleet fleet({1, 1, "", "", false});
  ASSERT_TRUE(fleet.AllReady("g1"));
  EXPECT_EQ(fleet.StartAgentAgain(0), 1);
  EXPECT_NE(fleet.AgentLog(0).find("another agent has it"), std::string::npos);
  EXPECT_EQ(Count(fleet.AgentLog(0), " info process_started instance=n0 pid="), 1U);
}

TEST(Agent, ADamagedStoreIsSaidAndItSupervisesOn) {
  Fleet fleet({1, 1, "", "", false});
  ASSERT_TRUE(fleet.AllReady("g1"));
  const int pid = fleet.Pid(0, 0);
  fleet.KillAgent(0);
  std::ofstream(fleet.path("a0") + "/state.sqlite", std::ios::trunc) << std::string(8192, 'x');
  fleet.StartAgent(0);
  ASSERT_TRUE(fleet.AllReady("g1"));
  EXPECT_EQ(fleet.Pid(0, 0), pid);
  ::kill(pid, SIGKILL);
  EXPECT_TRUE(
      Eventually([&] { return fleet.Instance(0, 0).value("ready", false) && fleet.Pid(0, 0) != pid; }));
  const auto restart = fleet.Ctl(With({"restart", "--why", "a test"}));
  EXPECT_EQ(restart.code, 2) << restart.out;
  EXPECT_NE(restart.out.find("disk takes nothing"), std::string::npos) << restart.out;
  EXPECT_NE(fleet.Ctl({"status"}).out.find("move it away"), std::string::npos);
}

// Guards against an agent that the system ends at its first write to a full file.
TEST(Agent, AFileAtItsLimitIsADiskThatTakesNothing) {
  Fleet fleet({1, 1, "", "", false});
  ASSERT_TRUE(fleet.AllReady("g1"));
  const int pid = fleet.Pid(0, 0);
  fleet.KillAgent(0);
  fleet.StartAgent(0, 0);
  ASSERT_TRUE(fleet.AllReady("g1"));
  EXPECT_EQ(fleet.Pid(0, 0), pid);
  const auto restart = fleet.Ctl(With({"restart", "--why", "a test"}));
  EXPECT_EQ(restart.code, 2) << restart.out;
  EXPECT_NE(restart.out.find("disk takes nothing"), std::string::npos) << restart.out;
  ASSERT_TRUE(fleet.AllReady("g1"));
  EXPECT_EQ(fleet.Pid(0, 0), pid);
}

TEST(Ctl, RollsAChangeOutAndTells) {
  Fleet fleet({2, 2, "", "", false});
  ASSERT_TRUE(fleet.AllReady("g1"));
  const auto plan = fleet.Ctl({"plan", "g2", "--dir", fleet.Generation("g2")});
  EXPECT_EQ(plan.code, 0);
  EXPECT_NE(plan.out.find("- # g1\n+ # g2\n"), std::string::npos) << plan.out;
  const auto dry = fleet.Ctl(With({"apply", "g2", "--dir", fleet.path("g2"), "--why", "t", "--dry-run"}));
  EXPECT_NE(dry.out.find("a1/n1: g1 -> g2"), std::string::npos) << dry.out;
  EXPECT_EQ(fleet.Instance(0, 0).value("generation", ""), "g1");
  const auto apply = fleet.Ctl(With({"apply", "g2", "--dir", fleet.path("g2"), "--why", "a test"}));
  EXPECT_EQ(apply.code, 0) << apply.out;
  EXPECT_TRUE(fleet.AllReady("g2"));
  const auto again = fleet.Ctl(With({"apply", "g2", "--why", "a test"}));
  EXPECT_EQ(again.code, 0);
  EXPECT_NE(again.out.find("nothing to change"), std::string::npos);
  const auto drain = fleet.Ctl({"drain", "--only", "a0/n1", "--why", "away", "--watch-ms", "100"});
  EXPECT_EQ(drain.code, 0) << drain.out;
  EXPECT_FALSE(fleet.Instance(0, 1).value("running", true));
  EXPECT_NE(fleet.Ctl({"status"}).out.find("stopped"), std::string::npos);
  EXPECT_NE(fleet.Ctl({"history"}).out.find("n1: taken"), std::string::npos);
}

TEST(Ctl, WhatOneAgentRefusesChangesNothingAnywhere) {
  Fleet fleet({2, 1, "", "", false});
  ASSERT_TRUE(fleet.AllReady("g1"));
  const int pid = fleet.Pid(0, 0);
  const auto bad = fleet.Ctl(With({"apply", "g2", "--dir", fleet.Generation("g2", true), "--why", "a test"}));
  EXPECT_EQ(bad.code, 2);
  EXPECT_NE(bad.out.find("nonsense"), std::string::npos) << bad.out;
  EXPECT_EQ(fleet.Pid(0, 0), pid);
  const auto unknown = fleet.Ctl(With({"apply", "g7", "--why", "a test"}));
  EXPECT_EQ(unknown.code, 3) << unknown.out;  // held before its first step
  EXPECT_NE(unknown.out.find("no configuration g7"), std::string::npos) << unknown.out;
  EXPECT_EQ(fleet.Pid(0, 0), pid);
  EXPECT_EQ(fleet.Ctl({"abort"}).code, 0);
  EXPECT_EQ(fleet.Ctl({"abort"}).code, 2) << "nothing is open any more";
}

TEST(Ctl, TheSecondOfTwoOperatorsIsToldWhoAndWhy) {
  Fleet fleet({2, 2, "", "", false});
  ASSERT_TRUE(fleet.AllReady("g1"));
  const pid_t first = fleet.StartCtl(With({"restart", "--why", "the first one", "--who", "ann"}));
  ASSERT_TRUE(Eventually([&] { return fleet.Status()["agents"]["a1"].contains("open"); }));
  const auto second = fleet.Ctl(With({"restart", "--why", "the second", "--who", "bob"}));
  EXPECT_EQ(second.code, 2);
  EXPECT_NE(second.out.find("ann has the fleet for"), std::string::npos) << second.out;
  EXPECT_NE(second.out.find("the first one"), std::string::npos) << second.out;
  EXPECT_EQ(Fleet::WaitCtl(first).code, 0);
  EXPECT_TRUE(fleet.AllReady("g1"));
}

TEST(Ctl, AViewerMayLookAndNoMore) {
  Fleet fleet({1, 1, "", "", true});
  ASSERT_TRUE(fleet.AllReady("g1"));
  EXPECT_EQ(fleet.Ctl({"status"}, "viewers.toml").code, 0);
  const auto restart = fleet.Ctl(With({"restart", "--why", "a test"}), "viewers.toml");
  EXPECT_EQ(restart.code, 2);
  EXPECT_NE(restart.out.find("a viewer may only look"), std::string::npos) << restart.out;
  EXPECT_EQ(fleet.AgentLog(0).find("token-12345"), std::string::npos) << "a secret in the log";
  EXPECT_EQ(fleet.Ctl(With({"restart", "--why", "a test"})).code, 0);
}

TEST(Ctl, AnUnreachableAgentIsNamedAndNothingBegins) {
  Fleet fleet({2, 1, "", "", false});
  ASSERT_TRUE(fleet.AllReady("g1"));
  fleet.KillAgent(1);
  const auto restart = fleet.Ctl(With({"restart", "--why", "a test"}));
  EXPECT_EQ(restart.code, 6);
  EXPECT_NE(restart.out.find("a1"), std::string::npos) << restart.out;
  EXPECT_EQ(fleet.Ctl({"status"}).code, 6);
}

// A rolling change, with the tool or agents killed at moments drawn from a seed; then somebody resumes.
// FLEET_RUNS sets how many, FLEET_SEED the first seed.
TEST(Ctl, KilledAtAnyMomentAChangeIsCarriedToItsEnd) {
  const char* runs = std::getenv("FLEET_RUNS");
  const char* from = std::getenv("FLEET_SEED");
  const int begin = from == nullptr ? 1 : std::atoi(from);
  for (int seed = begin; seed < begin + (runs == nullptr ? 3 : std::atoi(runs)); ++seed) {
    std::mt19937 random(static_cast<unsigned>(seed));
    Fleet fleet({4, 2, "", "", false});
    ASSERT_TRUE(fleet.AllReady("g1"));
    const pid_t tool =
        fleet.StartCtl(With({"apply", "g2", "--dir", fleet.Generation("g2"), "--why", "a test"}));
    for (int kills = 0; kills < 3; ++kills) {
      std::this_thread::sleep_for(milliseconds(random() % 2500));
      const int agent = static_cast<int>(random() % 4);
      fleet.KillAgent(agent);
      std::this_thread::sleep_for(milliseconds(random() % 1000));
      fleet.StartAgent(agent);
    }
    if (random() % 2 == 0) ::kill(tool, SIGKILL);
    const int code = Fleet::WaitCtl(tool).code;
    // Whoever comes next brings it to its end: some of it may be done, held or not begun.
    EXPECT_TRUE(Eventually([&] {
      const auto resumed = fleet.Ctl({"resume"});
      if (resumed.code == 0) return true;
      // Closed already, or never opened.
      return resumed.out.find("no change is open") != std::string::npos;
    })) << seed;
    if (code != 0) fleet.Ctl(With({"apply", "g2", "--dir", fleet.path("g2"), "--why", "the rest"}));
    EXPECT_TRUE(fleet.AllReady("g2")) << "seed " << seed << ": " << fleet.Ctl({"status"}).out;
    for (int a = 0; a < 4; ++a)
      EXPECT_FALSE(fleet.Status()["agents"]["a" + std::to_string(a)].contains("open"));
  }
}

}  // namespace
}  // namespace mothrack::testing
