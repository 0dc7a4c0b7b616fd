#include "balancer/slow_start.h"

#include "balancer/tick.h"

namespace mothrack::balancer {

void SlowStart::RecordEntry(SlowStartRecord& record, const SlowStartUpstream& upstream, double uniform,
                            TimePoint now) const {
  record.budget = uniform - std::min(1.0, RefillRate(upstream));
  record.refilled = now;
}

double SlowStart::DecayFactorPerTick() const {
  return 1 - Seconds(kTickInterval) / (2 * Seconds(rules_.slow_start_duration));
}

// The rates and the weight change slowly, so that neither a burst nor the loss of half of the list raises the
// budgets. A restart of all sidecars must not raise them either: all requests that waited then arrive at
// once, and if each sidecar took its first tick for its usual rate, the budgets would add up to more than an
// upstream in slow start can serve. Hence the averages start from zero, over at least two overload windows.
void SlowStart::RecordTick(const SlowStartTick& tick) {
  const double interval = Seconds(kTickInterval);
  const double memory = RateMemorySeconds();
  const double age = Seconds(tick.age);
  const double two_windows = 2 * Seconds(rules_.overload_window);
  const double smoothing = std::min(1.0, interval / std::min(std::max(age, two_windows), memory));
  requests_per_s_ += (static_cast<double>(tick.arrivals) / interval - requests_per_s_) * smoothing;
  served_per_s_ += (static_cast<double>(tick.served) / interval - served_per_s_) * smoothing;
  most_served_per_s_ = std::max(served_per_s_, most_served_per_s_ * DecayFactorPerTick());
  const bool rate_known = age >= two_windows;
  enough_past_slow_start_ =
      enough_past_slow_start_ || (rate_known && tick.healthy_past_slow_start_weight > 0 &&
                                  2 * tick.healthy_past_slow_start_weight >= tick.serving_weight);
  usual_weight_ = std::max(tick.listed_weight, usual_weight_ * DecayFactorPerTick());
}

double SlowStart::Refill(SlowStartRecord& record, const SlowStartUpstream& upstream, TimePoint now) const {
  const double rate = RefillRate(upstream);
  const double max_budget = std::max(1.0, rate * Seconds(rules_.overload_window) / 2);
  record.budget = std::min(max_budget, record.budget + rate * Seconds(now - record.refilled));
  record.refilled = now;
  return record.budget;
}

// Attempts per second that this sidecar may send to the upstream, derived from what it usually sends to an
// upstream of the same weight past slow start.
double SlowStart::RefillRate(const SlowStartUpstream& upstream) const {
  // Requests that are not served are not load that the other upstreams carry. So they do not count beyond the
  // maximum that was served, once enough upstreams have been past slow start.
  const double countable_per_s =
      enough_past_slow_start_ ? std::min(requests_per_s_ / 2, most_served_per_s_) : requests_per_s_ / 2;
  const double usual = std::max(served_per_s_, countable_per_s) * ShareOfRequests(upstream);
  return rules_.overload_multiple * kSlowStartSafety * upstream.factor * usual;
}

// The share of this sidecar's requests that an upstream of this weight past slow start would usually get. In
// a big fleet each sidecar sends to a few upstreams of a long list, so the sidecars that send to this one
// have to use the share of all others as well. A sidecar with the upstream in its subset sends it its share
// of the subset; averaged over the fleet these shares add up to its share of the list.
double SlowStart::ShareOfRequests(const SlowStartUpstream& upstream) const {
  const double of_list = upstream.weight / std::max(usual_weight_, upstream.weight);
  if (upstream.subset_share <= 0) return of_list;
  const double of_subset = upstream.in_subset ? of_list / upstream.subset_share : 0;
  return kOutsideSubsetShare * of_list + (1 - kOutsideSubsetShare) * of_subset;
}

}  // namespace mothrack::balancer
