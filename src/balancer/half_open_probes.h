// Half-open probes: trying out an ejected or suspect upstream ahead of its time.
//
// Guards against keeping an upstream out long after its fault has ended. Copies of requests that may be
// repeated are the probes (the half-open state of a circuit breaker, as in the Linkerd circuit-breaking RFC),
// so that a relapse costs no request.
#pragma once

#include "balancer/balancer.h"

namespace mothrack::balancer {

// The first probe follows after this, the next ones at twice the time after each that fails, up to the most.
inline constexpr Duration kFirstProbeDelay = std::chrono::milliseconds(1000);
inline constexpr Duration kMaxProbeDelay = std::chrono::milliseconds(8000);
// Probes served in a row to return: one may be luck where an upstream fails only some.
inline constexpr int kProbesToReturn = 2;

struct HalfOpenRecord {
  TimePoint next_probe;
  Duration delay{};        // before the next probe
  int served = 0;          // probes in a row since the ejection
  bool under_way = false;  // one probe at a time
};

class HalfOpenProbes {
 public:
  static bool MayProbe(const HalfOpenRecord& record, TimePoint now) {
    return !record.under_way && now >= record.next_probe;
  }
  static void RecordEjection(HalfOpenRecord& record, TimePoint now);
  static void RecordSent(HalfOpenRecord& record) { record.under_way = true; }
  // Whether the upstream has served often enough to return from its ejection.
  static bool RecordOutcome(HalfOpenRecord& record, bool ejected, Outcome outcome, TimePoint now);
};

}  // namespace mothrack::balancer
