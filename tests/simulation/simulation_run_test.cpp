// Simulation runs: the same seed gives the same run, no rule is broken, and injected faults are detected.
#include <filesystem>
#include <map>

#include "gtest/gtest.h"
#include "simulation/simulation_support.h"

namespace mothrack::simulation {
namespace {

namespace fs = std::filesystem;

TEST(SimulationRun, TheSameSeedGivesTheSameRunAndAnotherSeedADifferentOne) {
  for (const char* name : {"rolling_deploy", "retry_storm", "hall_lost"}) {
    const Scenario scenario = LoadSmallScenario(name);
    const CompletedRun first = RunScenario(scenario, 5);
    const CompletedRun second = RunScenario(scenario, 5);
    EXPECT_EQ(first.outcome.digest, second.outcome.digest) << name;
    EXPECT_EQ(first.run, second.run) << name;
    EXPECT_NE(first.outcome.digest, RunScenario(scenario, 6).outcome.digest) << name;
  }
}

// Runs every scenario of the directory with a small fleet: it can be read, no rule is broken, and every
// request gets an answer.
TEST(SimulationRun, NoScenarioBreaksARule) {
  int scenario_count = 0;
  for (const auto& entry : fs::directory_iterator(MOTHRACK_SCENARIOS)) {
    const Scenario scenario = LoadSmallScenario(entry.path().stem());
    const CompletedRun completed = RunScenario(scenario, 3);
    EXPECT_EQ(completed.outcome.broken, 0U) << scenario.name << ": " << completed.run["breaks"].dump();
    EXPECT_EQ(completed.outcome.still_open, 0U) << scenario.name;
    const auto ended =
        completed.run["good"].get<std::uint64_t>() + completed.run["late"].get<std::uint64_t>() +
        completed.run["refused"].get<std::uint64_t>() + completed.run["failed"].get<std::uint64_t>();
    EXPECT_EQ(ended, completed.run["asked"].get<std::uint64_t>())
        << scenario.name << ": a client request has no result";
    ++scenario_count;
  }
  EXPECT_GE(scenario_count, 13);
}

TEST(SimulationRun, EachInjectedFaultIsDetectedByItsRule) {
  const std::map<InjectedFault, std::string> injected = {{InjectedFault::kResend, "twice"},
                                                         {InjectedFault::kAfterDrain, "drain"},
                                                         {InjectedFault::kDroppedAnswer, "lost"},
                                                         {InjectedFault::kOverloadWarmingUp, "cold"}};
  Scenario scenario = LoadSmallScenario("rolling_deploy");
  // Enough sidecars to overload a server in slow start.
  scenario.sidecars = 30;
  scenario.servers = 14;
  for (const auto& [injected_fault, rule] : injected) {
    const CompletedRun completed = RunScenario(scenario, 2, injected_fault);
    ASSERT_FALSE(completed.outcome.breaches.empty()) << rule;
    for (const Breach& breach : completed.outcome.breaches)
      EXPECT_EQ(NameOf(breach.rule), rule) << breach.what;
  }
}

TEST(SimulationRun, TenThousandServers) {
  const Scenario scenario = LoadScenario(
      ScenarioPath("calm"), {"servers.count=10000", "fleet.sidecars=3", "length_s=1", "load.use=0.0002"});
  const CompletedRun completed = RunScenario(scenario, 1);
  EXPECT_EQ(completed.outcome.broken, 0U);
  EXPECT_GT(completed.outcome.requests, 20U);
}

}  // namespace
}  // namespace mothrack::simulation
