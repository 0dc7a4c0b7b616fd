// The subcommands of the program mothrack-sim: one function and one file each. Each prints its result,
// returns an exit code (exit_code.h), and throws an exception derived from std::exception if a file or an
// option cannot be used. They run on the main thread.
#pragma once

#include "simulation/options.h"

namespace mothrack::simulation {

int RunScenarios(const Options& options);    // run: runs each scenario once and checks its expectations
int SweepScenarios(const Options& options);  // sweep: runs many seeds and settings into the result database
int CompareLabels(const Options& options);   // compare: computes the paired differences of two labels
int SearchFaults(const Options& options);    // search: runs randomly mutated scenarios
int ShrinkScenario(const Options& options);  // shrink: finds a smallest scenario that shows the same fault
int ApplyLoad(const Options& options);       // load: sends open-loop HTTP load to a real sidecar

}  // namespace mothrack::simulation
