#include "balancer/outlier_detection.h"

#include <algorithm>
#include <cmath>

namespace mothrack::balancer {

double OutlierDetector::SuccessFactor(const OutlierRecord& record, bool loaded) {
  const double attempts = std::max(record.attempts, static_cast<double>(kFailuresToEject));
  const double timeout_share = loaded ? 0 : record.timeouts / attempts;
  const double failure_share = record.failures / attempts - timeout_share;
  const double success_factor = failure_share == 0 ? 1 : std::pow(1 - failure_share, kSuccessPower);
  return std::max(kMinSuccessFactor, success_factor * (1 - timeout_share));
}

std::optional<Ejection> OutlierDetector::RecordOutcome(OutlierRecord& record, Outcome outcome,
                                                       TimePoint now) {
  const bool served = outcome == Outcome::kServed;
  record.attempts += 1 - record.attempts / kOutcomeMemory;
  record.failures += (served ? 0 : 1) - record.failures / kOutcomeMemory;
  record.timeouts += (outcome == Outcome::kTimeout ? 1 : 0) - record.timeouts / kOutcomeMemory;
  record.failure_run = served ? 0 : record.failure_run + 1;
  return EjectAfterLongRun(record, now);
}

std::optional<Ejection> OutlierDetector::RecordOvertaken(OutlierRecord& record, TimePoint now) {
  record.overtaken_at = now;
  ++record.failure_run;
  return EjectAfterLongRun(record, now);
}

void OutlierDetector::RecordReturn(OutlierRecord& record, TimePoint now) {
  record.ejected = false;
  record.ejected_until = now;
}

double OutlierDetector::PeersFailureShare(const OutlierRecord& record) const {
  const double attempts = all_attempts_ - (record.ejected ? 0 : record.attempts);
  const double failures = all_failures_ - (record.ejected ? 0 : record.failures);
  return attempts < 1 ? 0 : std::clamp(failures / attempts, 0.0, kMaxFailureShare);
}

// The length of a run of failures that is as rare, at the other upstreams' failure share, as `run` is at
// kOrdinaryFailureShare.
int OutlierDetector::RunAsRareAs(int run, const OutlierRecord& record) const {
  const double share = PeersFailureShare(record);
  if (share <= kOrdinaryFailureShare) return run;
  return static_cast<int>(std::ceil(run * std::log(kOrdinaryFailureShare) / std::log(share)));
}

std::optional<Ejection> OutlierDetector::EjectAfterLongRun(OutlierRecord& record, TimePoint now) const {
  const int run = record.failure_run;
  if (record.ejected || run < RunAsRareAs(kFailuresToEject, record)) return std::nullopt;
  const bool repeated = record.ejected_at && now - record.ejected_until < kBaseEjection;
  record.ejection_time =
      repeated ? std::min(record.ejection_time * kEjectionMultiplier, kMaxEjection) : kBaseEjection;
  record.ejected = true;
  record.ejected_at = now;
  record.ejected_after = run;
  record.ejected_until = now + record.ejection_time;
  record.failure_run = 0;
  return Ejection{record.ejection_time, run};
}

}  // namespace mothrack::balancer
