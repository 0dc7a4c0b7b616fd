// The clocks of the agent and mothrackctl, in the types of src/rollout. The decisions there take the time as
// an argument.
#pragma once

#include <chrono>
#include <cstdint>

#include "rollout/types.h"

namespace mothrack::agent {

// Reads the machine's steady clock, for leases and timeouts. Never compare it with another machine's.
inline rollout::TimePoint SteadyNow() {
  return std::chrono::time_point_cast<rollout::Duration>(std::chrono::steady_clock::now());
}

// Reads the wall clock in milliseconds since 1970 (UTC). It is only shown to people; no decision uses it.
inline std::int64_t UnixNow() {
  return std::chrono::duration_cast<rollout::Duration>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace mothrack::agent
