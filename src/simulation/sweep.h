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

// A run that is to be made.
struct Job {
  Scenario scenario;
  std::uint64_t seed = 0;
};

// Runs the jobs, `max_parallel` at a time, and passes each result to `on_result` as soon as its run ends, in
// any order. The result is null if the process crashed. Starts no further job once `on_result` returns false.
// Calls fork(), so the calling process must have a single thread. Throws std::runtime_error if a system call
// fails.
void RunAll(const std::vector<Job>& jobs, std::size_t max_parallel,
            const std::function<bool(std::size_t job, const nlohmann::json& run)>& on_result);

}  // namespace mothrack::simulation
