// The program mothrack-sim: continued sweeps, comparisons, exit codes and pages.
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "gtest/gtest.h"
#include "simulation/report.h"
#include "simulation/simulation_support.h"
#include "standins/peers.h"
#include "support/temporary_directory.h"

namespace mothrack::simulation {
namespace {

namespace fs = std::filesystem;

// Starts the program with its output in the file `out`. Returns its process id.
pid_t StartProgram(const std::vector<std::string>& arguments, const std::string& out) {
  std::vector<std::string> command = {MOTHRACK_SIM_PROGRAM};
  command.insert(command.end(), arguments.begin(), arguments.end());
  const pid_t pid = ::fork();
  if (pid != 0) return pid;
  std::vector<char*> argv;
  for (std::string& argument : command) argv.push_back(argument.data());
  argv.push_back(nullptr);
  if (std::freopen(out.c_str(), "w", stdout) == nullptr || std::freopen(out.c_str(), "a", stderr) == nullptr)
    ::_exit(126);
  ::execv(argv[0], argv.data());
  ::_exit(127);
}

// Waits for the process to end. Returns its exit code, or 128 plus the signal that ended it.
int WaitForExitCode(pid_t pid) {
  int status = 0;
  ::waitpid(pid, &status, 0);
  return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

std::string ReadAll(const std::string& path) {
  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  return text.str();
}

std::vector<std::string> SweepArguments(const std::string& db) {
  return {"sweep",   ScenarioPath("calm"),
          "--set",   "length_s=6",
          "--set",   "fleet.sidecars=8",
          "--vary",  "load.use=0.3,0.6",
          "--seeds", "1..12",
          "--jobs",  "2",
          "--db",    db};
}

TEST(Program, AKilledSweepContinuesToTheSameResults) {
  const testing::TemporaryDirectory directory("simulation");
  ASSERT_EQ(WaitForExitCode(StartProgram(SweepArguments(directory.File("uninterrupted")),
                                         directory.File("uninterrupted.out"))),
            0);
  const pid_t pid =
      StartProgram(SweepArguments(directory.File("interrupted")), directory.File("interrupted.out"));
  ASSERT_TRUE(testing::Eventually([&] {
    try {
      return fs::exists(directory.File("interrupted")) &&
             Results(directory.File("interrupted")).RunsWithLabel("now").size() >= 3;
    } catch (const std::exception&) {
      return false;
    }
  }));
  ::kill(pid, SIGKILL);
  WaitForExitCode(pid);
  ASSERT_EQ(WaitForExitCode(StartProgram(SweepArguments(directory.File("interrupted")),
                                         directory.File("interrupted.out"))),
            0);
  const std::string output = ReadAll(directory.File("interrupted.out"));
  EXPECT_NE(output.find("the database has their results"), std::string::npos) << output;
  EXPECT_EQ(Results(directory.File("interrupted")).RunsWithLabel("now"),
            Results(directory.File("uninterrupted")).RunsWithLabel("now"));
  EXPECT_EQ(Results(directory.File("uninterrupted")).RunsWithLabel("now").size(), 24U);
}

TEST(Program, ComparesRunsOfTheSameSeedsAndWritesAPage) {
  const testing::TemporaryDirectory directory("simulation");
  const std::string db = directory.File("db");
  for (const char* label : {"a", "b"}) {
    const std::string hedging = std::string("allow.second_copies=") + (*label == 'a' ? "true" : "false");
    // The two labels run with different settings, which have different hashes. The runs are stored with the
    // same hash here, so that they form pairs.
    Scenario scenario = LoadScenario(ScenarioPath("calm"), {"length_s=6", "fleet.sidecars=8"});
    const RunKey key{label, scenario.name, HashOf(scenario), 1};
    Results results(db);
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
      Scenario changed = LoadScenario(ScenarioPath("calm"), {"length_s=6", "fleet.sidecars=8", hedging});
      SimulationRun simulated(changed, seed);
      const RunOutcome outcome = simulated.Run();
      RunKey of_seed = key;
      of_seed.seed = seed;
      results.Store(of_seed, "x", "y", ToJson(changed, seed, outcome, simulated.figures(), false));
    }
  }
  ASSERT_EQ(
      WaitForExitCode(StartProgram({"compare", "a", "b", "--db", db, "--report", directory.File("page.html")},
                                   directory.File("out"))),
      0);
  EXPECT_NE(ReadAll(directory.File("out")).find("attempts_a_try"), std::string::npos);
  EXPECT_NE(ReadAll(directory.File("page.html")).find("<svg"), std::string::npos);
  EXPECT_EQ(WaitForExitCode(StartProgram({"compare", "a", "nobody", "--db", db}, directory.File("out"))), 1);
}

TEST(Program, ReportsMissedExpectationsByExitCodeAndReplaysRuns) {
  const testing::TemporaryDirectory directory("simulation");
  const std::string out = directory.File("out");
  const std::vector<std::string> small = {"--set", "length_s=8", "--set", "fleet.sidecars=8"};
  auto with_small = [&](std::vector<std::string> arguments) {
    arguments.insert(arguments.end(), small.begin(), small.end());
    return arguments;
  };
  ASSERT_EQ(WaitForExitCode(StartProgram(
                with_small({"run", ScenarioPath("calm"), "--report", directory.File("page.html")}), out)),
            0)
      << ReadAll(out);
  const std::string text = ReadAll(out);
  const auto at = text.find("digest ") + 7;
  const std::string digest = text.substr(at, 16);
  EXPECT_EQ(WaitForExitCode(StartProgram(with_small({"run", ScenarioPath("calm"), "--expect", digest}), out)),
            0)
      << ReadAll(out);
  EXPECT_EQ(WaitForExitCode(StartProgram(
                with_small({"run", ScenarioPath("calm"), "--expect", digest, "--seed", "2"}), out)),
            2);
  EXPECT_EQ(
      WaitForExitCode(StartProgram(with_small({"run", ScenarioPath("calm"), "--plant", "resend"}), out)), 2);
  EXPECT_NE(ReadAll(out).find("not held: rule twice"), std::string::npos);
  EXPECT_EQ(WaitForExitCode(StartProgram({"run", ScenarioPath("calm"), "--set", "fleet.sidecars=none"}, out)),
            1);
  const std::string page = ReadAll(directory.File("page.html"));
  for (const char* part : {"<figcaption>Capacity and demand", "<table>", "held: the four rules"})
    EXPECT_NE(page.find(part), std::string::npos) << part;
  EXPECT_EQ(page.find("http://"), std::string::npos) << "a page loads nothing from elsewhere";
}

}  // namespace
}  // namespace mothrack::simulation
