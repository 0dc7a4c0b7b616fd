// Looks for faults of the program: scenarios mutated at random from given ones, and the smallest that still
// shows what was found. Pure.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "simulation/scenario.h"
#include "simulation/simulation_run.h"
#include "simulation/simulator.h"

namespace mothrack::simulation {

// What is wrong with a run; empty: nothing. A broken rule, or a fault whose effect outlives
// its cause.
std::string FindFault(const Scenario& scenario, const Outcome& outcome, const Figures& figures);

// Another scenario like it: its fleet, load and faults changed at random, faults added and taken away. Valid
// whatever is drawn.
Scenario Mutated(const Scenario& scenario, Random& random);

// The smallest that `shows` still: faults taken away, fewer sidecars and servers, a shorter run, one class.
// Takes at most `budget` runs.
Scenario Shrunk(Scenario scenario, const std::function<bool(const Scenario&)>& shows, int budget);

}  // namespace mothrack::simulation
