// The clocks of the agent and the tool, in the types of rollout, whose decisions get the time handed in.
#pragma once

#include <chrono>
#include <cstdint>

#include "rollout/types.h"

namespace mothrack::agent {

// The machine's steady clock: for leases and timeouts, never compared with another machine's.
inline rollout::TimePoint SteadyNow() {
  return std::chrono::time_point_cast<rollout::Duration>(std::chrono::steady_clock::now());
}

// The wall clock in milliseconds since 1970 (UTC): for people only, nothing is decided by it.
inline std::int64_t UnixNow() {
  return std::chrono::duration_cast<rollout::Duration>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace mothrack::agent
