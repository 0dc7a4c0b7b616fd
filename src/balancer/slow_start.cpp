#include "balancer/slow_start.h"

#include "balancer/tick.h"

namespace mothrack::balancer {

void SlowStart::RecordEntry(SlowStartRecord& record, const SlowStartUpstream& upstream, double uniform,
                            TimePoint now) const {
  record.budget = uniform - std::min(1.0, Rate(upstream));
  record.refilled = now;
}

double SlowStart::FadingPerTick() const {
  return 1 - Seconds(kTickInterval) / (2 * Seconds(rules_.slow_start_duration));
}

// The usual rate and weight change slowly: a burst or the loss of half the list must not raise the budgets.
// Nor must a start: a fleet that restarts is met at once by all the requests that waited for it, and where
// each sidecar took its first quarter of a second for its usual rate, the budgets of all would add up to more
// than an upstream in slow start can do. So they go by what is learnt from nothing, over two windows at
// least.
void SlowStart::RecordTick(const SlowStartTick& tick) {
  const double interval = Seconds(kTickInterval);
  const double most = RateMemorySeconds();
  const double age = Seconds(tick.age);
  const double two_windows = 2 * Seconds(rules_.overload_window);
  const double cautious = std::min(1.0, interval / std::min(std::max(age, two_windows), most));
  requests_per_s_ += (static_cast<double>(tick.arrivals) / interval - requests_per_s_) * cautious;
  served_per_s_ += (static_cast<double>(tick.served) / interval - served_per_s_) * cautious;
  most_served_per_s_ = std::max(served_per_s_, most_served_per_s_ * FadingPerTick());
  const bool learnt = age >= two_windows;
  served_by_warm_ =
      served_by_warm_ || (learnt && tick.warm_weight > 0 && 2 * tick.warm_weight >= tick.serving_weight);
  usual_weight_ = std::max(tick.listed_weight, usual_weight_ * FadingPerTick());
}

double SlowStart::Refill(SlowStartRecord& record, const SlowStartUpstream& upstream, TimePoint now) const {
  const double rate = Rate(upstream);
  const double most = std::max(1.0, rate * Seconds(rules_.overload_window) / 2);
  record.budget = std::min(most, record.budget + rate * Seconds(now - record.refilled));
  record.refilled = now;
  return record.budget;
}

// Attempts a second that this sidecar may send it: counted against what this sidecar usually sends a warm
// upstream of its weight.
double SlowStart::Rate(const SlowStartUpstream& upstream) const {
  // Requests that nobody serves are no load that warm ones bear, beyond the most that was served while there
  // were such.
  const double countable_per_s =
      served_by_warm_ ? std::min(requests_per_s_ / 2, most_served_per_s_) : requests_per_s_ / 2;
  const double usual = std::max(served_per_s_, countable_per_s) * ShareOfRequests(upstream);
  return rules_.overload_multiple * kSlowStartSafety * upstream.factor * usual;
}

// Of what this sidecar sends, what a warm upstream of this weight would usually get from it. A big fleet's
// sidecars each call a few upstreams of a long list: those that call this one have to make up its part for
// all the others, who never spend what they are owed. Whoever has it in its subset sends it its share of the
// subset, and in the mean over the fleet these shares add up to the share by the list.
double SlowStart::ShareOfRequests(const SlowStartUpstream& upstream) const {
  const double of_list = upstream.weight / std::max(usual_weight_, upstream.weight);
  if (upstream.subset_share <= 0) return of_list;
  const double of_subset = upstream.in_subset ? of_list / upstream.subset_share : 0;
  return kOutsideSubsetShare * of_list + (1 - kOutsideSubsetShare) * of_subset;
}

}  // namespace mothrack::balancer
