// What an upstream holds of this sidecar's attempts, and since when it has said nothing.
//
// Guards against hangs, silent machines and cut links, which show by nothing but time: such an upstream is
// passed over before its failures run long, while others stand. One answer clears it.
#pragma once

#include <cstdint>

#include "balancer/arithmetic.h"
#include "balancer/balancer.h"

namespace mothrack::balancer {

// Unresponsive: it holds attempts and has answered nothing for this many usual times. Service times are about
// exponential, so a healthy upstream with one attempt is that slow once in twenty.
inline constexpr double kUnresponsiveTimes = 3;

struct InFlightRecord {
  int attempts = 0;         // that it holds
  TimePoint waiting_since;  // while it holds attempts: since when it has answered none
  TimePoint full_until;     // it said that it is full: nothing more is sent to it before
  // For people who look: since this process of it was first heard of.
  std::uint64_t sent = 0;
  std::uint64_t unanswered = 0;

  void Begin(TimePoint now) {
    if (attempts++ == 0) waiting_since = now;
  }
  void End() { --attempts; }

  // `usual_time`: of an answer; `slowness` and `slow_start_factor`: the upstream's.
  bool IsUnresponsive(TimePoint now, Duration usual_time, double slowness, double slow_start_factor) const {
    return attempts > 0 &&
           now - waiting_since > Scaled(usual_time, kUnresponsiveTimes * slowness / slow_start_factor);
  }
};

}  // namespace mothrack::balancer
