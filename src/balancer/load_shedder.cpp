#include "balancer/load_shedder.h"

#include <algorithm>
#include <utility>

#include "balancer/tick.h"

namespace mothrack::balancer {

double LoadShedder::AdmittedShare(std::size_t class_index, const std::vector<Duration>& usual_times) const {
  double all = 0, before = 0, floor = 0;
  const double mine = PriorityForTime(class_index, usual_times);
  for (std::size_t c = 0; c < classes_.size(); ++c) {
    all += demand_[c];
    floor += demand_[c] * kClassFloor;
    if (c == class_index || PriorityForTime(c, usual_times) > mine) continue;
    before += demand_[c];
  }
  const double cut_before = before * (1 - kClassFloor);
  const double own = demand_[class_index];
  const double cut = shed_ * all;
  // All classes are at their floor: the rest is cut from each alike.
  if (cut > all - floor) return kClassFloor * (all - cut) / floor;
  return 1 - std::clamp((cut - cut_before) / own, 0.0, 1 - kClassFloor);
}

double LoadShedder::PriorityForTime(std::size_t class_index, const std::vector<Duration>& usual_times) const {
  return classes_[class_index].priority_weight / static_cast<double>(usual_times[class_index].count());
}

void LoadShedder::RecordOutcome(const TimelyOutcome& end, double usual_rate) {
  const Outcome outcome = end.outcome;
  if (outcome != Outcome::kServed && outcome != Outcome::kTimeout && outcome != Outcome::kFull) return;
  if (outcome == Outcome::kTimeout && !end.loaded) return;
  const bool late = IsLate(outcome, end.elapsed, end.latency_objective);
  // A late answer of an upstream that is ejected, suspect or in slow start is its own fault, unless most
  // upstreams are such. Answers in time always count: if the few admitted requests all go to upstreams in
  // slow start, nothing else shows that the overload is over.
  if (late && !end.telling && 4 * weights_.telling > weights_.serving) return;
  const double step = 1 / std::max(kShedSample, usual_rate * Seconds(kShedTime));
  // With no more in flight than usual, load is not the cause (for example the whole fleet is slow), and
  // rejecting more would not help.
  if (late && mean_in_flight_ < usual_in_flight_ * weights_.able) return;
  late_share_ += ((late ? 1 : 0) - late_share_) / kLateMemory;
  const double ease = 1 + kShedEase * std::max(0.0, 1 - late_share_ / kTooManyLate);
  shed_ += late ? step : -step * ease * kTooManyLate / (1 - kTooManyLate);
  shed_ = std::clamp(shed_, 0.0, kMaxShed);
}

void LoadShedder::RecordTick(const FleetWeights& weights) {
  weights_ = weights;
  const double able = weights_.able;
  // React to a sudden loss of capacity before late answers show it, when queues are already full.
  able_before_ = std::max(able, able_before_ * (1 - Seconds(kTickInterval) / Seconds(kLossMemory)));
  const double lost = able_before_ - able;
  if (lost > able_before_ * kGreatLoss && lost * weights_.upstreams >= kMinUpstreamsLost * weights_.serving) {
    shed_ = std::max(shed_, std::min(kMaxShed, 1 - kHeadroom * able / able_before_));
    able_before_ = able;
  }
  mean_in_flight_ += (in_flight_ - mean_in_flight_) * Seconds(kTickInterval) / Seconds(kShedTime);
  const bool in_time = shed_ <= 0 && late_share_ <= kTooManyLate / 2;
  if (in_time && able > 0) usual_in_flight_ += (in_flight_ / able - usual_in_flight_) / kUsualInFlightMemory;
  // Decays by itself, as few outcomes are left to lower it once most requests are rejected.
  shed_ = std::max(0.0, shed_ - kTooManyLate * Seconds(kTickInterval) / kShedSample);
  for (double& work : demand_) work *= 1 - Seconds(kTickInterval) / Seconds(kDemandMemory);
}

bool LoadShedder::RecordRefusal(TimePoint now) {
  refused_at_ = now;
  return !std::exchange(refusing_, true);
}

bool LoadShedder::RefusingEnded(TimePoint now) {
  if (!refusing_ || now - refused_at_ <= kRefusalInterval) return false;
  refusing_ = false;
  return true;
}

}  // namespace mothrack::balancer
