// Helpers shared by the unit tests: times, holders, and a plan for two halls.
#pragma once

#include <chrono>
#include <cstddef>
#include <string>

#include "rollout/plan.h"
#include "rollout/types.h"

namespace mothrack::rollout::testing {

// The time that is `ms` milliseconds after the epoch of the clock.
inline TimePoint At(int ms) { return TimePoint(std::chrono::milliseconds(ms)); }

// A holder whose claim id is the operator's name.
inline Holder HolderNamed(const std::string& who, const std::string& change) {
  return {change, who, "a test", 0, who};
}

// A plan that restarts `per_hall` instances in each of the halls "bole" and "kality", with one agent per
// hall.
inline Plan TwoHallPlan(std::size_t per_hall, std::size_t max_unavailable) {
  Plan plan{"c1", "ann", "a test", StepKind::kRestart, {}, {}};
  for (const char* hall : {"bole", "kality"}) {
    for (std::size_t i = 0; i < per_hall; ++i) {
      plan.targets.push_back({{hall, "i" + std::to_string(i)}, hall, "g1", "g2"});
    }
  }
  plan.policy.max_unavailable = max_unavailable;
  return plan;
}

}  // namespace mothrack::rollout::testing
