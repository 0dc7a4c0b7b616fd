// Searches for faults of the sidecar's code: judges runs, mutates scenarios at random, and reduces a scenario
// to a smaller one that still shows a fault. Reads no clock and does no I/O.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "simulation/scenario.h"
#include "simulation/simulation_run.h"
#include "simulation/simulator.h"

namespace mothrack::simulation {

// Describes the fault that a run shows: a broken rule, a request without an answer, or degraded service that
// outlasts its cause. Returns an empty text if it shows none.
std::string FindFault(const Scenario& scenario, const RunOutcome& outcome, const Figures& figures);

// Returns a mutation of the scenario: fleet, load and faults are changed at random, and faults are added and
// removed. The result is always valid.
Scenario Mutate(const Scenario& original, Random& random);

// Returns a smaller scenario for which `shows_fault` is still true: with fewer faults, classes, sidecars and
// servers, a shorter run and simpler load. Calls `shows_fault` at most `budget` times.
Scenario ShrinkWhile(Scenario scenario, const std::function<bool(const Scenario&)>& shows_fault, int budget);

}  // namespace mothrack::simulation
