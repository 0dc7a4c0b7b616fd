// Latency model: how long answers take, by class, by upstream and by kind of machine.
//
// Guards against slow upstreams, which are given less, and tells what is late. A sidecar with few requests
// meets one upstream too seldom to know it: until it has answered often, it is taken for what its kind of
// machine is like.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "balancer/arithmetic.h"
#include "balancer/balancer.h"

namespace mothrack::balancer {

// The usual time of a class and the slowness of a kind of machine follow about this many answers, ...
inline constexpr double kUsualTimeMemory = 50;
// ... an upstream's slowness this many of its own, ...
inline constexpr double kSlownessMemory = 10;
// ... and the speed of upstreams in slow start this many.
inline constexpr double kSlowStartTimesMemory = 20;
// Until an upstream has given this many answers its kind weighs more than its own times.
inline constexpr double kKindPrior = 5;
// No upstream is taken for more than this many times slower or faster than the others.
inline constexpr double kMaxSlowness = 3;
// An upstream under load answers all slowly: a time-out tells of load only where its answers take this share
// of their latency objectives in the mean. Guards against shedding for one that swallows some attempts and
// has capacity left.
inline constexpr double kLoadedShare = 0.35;
// Before a class has answers, its usual time is its latency objective divided by this.
inline constexpr int kObjectiveToUsualTime = 4;

struct LatencyRecord {
  Mean slowness;         // its answers' time against the usual one of their class
  Mean objective_share;  // its answers' time against their latency objective
};

// An attempt's end, as far as its time is concerned.
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

  // The usual time of an answer to a class, and to all.
  Duration UsualTime(std::size_t class_index) const {
    return TimeOr(usual_time_[class_index],
                  settings_.classes[class_index].latency_objective / kObjectiveToUsualTime);
  }
  Duration UsualTime() const {
    return TimeOr(usual_time_of_all_, settings_.classes[0].latency_objective / kObjectiveToUsualTime);
  }

  // Of each class, by its index, into a vector that is kept for its memory.
  void GetUsualTimes(std::vector<Duration>& times) const;

  // How many times as long as usual the answers take of a kind of machine, and of an upstream of that kind.
  double KindSlowness(const std::string& kind) const {
    const auto known = kind_slowness_.find(kind);
    if (known == kind_slowness_.end() || known->second.samples <= 0) return 1;
    return std::clamp(known->second.value, 1 / kMaxSlowness, kMaxSlowness);
  }
  double Slowness(const LatencyRecord& record, const std::string& kind) const {
    return Slowness(record, KindSlowness(kind));
  }
  static double Slowness(const LatencyRecord& record, double kind_slowness) {
    const double known = kKindPrior * kind_slowness + record.slowness.samples * record.slowness.value;
    return std::clamp(known / (kKindPrior + record.slowness.samples), 1 / kMaxSlowness, kMaxSlowness);
  }

  static bool IsLoaded(const LatencyRecord& record) { return record.objective_share.value >= kLoadedShare; }

  // What an upstream in slow start is likely to have of its capacity: as much more than the least,
  // `slow_start_factor`, as those in slow start answer faster than by that.
  double LikelyFactor(double slow_start_factor) const {
    if (slow_start_factor >= 1 || slow_start_times_.samples < kKindPrior) return slow_start_factor;
    return std::clamp(slow_start_factor / slow_start_times_.value, slow_start_factor, 1.0);
  }

  void RecordAnswer(LatencyRecord& record, const std::string& kind, const TimedAnswer& answer);

 private:
  const Settings& settings_;
  std::vector<Mean> usual_time_;  // microseconds, by class
  Mean usual_time_of_all_;        // microseconds
  std::map<std::string, Mean> kind_slowness_;
  Mean slow_start_times_;  // of upstreams in slow start, against what their least share makes of a usual time
};

}  // namespace mothrack::balancer
