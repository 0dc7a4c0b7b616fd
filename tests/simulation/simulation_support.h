// What the simulator's tests share: scenarios of the library, made small, and one run of them.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>

#include "simulation/results.h"
#include "simulation/simulation_run.h"

namespace mothrack::simulation {

// The path of a scenario of the library.
inline std::string PathOf(const std::string& name) {
  return std::string(MOTHRACK_SCENARIOS) + '/' + name + ".toml";
}

// A scenario of the library with a small fleet, a shorter run and its faults within that.
inline Scenario Small(const std::string& name, double length_s = 25) {
  Scenario scenario = LoadScenario(PathOf(name), {"fleet.sidecars=12", "servers.count=8"});
  scenario.length_s = length_s;
  for (Fault& f : scenario.faults) f.at_s = std::min(f.at_s, 8.0), f.len_s = std::min(f.len_s, 6.0);
  return scenario;
}

// One simulation run: its outcome, and its figures as JSON with their seconds.
struct CompletedRun {
  Outcome outcome;
  nlohmann::json run;
};
inline CompletedRun Play(const Scenario& scenario, std::uint64_t seed,
                         InjectedFault injected_fault = InjectedFault::kNone) {
  SimulationRun simulated(scenario, seed, injected_fault);
  const Outcome outcome = simulated.Run();
  return {outcome, ToJson(scenario, seed, outcome, simulated.figures(), true)};
}

}  // namespace mothrack::simulation
