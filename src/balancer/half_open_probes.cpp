#include "balancer/half_open_probes.h"

#include <algorithm>

#include "balancer/arithmetic.h"

namespace mothrack::balancer {

void HalfOpenProbes::RecordEjection(HalfOpenRecord& record, TimePoint now) {
  record.delay = kFirstProbeDelay;
  record.next_probe = now + record.delay;
  record.served = 0;
}

bool HalfOpenProbes::RecordOutcome(HalfOpenRecord& record, bool ejected, Outcome outcome, TimePoint now) {
  record.in_flight = false;
  record.next_probe = now;
  if (outcome == Outcome::kServed) return ejected && ++record.served >= kProbesToReturn;
  if (IsFailure(outcome)) {
    record.served = 0;
    record.delay = ejected ? std::min(record.delay * 2, kMaxProbeDelay) : kFirstProbeDelay;
    record.next_probe = now + record.delay;
  } else {
    record.next_probe = now + kFirstProbeDelay;
  }
  return false;
}

}  // namespace mothrack::balancer
