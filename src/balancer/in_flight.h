// The attempts of this sidecar that an upstream has in flight, and since when it has not answered.
//
// Guards against hung processes, dead machines and network partitions, whose only sign is that answers are
// missing. While others are usable, such an upstream is avoided before its consecutive failures suffice for
// ejection. One answer ends that.
#pragma once

#include <cstdint>

#include "balancer/arithmetic.h"
#include "balancer/balancer.h"

namespace mothrack::balancer {

// An upstream with attempts in flight is unresponsive once it has answered nothing for this many usual answer
// times. Service times are roughly exponential, so a healthy upstream with one attempt exceeds that once in
// twenty.
inline constexpr double kUnresponsiveTimes = 3;

struct InFlightRecord {
  int attempts = 0;         // in flight
  TimePoint waiting_since;  // while attempts > 0: since when none of them has been answered
  TimePoint full_until;     // after it rejected an attempt as full: nothing is sent before this time
  // Counters since this process became known, for UpstreamView only.
  std::uint64_t sent = 0;
  std::uint64_t unanswered = 0;

  void Begin(TimePoint now) {
    if (attempts++ == 0) waiting_since = now;
  }
  void End() { --attempts; }

  // `usual_time`: of an answer over all classes; `slowness` and `slow_start_factor`: of this upstream.
  bool IsUnresponsive(TimePoint now, Duration usual_time, double slowness, double slow_start_factor) const {
    return attempts > 0 &&
           now - waiting_since > Scaled(usual_time, kUnresponsiveTimes * slowness / slow_start_factor);
  }
};

}  // namespace mothrack::balancer
