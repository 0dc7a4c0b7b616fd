// Outlier detection: which upstreams fail more than the others, and are ejected for a time.
//
// Guards against broken upstreams by the consecutive-failures circuit breaker of the Linkerd circuit-breaking
// RFC, per upstream. Load is no fault of one upstream: where the others fail too, the run of failures that
// ejects must be longer, so that the time-outs of an overload do not string up until all are out.
#pragma once

#include <optional>

#include "balancer/arithmetic.h"
#include "balancer/balancer.h"

namespace mothrack::balancer {

// The design page's own figures: failures in a row to eject, the first ejection, what each further one is
// multiplied by, and the longest.
inline constexpr int kFailuresToEject = 5;
inline constexpr Duration kBaseEjection = std::chrono::seconds(60);
inline constexpr int kEjectionMultiplier = 2;
inline constexpr Duration kMaxEjection = std::chrono::seconds(120);
// Failures in a row that make a suspect, which is passed over while others stand: a sidecar among many meets
// one upstream every few seconds, and a second failure there would cost as much as the probe that tells.
inline constexpr int kFailuresToSuspect = 2;
// Five in a row are rare where this share of attempts fails. Where more of the attempts to the other
// upstreams fail, the run must be long enough to be as rare as that.
inline constexpr double kOrdinaryFailureShare = 0.1;
// The others' share of failures is taken for no more than this: no run is rare where all fail.
inline constexpr double kMaxFailureShare = 0.95;
// An upstream's share of failures follows about this many of its latest attempts.
inline constexpr double kOutcomeMemory = 20;
// How strongly an upstream's share of failures takes from its weight: errors come fast and would attract
// requests.
inline constexpr int kSuccessPower = 3;
// Of its weight an upstream keeps this share however much it fails: it must be met to be known.
inline constexpr double kMinSuccessFactor = 0.02;

struct OutlierRecord {
  int failure_run = 0;  // failures in a row
  bool ejected = false;
  TimePoint ejected_until;              // or when it returned
  Duration ejection_time{};             // of the last ejection
  std::optional<TimePoint> ejected_at;  // the last ejection
  int ejected_after = 0;                // failures in a row, then
  TimePoint overtaken_at;               // the last time that a hedge was served before an attempt it held
  // Its own recent attempts, old ones fading.
  double calls = 0;
  double failures = 0;
  double timeouts = 0;  // of these
};

// What an upstream has just been ejected for.
struct Ejection {
  Duration duration{};
  int failures_in_a_row = 0;
};

class OutlierDetector {
 public:
  static bool IsOver(const OutlierRecord& record, TimePoint now) {
    return record.ejected && now >= record.ejected_until;
  }

  // Whether its run of failures makes it a suspect. No run is shorter than kFailuresToSuspect: most upstreams
  // are spared the rest.
  bool IsSuspect(const OutlierRecord& record) const {
    return record.failure_run >= kFailuresToSuspect &&
           record.failure_run >= RunAsRareAs(kFailuresToSuspect, record);
  }

  // What is left of an upstream's weight by its failures, from kMinSuccessFactor to 1. `loaded`: its answers
  // are slow. Time-outs beside fast answers attract no requests: the rest of what it takes it serves.
  static double SuccessFactor(const OutlierRecord& record, bool loaded);

  // An attempt was served or failed. Tells whether the upstream is ejected by that.
  std::optional<Ejection> RecordOutcome(OutlierRecord& record, Outcome outcome, TimePoint now);
  // A hedge was served before an attempt that the upstream still holds: a time-out that was not waited for.
  std::optional<Ejection> RecordOvertaken(OutlierRecord& record, TimePoint now);
  // No answer to as little as a load probe is a failure like another, but ejects nobody.
  static void RecordUnansweredProbe(OutlierRecord& record) { ++record.failure_run; }
  static void RecordReturn(OutlierRecord& record, TimePoint now);

  // The sums over the serving upstreams are worked out anew after each outcome: clear, then add each.
  void ClearSums() { all_calls_ = all_failures_ = 0; }
  void AddToSums(const OutlierRecord& record) {
    if (record.ejected) return;
    all_calls_ += record.calls;
    all_failures_ += record.failures;
  }

 private:
  double PeersFailureShare(const OutlierRecord& record) const;
  int RunAsRareAs(int run, const OutlierRecord& record) const;
  std::optional<Ejection> EjectAfterLongRun(OutlierRecord& record, TimePoint now) const;

  double all_calls_ = 0;  // sums over the serving upstreams that are not ejected
  double all_failures_ = 0;
};

}  // namespace mothrack::balancer
