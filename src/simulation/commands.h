// The subcommands of the simulator's program: one function and one file each. Each prints its result, returns
// an exit code (exit_code.h) and throws an exception derived from std::exception where a file or an option
// can't be used. They run on the main thread.
#pragma once

#include "simulation/options.h"

namespace mothrack::simulation {

int RunScenarios(const Options& options);    // run: each scenario once, with its verdicts
int SweepScenarios(const Options& options);  // sweep: many seeds and settings, kept in the result database
int CompareLabels(const Options& options);   // compare: paired differences of two labels
int SearchFaults(const Options& options);    // search: scenarios mutated at random
int ShrinkScenario(const Options& options);  // shrink: the smallest scenario that shows the same fault
int ApplyLoad(const Options& options);       // load: open-loop HTTP load on a real sidecar

}  // namespace mothrack::simulation
