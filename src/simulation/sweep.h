// Runs many simulations in parallel, each in its own process, so that a crash affects one run only and is
// reported.
#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "simulation/scenario.h"

namespace mothrack::simulation {

// A run to be made.
struct Job {
  Scenario scenario;
  std::uint64_t seed = 0;
};

// Runs the jobs, `at_once` at a time, and passes each result to `done` as it ends, in any order. The result
// is null if the process died. Starts no further job once `done` returns false. Calls fork(), so the calling
// process must have a single thread. Throws std::runtime_error if a system call fails.
void RunAll(const std::vector<Job>& jobs, std::size_t at_once,
            const std::function<bool(std::size_t job, const nlohmann::json& run)>& done);

}  // namespace mothrack::simulation
