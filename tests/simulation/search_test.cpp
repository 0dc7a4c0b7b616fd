// Mutated scenarios are valid and reproducible; a shrunk one still shows its fault.
#include "simulation/search.h"

#include "gtest/gtest.h"
#include "simulation/simulation_support.h"

namespace mothrack::simulation {
namespace {

TEST(Search, WhatIsMutatedIsValidAndTheSameForASeed) {
  const Scenario base = LoadScenario(PathOf("flapping"));
  Random one(9);
  Random two(9);
  for (int i = 0; i < 200; ++i) {
    const std::string text = ToToml(Mutated(base, one));
    EXPECT_EQ(text, ToToml(Mutated(base, two)));
    EXPECT_NO_THROW(ParseScenario(text, "mutated")) << text;
  }
}

TEST(Search, ShrinksToWhatStillShowsIt) {
  Scenario scenario = Small("rolling_deploy");
  scenario.faults.push_back({FaultKind::kBurst, 3, 4, 0, 1.5, ""});
  scenario.faults.push_back({FaultKind::kStale, 3, 4, 0, 1, ""});
  const auto shows = [](const Scenario& s) {
    SimulationRun simulated(s, 2, InjectedFault::kAfterDrain);
    return FindFault(s, simulated.Run(), simulated.figures()) == "rule drain";
  };
  ASSERT_TRUE(shows(scenario));
  const Scenario small = Shrunk(scenario, shows, 60);
  EXPECT_TRUE(shows(small));
  ASSERT_EQ(small.faults.size(), 1U) << ToToml(small);
  EXPECT_EQ(small.faults[0].kind, FaultKind::kReplace);
  EXPECT_LT(small.sidecars, scenario.sidecars);
  EXPECT_EQ(small.classes.size(), 1U);
}

}  // namespace
}  // namespace mothrack::simulation
