// Latency model: how long answers take, by class, by upstream and by kind of machine.
//
// Slow upstreams get less weight, and a request is late if it takes long compared to the usual time of its
// class. A sidecar with few requests has few samples of each upstream. Until it has enough, the mean of the
// upstream's kind of machine serves as prior.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "balancer/arithmetic.h"
#include "balancer/balancer.h"

namespace mothrack::balancer {

// Memory, in answers, of the usual time of a class and the slowness of a kind of machine.
inline constexpr double kUsualTimeMemory = 50;
// Memory, in answers, of an upstream's own slowness.
inline constexpr double kSlownessMemory = 10;
// Memory, in answers, of the speed of upstreams in slow start.
inline constexpr double kSlowStartTimesMemory = 20;
// Weight, in answers, of the prior that the kind of machine gives.
inline constexpr double kKindPrior = 5;
// Bound on an upstream's estimated slowness, and on its inverse.
inline constexpr double kMaxSlowness = 3;
// A time-out is a sign of overload only if the upstream's answers take this share of their latency objective
// on average, since a loaded upstream answers everything slowly. Otherwise an upstream that drops some
// attempts but has capacity left would cause load shedding.
inline constexpr double kLoadedShare = 0.35;
// The usual time of a class without answers is its latency objective divided by this.
inline constexpr int kObjectiveToUsualTime = 4;

struct LatencyRecord {
  Mean slowness;         // answer time divided by the usual time of the class
  Mean objective_share;  // answer time divided by the latency objective
};

// The end of an attempt, reduced to what its time depends on.
struct TimedAnswer {
  std::size_t class_index = 0;
  Duration latency_objective{};
  double slow_start_factor = 1;  // of the upstream, now
  Outcome outcome = Outcome::kServed;
  Duration elapsed{};
};

class LatencyModel {
 public:
  explicit LatencyModel(const Settings& settings)
      : settings_(settings), usual_time_(settings.classes.size()) {}

  // The usual answer time of a class.
  Duration UsualTime(std::size_t class_index) const {
    return TimeOr(usual_time_[class_index],
                  settings_.classes[class_index].latency_objective / kObjectiveToUsualTime);
  }
  // The usual answer time over all classes.
  Duration UsualTime() const {
    return TimeOr(usual_time_of_all_, settings_.classes[0].latency_objective / kObjectiveToUsualTime);
  }

  // The usual times of all classes by index, into a vector that the caller reuses.
  void GetUsualTimes(std::vector<Duration>& times) const;

  // The answer time of a kind of machine as a multiple of the usual one.
  double KindSlowness(const std::string& kind) const {
    const auto known = kind_slowness_.find(kind);
    if (known == kind_slowness_.end() || known->second.samples <= 0) return 1;
    return std::clamp(known->second.value, 1 / kMaxSlowness, kMaxSlowness);
  }
  // The answer time of an upstream of a kind of machine as a multiple of the usual one.
  double Slowness(const LatencyRecord& record, const std::string& kind) const {
    return Slowness(record, KindSlowness(kind));
  }
  static double Slowness(const LatencyRecord& record, double kind_slowness) {
    const double known = kKindPrior * kind_slowness + record.slowness.samples * record.slowness.value;
    return std::clamp(known / (kKindPrior + record.slowness.samples), 1 / kMaxSlowness, kMaxSlowness);
  }

  static bool IsLoaded(const LatencyRecord& record) { return record.objective_share.value >= kLoadedShare; }

  // The share of its capacity that an upstream in slow start is estimated to have: the guaranteed minimum,
  // `slow_start_factor`, scaled up by how much faster upstreams in slow start answer than that implies.
  double EstimatedFactor(double slow_start_factor) const {
    if (slow_start_factor >= 1 || slow_start_times_.samples < kKindPrior) return slow_start_factor;
    return std::clamp(slow_start_factor / slow_start_times_.value, slow_start_factor, 1.0);
  }

  void RecordAnswer(LatencyRecord& record, const std::string& kind, const TimedAnswer& answer);

 private:
  const Settings& settings_;
  std::vector<Mean> usual_time_;  // microseconds, by class
  Mean usual_time_of_all_;        // microseconds
  std::map<std::string, Mean> kind_slowness_;
  Mean slow_start_times_;  // of upstreams in slow start, relative to what their minimum share implies
};

}  // namespace mothrack::balancer
