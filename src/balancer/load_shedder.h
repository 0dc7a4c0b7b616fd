// Load shedder: which share of the requests is refused while the fleet is overloaded.
//
// Guards against an overload, whatever its cause: what can't be answered in time is refused while that is
// harmless and cheap, so that the rest is in time. Overload shows as answers after their latency objective,
// time-outs and refusals as full from upstreams in good standing. The share refused rises with each late one
// and falls with each in time, so that it stands where kTooManyLate of them are late. By shares, not by
// attempts in flight: a sidecar with few requests holds three by chance, and a hundred of them would refuse
// what the fleet has capacity for.
#pragma once

#include <cstddef>
#include <vector>

#include "balancer/arithmetic.h"
#include "balancer/balancer.h"

namespace mothrack::balancer {

// Late is what took this share of its latency objective: a jam must be met before it costs its worth.
inline constexpr double kLateFrom = 0.8;
// Of the answers; more than this share being late is an overload.
inline constexpr double kTooManyLate = 0.2;
// The share of late answers follows about this many of the latest.
inline constexpr double kLateMemory = 10;
// The share refused goes over its whole range in about this time, ...
inline constexpr Duration kShedTime = std::chrono::milliseconds(1000);
// ... or in this many outcomes where these take longer, ...
inline constexpr double kShedSample = 40;
// ... and back up to this many times faster once hardly any are late.
inline constexpr double kShedEase = 5;
// No more than this share is refused: the rest shows when the overload is over.
inline constexpr double kMaxShed = 0.9;
// Shedding from here on, retries and hedges are left out too.
inline constexpr double kShedding = 0.1;
// Where this share of what can serve goes within some seconds, ...
inline constexpr double kGreatLoss = 0.3;
// ... and this many upstreams (the one of three that fails is no sign of overload), ...
inline constexpr double kMinUpstreamsLost = 4;
// ... the rest is taken to bear this many times what it bore; the share refused starts from there, and the
// answers tell whether that is too much.
inline constexpr double kHeadroom = 1.1;
// How long the greatest weight that could serve is remembered.
inline constexpr Duration kLossMemory = std::chrono::seconds(20);
// The classes with the least worth for their time are refused first, but each class keeps at least this share
// of its requests while others have more than that.
inline constexpr double kClassFloor = 0.2;
// How long the work that each class asks for is remembered.
inline constexpr Duration kDemandMemory = std::chrono::seconds(60);
// The usual number of attempts in flight follows about this many ticks.
inline constexpr double kUsualInFlightMemory = 50;
// Refusing is over when nothing was refused for this long.
inline constexpr Duration kRefusalInterval = std::chrono::seconds(2);

// Listed weights, summed over the upstreams that serve by the list.
struct FleetWeights {
  double serving = 0;
  double able = 0;     // that can take requests, those in slow start as far as they can
  double telling = 0;  // whose lateness tells of load: neither ejected nor suspect nor in slow start
  int upstreams = 0;   // that serve
};

// The end of an attempt, as far as its lateness is concerned.
struct TimelyOutcome {
  Outcome outcome = Outcome::kServed;
  Duration elapsed{};
  Duration latency_objective{};
  bool loaded = false;   // its upstream answers slowly
  bool telling = false;  // of a late one: its upstream is in good standing and past slow start
};

class LoadShedder {
 public:
  explicit LoadShedder(const std::vector<RequestClass>& classes)
      : classes_(classes), demand_(classes.size()) {}

  // `usual_time`: of the class's answers.
  void RecordDemand(std::size_t class_index, Duration usual_time) {
    demand_[class_index] += static_cast<double>(usual_time.count());
  }
  // The share of the class's requests that is let in, for `usual_times` by class.
  double AdmittedShare(std::size_t class_index, const std::vector<Duration>& usual_times) const;
  bool RefusesAny() const { return shed_ > 0; }
  bool IsShedding() const { return shed_ > kShedding; }
  double shed() const { return shed_; }            // the share of the work asked for that is refused
  double in_flight() const { return in_flight_; }  // attempts
  const FleetWeights& weights() const { return weights_; }

  static bool IsLate(Outcome outcome, Duration elapsed, Duration latency_objective) {
    return outcome != Outcome::kServed || elapsed > Scaled(latency_objective, kLateFrom);
  }
  void RecordSent() { ++in_flight_; }
  void RecordReleased() { --in_flight_; }
  // `usual_rate`: requests a second.
  void RecordOutcome(const TimelyOutcome& outcome, double usual_rate);
  void RecordTick(const FleetWeights& weights);

  // A request is refused. Tells whether refusing begins with it.
  bool RecordRefusal(TimePoint now);
  // Tells whether refusing has just ended.
  bool RefusingEnded(TimePoint now);

 private:
  double PriorityForTime(std::size_t class_index, const std::vector<Duration>& usual_times) const;

  const std::vector<RequestClass>& classes_;
  double shed_ = 0;
  double late_share_ = 0;       // of the latest outcomes
  std::vector<double> demand_;  // each class's, in microseconds of its usual time, slowly fading
  double in_flight_ = 0;
  double mean_in_flight_ = 0;   // over about kShedTime
  double usual_in_flight_ = 0;  // for each unit of weight, while answers are in time
  FleetWeights weights_;        // at the last tick
  double able_before_ = 0;      // the most weight that could take requests, slow to fall
  bool refusing_ = false;
  TimePoint refused_at_;
};

}  // namespace mothrack::balancer
