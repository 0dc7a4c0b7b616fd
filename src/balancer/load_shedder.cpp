#include "balancer/load_shedder.h"

#include <algorithm>
#include <utility>

#include "balancer/tick.h"

namespace mothrack::balancer {

double LoadShedder::AdmittedShare(std::size_t class_index, const std::vector<Duration>& usual_times) const {
  double total_demand = 0, lower_demand = 0, total_floor = 0;
  const double own_priority = PriorityPerServiceTime(class_index, usual_times);
  for (std::size_t other_class = 0; other_class < classes_.size(); ++other_class) {
    total_demand += demand_[other_class];
    total_floor += demand_[other_class] * kClassFloor;
    if (other_class == class_index || PriorityPerServiceTime(other_class, usual_times) > own_priority)
      continue;
    lower_demand += demand_[other_class];
  }
  const double lower_cut = lower_demand * (1 - kClassFloor);
  const double own_demand = demand_[class_index];
  const double cut = shed_ * total_demand;
  // All classes are at their floor: the rest is cut from each in proportion.
  if (cut > total_demand - total_floor) return kClassFloor * (total_demand - cut) / total_floor;
  return 1 - std::clamp((cut - lower_cut) / own_demand, 0.0, 1 - kClassFloor);
}

double LoadShedder::PriorityPerServiceTime(std::size_t class_index,
                                           const std::vector<Duration>& usual_times) const {
  return classes_[class_index].priority_weight / static_cast<double>(usual_times[class_index].count());
}

void LoadShedder::RecordOutcome(const LatenessInput& attempt, double usual_rate) {
  const Outcome outcome = attempt.outcome;
  if (outcome != Outcome::kServed && outcome != Outcome::kTimeout && outcome != Outcome::kFull) return;
  if (outcome == Outcome::kTimeout && !attempt.loaded) return;
  const bool late = IsLate(outcome, attempt.elapsed, attempt.latency_objective);
  // A late answer of an upstream that is ejected, suspect or in slow start is its own fault, unless at least
  // three quarters of the weight are such upstreams. Answers in time always count: if the few admitted
  // requests all go to upstreams in slow start, nothing else shows that the overload is over.
  if (late && !attempt.healthy_past_slow_start && 4 * weights_.healthy_past_slow_start > weights_.serving)
    return;
  const double step = 1 / std::max(kShedOutcomes, usual_rate * Seconds(kShedTime));
  // With no more in flight than usual, load is not the cause (for example all upstreams are slow), and
  // rejecting more would not help.
  if (late && mean_in_flight_ < usual_in_flight_ * weights_.usable) return;
  late_share_ += ((late ? 1 : 0) - late_share_) / kLateMemory;
  // A few late ones among many in time are slow requests, not overload. Once requests are rejected, each late
  // one counts.
  if (late && shed_ <= 0 && late_share_ <= kTooManyLate) return;
  const double fall_factor = 1 + kShedFallFactor * std::max(0.0, 1 - late_share_ / kTooManyLate);
  shed_ += late ? step : -step * fall_factor * kTooManyLate / (1 - kTooManyLate);
  shed_ = std::clamp(shed_, 0.0, kMaxShed);
}

void LoadShedder::RecordTick(const FleetWeights& weights) {
  weights_ = weights;
  const double usable = weights_.usable;
  // React to a sudden loss of capacity before late answers show it, when queues are already full.
  max_usable_ = std::max(usable, max_usable_ * (1 - Seconds(kTickInterval) / Seconds(kLossMemory)));
  const double lost = max_usable_ - usable;
  if (lost > max_usable_ * kSuddenLossShare &&
      lost * weights_.upstreams >= kMinUpstreamsLost * weights_.serving) {
    shed_ = std::max(shed_, std::min(kMaxShed, 1 - kHeadroom * usable / max_usable_));
    max_usable_ = usable;
  }
  mean_in_flight_ += (in_flight_ - mean_in_flight_) * Seconds(kTickInterval) / Seconds(kShedTime);
  const bool in_time = shed_ <= 0 && late_share_ <= kTooManyLate / 2;
  if (in_time && usable > 0)
    usual_in_flight_ += (in_flight_ / usable - usual_in_flight_) / kUsualInFlightMemory;
  // Decays on each tick, since few outcomes are left to lower it once most requests are rejected.
  shed_ = std::max(0.0, shed_ - kTooManyLate * Seconds(kTickInterval) / kShedOutcomes);
  for (double& work : demand_) work *= 1 - Seconds(kTickInterval) / Seconds(kDemandMemory);
}

bool LoadShedder::RecordRejection(TimePoint now) {
  last_rejection_ = now;
  return !std::exchange(rejecting_, true);
}

bool LoadShedder::RejectionsEnded(TimePoint now) {
  if (!rejecting_ || now - last_rejection_ <= kRejectionInterval) return false;
  rejecting_ = false;
  return true;
}

}  // namespace mothrack::balancer
