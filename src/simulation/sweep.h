// Many runs in parallel, each in a process of its own: a run that dies takes no other with it, and is
// reported.
#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "simulation/scenario.h"

namespace mothrack::simulation {

// One run that is to be made.
struct Job {
  Scenario scenario;
  std::uint64_t seed = 0;
};

// Runs them, `at_once` at a time, and hands each result on as it ends, in whatever order; null where its
// process died. Begins nothing more once `done` says false. Forks: to be called from a process with one
// thread. Throws std::runtime_error where a system call fails.
void PlayAll(const std::vector<Job>& jobs, std::size_t at_once,
             const std::function<bool(std::size_t job, const nlohmann::json& run)>& done);

}  // namespace mothrack::simulation
