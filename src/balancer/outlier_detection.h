// Outlier detection: ejects upstreams that fail more often than the others, for a limited time.
//
// A consecutive-failures circuit breaker per upstream, after the Linkerd circuit-breaking RFC. Overload is
// not the fault of one upstream: the more the other upstreams fail, the longer the run of failures that
// ejects, so that the time-outs of an overload do not eject upstreams one by one until none is left.
#pragma once

#include <optional>

#include "balancer/arithmetic.h"
#include "balancer/balancer.h"

namespace mothrack::balancer {

// Consecutive failures that eject while few attempts at the other upstreams fail. The design page states this
// number, and the durations of an ejection below.
inline constexpr int kFailuresToEject = 5;
// Duration of the first ejection, factor for each repeated one, and the maximum.
inline constexpr Duration kBaseEjection = std::chrono::seconds(60);
inline constexpr int kEjectionMultiplier = 2;
inline constexpr Duration kMaxEjection = std::chrono::seconds(120);
// Consecutive failures that make an upstream suspect; a suspect is avoided while others are usable. The
// number is small because one sidecar of a big fleet sends an upstream only one request every few seconds.
inline constexpr int kFailuresToSuspect = 2;
// The share of failed attempts at which kFailuresToEject failures in a row are still rare. If more of the
// attempts at the other upstreams fail, the run of failures has to be long enough to be equally rare.
inline constexpr double kOrdinaryFailureShare = 0.1;
// Upper bound on the others' failure share: if all attempts failed, no run would be rare enough.
inline constexpr double kMaxFailureShare = 0.95;
// Memory, in attempts, of an upstream's failure share.
inline constexpr double kOutcomeMemory = 20;
// Exponent by which the success share reduces an upstream's weight: errors are fast and would otherwise
// attract requests.
inline constexpr int kSuccessPower = 3;
// Share of its weight that an upstream keeps however much it fails, so that a recovery is noticed.
inline constexpr double kMinSuccessFactor = 0.02;

struct OutlierRecord {
  int failure_run = 0;  // consecutive failures
  bool ejected = false;
  TimePoint ejected_until;              // once it has returned: the time of the return
  Duration ejection_time{};             // duration of the last ejection
  std::optional<TimePoint> ejected_at;  // start of the last ejection
  int ejected_after = 0;                // consecutive failures that caused that ejection
  TimePoint overtaken_at;               // last time that a hedge elsewhere was served before an attempt here
  // Exponentially decayed counts of its recent attempts.
  double attempts = 0;
  double failures = 0;
  double timeouts = 0;  // the failures that were time-outs
};

// An ejection that has just begun.
struct Ejection {
  Duration duration{};
  int failures_in_a_row = 0;
};

class OutlierDetector {
 public:
  static bool IsEjectionExpired(const OutlierRecord& record, TimePoint now) {
    return record.ejected && now >= record.ejected_until;
  }

  // Whether the upstream is suspect because of its consecutive failures. The cheap comparison comes first:
  // it is false for most upstreams, so RunAsRareAs() is rarely computed.
  bool IsSuspect(const OutlierRecord& record) const {
    return record.failure_run >= kFailuresToSuspect &&
           record.failure_run >= RunAsRareAs(kFailuresToSuspect, record);
  }

  // The factor by which failures reduce an upstream's weight, from kMinSuccessFactor to 1. `loaded`: its
  // answers are slow. If its answers are fast, time-outs reduce the weight only in proportion: they attract
  // no requests, and the other attempts are served.
  static double SuccessFactor(const OutlierRecord& record, bool loaded);

  // An attempt was served or failed. Returns the ejection if this causes one.
  std::optional<Ejection> RecordOutcome(OutlierRecord& record, Outcome outcome, TimePoint now);
  // A hedge was served before an attempt still in flight here, which counts as a time-out.
  std::optional<Ejection> RecordOvertaken(OutlierRecord& record, TimePoint now);
  // An unanswered load probe adds to the consecutive failures but never ejects.
  static void RecordUnansweredProbe(OutlierRecord& record) { ++record.failure_run; }
  static void RecordReturn(OutlierRecord& record, TimePoint now);

  // Sets the sums over the serving upstreams to 0, before they are recomputed after an outcome.
  void ClearSums() { all_attempts_ = all_failures_ = 0; }
  // Adds the attempts and failures of a serving upstream to the sums unless it is ejected.
  void AddToSums(const OutlierRecord& record) {
    if (record.ejected) return;
    all_attempts_ += record.attempts;
    all_failures_ += record.failures;
  }

 private:
  double PeersFailureShare(const OutlierRecord& record) const;
  int RunAsRareAs(int run, const OutlierRecord& record) const;
  std::optional<Ejection> EjectAfterLongRun(OutlierRecord& record, TimePoint now) const;

  double all_attempts_ = 0;  // sums over the serving upstreams that are not ejected
  double all_failures_ = 0;
};

}  // namespace mothrack::balancer
