// Load shedder: the share of requests that is rejected while the fleet is overloaded.
//
// Requests that can't be answered in time are rejected early, while that is harmless and cheap, so that the
// rest is served in time. Signs of overload are answers later than their latency objective, time-outs and
// "full" outcomes at healthy upstreams. The share rises with each late outcome and falls with each one in
// time, so that it settles where kTooManyLate of the outcomes are late. It controls a share rather than a
// concurrency limit: a sidecar with little traffic has three attempts in flight by chance, and with a limit a
// hundred such sidecars would reject what the fleet has capacity for.
#pragma once

#include <cstddef>
#include <vector>

#include "balancer/arithmetic.h"
#include "balancer/balancer.h"

namespace mothrack::balancer {

// An answer counts as late from this share of its latency objective on, to react before answers lose weight.
inline constexpr double kLateFrom = 0.8;
// Share of late answers above which the fleet is overloaded.
inline constexpr double kTooManyLate = 0.2;
// Memory, in answers, of the share of late ones.
inline constexpr double kLateMemory = 10;
// The rejected share moves over its range in about this time, or in kShedOutcomes outcomes if these take
// longer.
inline constexpr Duration kShedTime = std::chrono::milliseconds(1000);
inline constexpr double kShedOutcomes = 40;
// The rejected share falls up to this many times faster while hardly any answer is late.
inline constexpr double kShedFallFactor = 5;
// Upper bound of the rejected share: the remaining requests show when the overload is over.
inline constexpr double kMaxShed = 0.9;
// The rejected share above which the sidecar counts as shedding, and hedges and retries are restricted.
inline constexpr double kSheddingShare = 0.1;
// A sudden loss of more than this share of the usable weight that is also at least kMinUpstreamsLost
// upstreams sets the rejected share at once, before answers are late. The outcomes then correct it.
inline constexpr double kSuddenLossShare = 0.3;
// The minimum of upstreams lost: one of three that fails is no sign of overload.
inline constexpr double kMinUpstreamsLost = 4;
// After such a loss the remaining upstreams are assumed to serve this many times their former load.
inline constexpr double kHeadroom = 1.1;
// Decay time of the maximum usable weight, to which the usable weight is compared to detect a loss.
inline constexpr Duration kLossMemory = std::chrono::seconds(20);
// Classes with the least priority weight per unit of service time are rejected first, but each class keeps at
// least this share of its requests while others still have more.
inline constexpr double kClassFloor = 0.2;
// Decay time of the work requested per class.
inline constexpr Duration kDemandMemory = std::chrono::seconds(60);
// Memory, in ticks, of the usual number of attempts in flight.
inline constexpr double kUsualInFlightMemory = 50;
// An interval of rejections is over once nothing was rejected for this long.
inline constexpr Duration kRejectionInterval = std::chrono::seconds(2);

// Sums of listed weights over the upstreams that the endpoint list states as serving.
struct FleetWeights {
  double serving = 0;
  double usable = 0;  // neither ejected nor suspect, scaled by the estimated slow start factor
  // Not ejected, suspect or in slow start, so that late answers are a sign of load.
  double healthy_past_slow_start = 0;
  int upstreams = 0;  // number of serving ones
};

// The end of an attempt, reduced to what its lateness depends on.
struct LatenessInput {
  Outcome outcome = Outcome::kServed;
  Duration elapsed{};
  Duration latency_objective{};
  bool loaded = false;                   // its upstream answers slowly (LatencyModel::IsLoaded)
  bool healthy_past_slow_start = false;  // of its upstream; determined only for a late outcome
};

class LoadShedder {
 public:
  explicit LoadShedder(const std::vector<RequestClass>& classes)
      : classes_(classes), demand_(classes.size()) {}

  // `usual_time`: of the class's answers.
  void RecordDemand(std::size_t class_index, Duration usual_time) {
    demand_[class_index] += static_cast<double>(usual_time.count());
  }
  // The share of the class's requests that is admitted, from 0 to 1. `usual_times`: by class.
  double AdmittedShare(std::size_t class_index, const std::vector<Duration>& usual_times) const;
  bool RejectsAny() const { return shed_ > 0; }
  bool IsShedding() const { return shed_ > kSheddingShare; }
  double shed() const { return shed_; }            // share of the requested work that is rejected
  double in_flight() const { return in_flight_; }  // attempts
  const FleetWeights& weights() const { return weights_; }

  static bool IsLate(Outcome outcome, Duration elapsed, Duration latency_objective) {
    return outcome != Outcome::kServed || elapsed > Scaled(latency_objective, kLateFrom);
  }
  void RecordSent() { ++in_flight_; }
  void RecordReleased() { --in_flight_; }
  // `usual_rate`: requests a second.
  void RecordOutcome(const LatenessInput& attempt, double usual_rate);
  void RecordTick(const FleetWeights& weights);

  // A request is rejected. Returns whether an interval of rejections begins with it.
  bool RecordRejection(TimePoint now);
  // Returns whether an interval of rejections has just ended.
  bool RejectionsEnded(TimePoint now);

 private:
  double PriorityPerServiceTime(std::size_t class_index, const std::vector<Duration>& usual_times) const;

  const std::vector<RequestClass>& classes_;
  double shed_ = 0;
  double late_share_ = 0;       // of the latest outcomes, from 0 to 1
  std::vector<double> demand_;  // by class, in microseconds of usual time, decaying
  double in_flight_ = 0;
  double mean_in_flight_ = 0;   // moving average over about kShedTime
  double usual_in_flight_ = 0;  // per unit of usable weight, while answers are in time
  FleetWeights weights_;        // at the last tick
  double max_usable_ = 0;       // maximum of the usable weight, slowly decaying
  bool rejecting_ = false;
  TimePoint last_rejection_;
};

}  // namespace mothrack::balancer
