// Half-open probes: test whether an ejected or suspect upstream serves again before its ejection ends.
//
// Guards against keeping an upstream ejected long after its fault has ended. The probes are hedges of
// requests that may be repeated (the half-open state of a circuit breaker, as in the Linkerd circuit-breaking
// RFC), so that a failed probe costs no request.
#pragma once

#include "balancer/balancer.h"

namespace mothrack::balancer {

// Delay before the first probe, which doubles after each failed one up to kMaxProbeDelay.
inline constexpr Duration kFirstProbeDelay = std::chrono::milliseconds(1000);
inline constexpr Duration kMaxProbeDelay = std::chrono::milliseconds(8000);
// Consecutive successful probes that end an ejection. One is not enough, since an upstream that fails only
// some attempts may serve it by chance.
inline constexpr int kProbesToReturn = 2;

struct HalfOpenRecord {
  TimePoint next_probe;
  Duration delay{};        // before the next probe
  int served = 0;          // consecutive successful probes since the ejection
  bool in_flight = false;  // whether a probe is in flight; there is at most one
};

class HalfOpenProbes {
 public:
  static bool MayProbe(const HalfOpenRecord& record, TimePoint now) {
    return !record.in_flight && now >= record.next_probe;
  }
  static void RecordEjection(HalfOpenRecord& record, TimePoint now);
  static void RecordSent(HalfOpenRecord& record) { record.in_flight = true; }
  // A probe ended. Returns whether that ends the upstream's ejection.
  static bool RecordOutcome(HalfOpenRecord& record, bool ejected, Outcome outcome, TimePoint now);
};

}  // namespace mothrack::balancer
