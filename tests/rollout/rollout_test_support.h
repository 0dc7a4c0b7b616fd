// What the tests of single decisions share: times, holders, a plan of two halls.
#pragma once

#include <chrono>
#include <cstddef>
#include <string>

#include "rollout/plan.h"
#include "rollout/types.h"

namespace mothrack::rollout::testing {

// So many milliseconds after the clock's beginning.
inline TimePoint At(int ms) { return TimePoint(std::chrono::milliseconds(ms)); }

// A holder whose claim is named as they are.
inline Holder HolderNamed(const std::string& who, const std::string& change) {
  return {change, who, "a test", 0, who};
}

// A restart of so many instances in each of the halls "bole" and "kality", each hall with one agent.
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
