// Tests of the programs mothrack-agent and mothrackctl with real sidecars: crashes of either at any moment,
// concurrent operators, invalid configurations, and stores that fail.
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <random>
#include <string>

#include "ctl/fleet_test_support.h"
#include "gtest/gtest.h"
#include "standins/fleet.h"
#include "standins/peers.h"

namespace mothrack::testing {
namespace {

const std::vector<std::string> kQuickOptions = {"--max-unavailable", "2", "--watch-ms", "100"};

// Adds the options of a quick rollout.
std::vector<std::string> WithQuickOptions(std::vector<std::string> arguments) {
  arguments.insert(arguments.end(), kQuickOptions.begin(), kQuickOptions.end());
  return arguments;
}

std::size_t Count(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) ++count;
  return count;
}

TEST(Agent, AdoptsRunningSidecarsAfterACrash) {
  Fleet fleet({1, 2, "", "", false});
  ASSERT_TRUE(fleet.AllReady("g1"));
  const int first = fleet.Pid(0, 0);
  const int second = fleet.Pid(0, 1);
  fleet.KillAgent(0);
  ::kill(second, SIGKILL);  // while no agent supervises it
  fleet.StartAgent(0);
  ASSERT_TRUE(fleet.AllReady("g1"));
  EXPECT_EQ(fleet.Pid(0, 0), first);
  EXPECT_NE(fleet.Pid(0, 1), second);
  EXPECT_NE(fleet.AgentLog(0).find(" info process_adopted instance=n0 pid="), std::string::npos);
}

TEST(Agent, RestartsKilledSidecarsAndHoldsCrashLoops) {
  Fleet fleet({1, 2, "crashes = 3\nlongest_pause_ms = 200\n", R"(["/bin/false"])", false});
  EXPECT_TRUE(Eventually([&] { return fleet.Instance(0, 0).value("held", false); }));
  EXPECT_EQ(Count(fleet.AgentLog(0), " info process_started instance=n0 pid="), 3U);
  EXPECT_EQ(Count(fleet.AgentLog(0), "crash loop"), 1U);
  EXPECT_TRUE(Eventually([&] { return fleet.Instance(0, 1).value("ready", false); }));
  const int pid = fleet.Pid(0, 1);
  ::kill(pid, SIGKILL);
  EXPECT_TRUE(
      Eventually([&] { return fleet.Instance(0, 1).value("ready", false) && fleet.Pid(0, 1) != pid; }));
  const auto explained = fleet.Ctl({"explain", "a0/n0"});
  EXPECT_NE(explained.out.find("not started again"), std::string::npos) << explained.out;
}

// If the pid in the process file now belongs to a foreign process, the agent does not adopt, stop or kill
// that process.
TEST(Agent, DoesNotAdoptAForeignProcessWithAReusedPid) {
  Fleet fleet({1, 1, "", "", false});
  ASSERT_TRUE(fleet.AllReady("g1"));
  const int pid = fleet.Pid(0, 0);
  fleet.KillAgent(0);
  ::kill(pid, SIGKILL);
  const pid_t foreign_pid = ::fork();
  if (foreign_pid == 0) {
    ::pause();
    ::_exit(0);
  }
  std::ofstream(fleet.DirectoryOf(0, 0) + "/process.json")
      << R"({"pid":)" << foreign_pid << R"(,"started":1,"token":"","generation":"g1"})";
  fleet.StartAgent(0);
  ASSERT_TRUE(fleet.AllReady("g1"));
  EXPECT_NE(fleet.Pid(0, 0), foreign_pid);
  EXPECT_EQ(::kill(foreign_pid, 0), 0);
  ::kill(foreign_pid, SIGKILL);
  ::waitpid(foreign_pid, nullptr, 0);
}

TEST(Agent, SecondAgentOverOneDirectoryIsRefused) {
  Fleet fleet({1, 1, "", "", false});
  ASSERT_TRUE(fleet.AllReady("g1"));
  EXPECT_EQ(fleet.RunSecondAgent(0), 1);
  EXPECT_NE(fleet.AgentLog(0).find("another agent uses it"), std::string::npos);
  EXPECT_EQ(Count(fleet.AgentLog(0), " info process_started instance=n0 pid="), 1U);
}

TEST(Agent, NamesTheDirectoryThatItsFilesAreMissingFrom) {
  Fleet fleet({1, 1, "", "", false});
  ASSERT_TRUE(fleet.AllReady("g1"));
  std::filesystem::remove_all(fleet.path("a0") + "/generations/g1");
  ::kill(fleet.Pid(0, 0), SIGKILL);
  EXPECT_TRUE(Eventually([&] {
    return Count(fleet.AgentLog(0),
                 R"( error process_not_started instance=n0 cause="can't render the files of g1")") > 0;
  })) << fleet.AgentLog(0);
  fleet.KillAgent(0);
  std::filesystem::remove_all(fleet.path("g1"));
  EXPECT_EQ(fleet.RunSecondAgent(0), 1);
  const std::string text =
      "mothrack-agent: generations.g1: " + fleet.path("g1") + ": No such file or directory\n";
  EXPECT_NE(fleet.AgentLog(0).find(text), std::string::npos) << fleet.AgentLog(0);
}

TEST(Agent, KeepsSupervisingWithADamagedStoreAndRefusesChanges) {
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
  const auto restart = fleet.Ctl(WithQuickOptions({"restart", "--why", "a test"}));
  EXPECT_EQ(restart.code, 2) << restart.out;
  EXPECT_NE(restart.out.find("can't be saved to disk"), std::string::npos) << restart.out;
  EXPECT_NE(fleet.Ctl({"status"}).out.find("move it away"), std::string::npos);
}

// Guards against SIGXFSZ terminating the agent at its first write beyond the file size limit.
TEST(Agent, RefusesChangesWhenTheFileSizeLimitIsReached) {
  Fleet fleet({1, 1, "", "", false});
  ASSERT_TRUE(fleet.AllReady("g1"));
  const int pid = fleet.Pid(0, 0);
  fleet.KillAgent(0);
  fleet.StartAgent(0, 0);
  ASSERT_TRUE(fleet.AllReady("g1"));
  EXPECT_EQ(fleet.Pid(0, 0), pid);
  const auto restart = fleet.Ctl(WithQuickOptions({"restart", "--why", "a test"}));
  EXPECT_EQ(restart.code, 2) << restart.out;
  EXPECT_NE(restart.out.find("can't be saved to disk"), std::string::npos) << restart.out;
  ASSERT_TRUE(fleet.AllReady("g1"));
  EXPECT_EQ(fleet.Pid(0, 0), pid);
}

TEST(Ctl, AppliesDrainsAndReportsAChange) {
  Fleet fleet({2, 2, "", "", false});
  ASSERT_TRUE(fleet.AllReady("g1"));
  const auto plan = fleet.Ctl({"plan", "g2", "--dir", fleet.WriteGeneration("g2")});
  EXPECT_EQ(plan.code, 0);
  EXPECT_NE(plan.out.find("- # g1\n+ # g2\n"), std::string::npos) << plan.out;
  const auto dry =
      fleet.Ctl(WithQuickOptions({"apply", "g2", "--dir", fleet.path("g2"), "--why", "t", "--dry-run"}));
  EXPECT_NE(dry.out.find("a1/n1: g1 -> g2"), std::string::npos) << dry.out;
  EXPECT_EQ(fleet.Instance(0, 0).value("generation", ""), "g1");
  const auto apply =
      fleet.Ctl(WithQuickOptions({"apply", "g2", "--dir", fleet.path("g2"), "--why", "a test"}));
  EXPECT_EQ(apply.code, 0) << apply.out;
  EXPECT_TRUE(fleet.AllReady("g2"));
  const auto again = fleet.Ctl(WithQuickOptions({"apply", "g2", "--why", "a test"}));
  EXPECT_EQ(again.code, 0);
  EXPECT_NE(again.out.find("nothing to change"), std::string::npos);
  const auto drain = fleet.Ctl({"drain", "--only", "a0/n1", "--why", "away", "--watch-ms", "100"});
  EXPECT_EQ(drain.code, 0) << drain.out;
  EXPECT_FALSE(fleet.Instance(0, 1).value("running", true));
  EXPECT_NE(fleet.Ctl({"status"}).out.find("stopped"), std::string::npos);
  EXPECT_NE(fleet.Ctl({"history"}).out.find("n1: taken"), std::string::npos);
}

TEST(Ctl, ChangeRefusedByOneAgentChangesNothing) {
  Fleet fleet({2, 1, "", "", false});
  ASSERT_TRUE(fleet.AllReady("g1"));
  const int pid = fleet.Pid(0, 0);
  const auto bad = fleet.Ctl(
      WithQuickOptions({"apply", "g2", "--dir", fleet.WriteGeneration("g2", true), "--why", "a test"}));
  EXPECT_EQ(bad.code, 2);
  EXPECT_NE(bad.out.find("nonsense"), std::string::npos) << bad.out;
  EXPECT_EQ(fleet.Pid(0, 0), pid);
  const auto unknown = fleet.Ctl(WithQuickOptions({"apply", "g7", "--why", "a test"}));
  EXPECT_EQ(unknown.code, 3) << unknown.out;  // held before its first step
  EXPECT_NE(unknown.out.find("its agent has not stored generation g7"), std::string::npos) << unknown.out;
  EXPECT_EQ(fleet.Pid(0, 0), pid);
  EXPECT_EQ(fleet.Ctl({"abort"}).code, 0);
  EXPECT_EQ(fleet.Ctl({"abort"}).code, 2) << "nothing is open any more";
}

TEST(Ctl, DirectoryWithoutFilesIsNamed) {
  Fleet fleet({1, 1, "", "", false});
  ASSERT_TRUE(fleet.AllReady("g1"));
  const std::string directory = fleet.path("g2");
  const auto missing = fleet.Ctl(WithQuickOptions({"apply", "g2", "--dir", directory, "--why", "a test"}));
  EXPECT_EQ(missing.code, 1);
  EXPECT_EQ(missing.out, "mothrackctl: " + directory + ": No such file or directory\n");
  std::filesystem::create_directories(directory + "/subdirectory");
  const auto empty = fleet.Ctl(WithQuickOptions({"apply", "g2", "--dir", directory, "--why", "a test"}));
  EXPECT_EQ(empty.code, 1);
  EXPECT_EQ(empty.out, "mothrackctl: " + directory + ": has no files\n");
}

TEST(Ctl, SecondOperatorIsRefusedWithHolderAndReason) {
  Fleet fleet({2, 2, "", "", false});
  ASSERT_TRUE(fleet.AllReady("g1"));
  const pid_t first = fleet.StartCtl(WithQuickOptions({"restart", "--why", "the first one", "--who", "ann"}));
  ASSERT_TRUE(Eventually([&] { return fleet.Status()["agents"]["a1"].contains("open"); }));
  const auto second = fleet.Ctl(WithQuickOptions({"restart", "--why", "the second", "--who", "bob"}));
  EXPECT_EQ(second.code, 2);
  EXPECT_NE(second.out.find("ann holds the lease of the fleet for"), std::string::npos) << second.out;
  EXPECT_NE(second.out.find("the first one"), std::string::npos) << second.out;
  EXPECT_EQ(Fleet::WaitCtl(first).code, 0);
  EXPECT_TRUE(fleet.AllReady("g1"));
}

TEST(Ctl, ViewerTokenCanOnlyRead) {
  Fleet fleet({1, 1, "", "", true});
  ASSERT_TRUE(fleet.AllReady("g1"));
  EXPECT_EQ(fleet.Ctl({"status"}, "viewers.toml").code, 0);
  const auto restart = fleet.Ctl(WithQuickOptions({"restart", "--why", "a test"}), "viewers.toml");
  EXPECT_EQ(restart.code, 2);
  EXPECT_NE(restart.out.find("a viewer may only look"), std::string::npos) << restart.out;
  EXPECT_EQ(fleet.AgentLog(0).find("token-12345"), std::string::npos) << "a secret in the log";
  EXPECT_EQ(fleet.Ctl(WithQuickOptions({"restart", "--why", "a test"})).code, 0);
}

TEST(Ctl, UnreachableAgentIsNamedAndNoStepIsSent) {
  Fleet fleet({2, 1, "", "", false});
  ASSERT_TRUE(fleet.AllReady("g1"));
  fleet.KillAgent(1);
  const auto restart = fleet.Ctl(WithQuickOptions({"restart", "--why", "a test"}));
  EXPECT_EQ(restart.code, 6);
  EXPECT_NE(restart.out.find("a1"), std::string::npos) << restart.out;
  EXPECT_EQ(fleet.Ctl({"status"}).code, 6);
}

// Kills agents and the tool at random moments of a rolling change; then another operator resumes it.
// FLEET_RUNS sets the number of runs, FLEET_SEED the first seed.
TEST(Ctl, ChangeIsCompletedAfterAgentAndToolCrashes) {
  const int begin = EnvironmentNumber("FLEET_SEED", 1);
  const int runs = EnvironmentNumber("FLEET_RUNS", 3);
  for (int seed = begin; seed < begin + runs; ++seed) {
    std::mt19937 random(static_cast<unsigned>(seed));
    Fleet fleet({4, 2, "", "", false});
    ASSERT_TRUE(fleet.AllReady("g1"));
    const pid_t ctl_pid = fleet.StartCtl(
        WithQuickOptions({"apply", "g2", "--dir", fleet.WriteGeneration("g2"), "--why", "a test"}));
    CrashAgents(fleet, random, 4, 3);
    if (random() % 2 == 0) ::kill(ctl_pid, SIGKILL);
    const int code = Fleet::WaitCtl(ctl_pid).code;
    // The change may be completed, held or not begun.
    EXPECT_TRUE(ResumeUntilNoneIsOpen(fleet)) << "seed " << seed;
    if (code != 0)
      fleet.Ctl(WithQuickOptions({"apply", "g2", "--dir", fleet.path("g2"), "--why", "the rest"}));
    EXPECT_TRUE(fleet.AllReady("g2")) << "seed " << seed << ": " << fleet.Ctl({"status"}).out;
    for (int a = 0; a < 4; ++a)
      EXPECT_FALSE(fleet.Status()["agents"]["a" + std::to_string(a)].contains("open"));
  }
}

}  // namespace
}  // namespace mothrack::testing
