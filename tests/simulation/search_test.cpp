// Search for faults: mutated scenarios are valid and reproducible, and a shrunk scenario still shows its
// fault.
#include "simulation/search.h"

#include "gtest/gtest.h"
#include "simulation/simulation_support.h"

namespace mothrack::simulation {
namespace {

TEST(Search, MutationsAreValidAndTheSameForASeed) {
  const Scenario base = LoadScenario(ScenarioPath("flapping"));
  Random first(9);
  Random second(9);
  for (int i = 0; i < 200; ++i) {
    const std::string text = ToToml(Mutate(base, first));
    EXPECT_EQ(text, ToToml(Mutate(base, second)));
    EXPECT_NO_THROW(ParseScenario(text, "mutated")) << text;
  }
}

TEST(Search, AShrunkScenarioStillShowsTheFault) {
  Scenario scenario = LoadSmallScenario("rolling_deploy");
  scenario.faults.push_back({FaultKind::kBurst, 3, 4, 0, 1.5, ""});
  scenario.faults.push_back({FaultKind::kStale, 3, 4, 0, 1, ""});
  const auto shows_fault = [](const Scenario& s) {
    SimulationRun simulated(s, 2, InjectedFault::kAfterDrain);
    return FindFault(s, simulated.Run(), simulated.figures()) == "rule drain";
  };
  ASSERT_TRUE(shows_fault(scenario));
  const Scenario small = ShrinkWhile(scenario, shows_fault, 60);
  EXPECT_TRUE(shows_fault(small));
  ASSERT_EQ(small.faults.size(), 1U) << ToToml(small);
  EXPECT_EQ(small.faults[0].kind, FaultKind::kReplace);
  EXPECT_LT(small.sidecars, scenario.sidecars);
  EXPECT_EQ(small.classes.size(), 1U);
}

}  // namespace
}  // namespace mothrack::simulation
