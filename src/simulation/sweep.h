// Many runs side by side, each in a process of its own: a run that dies takes no other with it, and is told.
#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "simulation/scenario.h"

namespace mothrack::simulation {

struct Job {
  Scenario scenario;
  std::uint64_t seed = 0;
};

// Plays them, `at_once` at a time, and hands each on as it ends, in whatever order; null where its process
// died. Stops, with nothing more begun, when `done` says false.
void PlayAll(const std::vector<Job>& jobs, std::size_t at_once,
             const std::function<bool(std::size_t job, const nlohmann::json& run)>& done);

}  // namespace mothrack::simulation
