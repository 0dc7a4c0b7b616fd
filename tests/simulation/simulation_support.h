// Helpers of the simulator's tests: load the scenarios of src/simulation/scenarios, reduce them and run them.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>

#include "simulation/results.h"
#include "simulation/simulation_run.h"

namespace mothrack::simulation {

// Returns the path of a scenario in src/simulation/scenarios.
inline std::string ScenarioPath(const std::string& name) {
  return std::string(MOTHRACK_SCENARIOS) + '/' + name + ".toml";
}

// Loads a scenario with a small fleet, a shorter run, and faults that begin and end within that run.
inline Scenario LoadSmallScenario(const std::string& name, double length_s = 25) {
  Scenario scenario = LoadScenario(ScenarioPath(name), {"fleet.sidecars=12", "servers.count=8"});
  scenario.length_s = length_s;
  for (Fault& fault : scenario.faults)
    fault.at_s = std::min(fault.at_s, 8.0), fault.len_s = std::min(fault.len_s, 6.0);
  return scenario;
}

// The results of one run: its outcome, and its figures as JSON, with those of each second.
struct CompletedRun {
  RunOutcome outcome;
  nlohmann::json run;
};
inline CompletedRun RunScenario(const Scenario& scenario, std::uint64_t seed,
                                InjectedFault injected_fault = InjectedFault::kNone) {
  SimulationRun simulated(scenario, seed, injected_fault);
  const RunOutcome outcome = simulated.Run();
  return {outcome, ToJson(scenario, seed, outcome, simulated.figures(), true)};
}

}  // namespace mothrack::simulation
