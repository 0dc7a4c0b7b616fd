#include "balancer/retry_policy.h"

#include "balancer/arithmetic.h"

namespace mothrack::balancer {

bool RetryPolicy::MaySendAgain(const Request& r, const UpstreamInfo& upstream, TimePoint now) const {
  for (const Attempt& a : r.attempts) {
    if (a.outcome && ProvesNotRun(*a.outcome)) continue;
    if (!a.outcome && !limits_.hedging) return false;
    if (r.request_class->effect == Effect::kUnsafe) return false;
    if (r.request_class->effect != Effect::kKeyed) continue;
    // Repeats are dropped only by upstreams that share the key, and only while they remember it. Half of the
    // window is reserved for the retry's own delivery.
    if (now - a.sent >= r.request_class->key_window / 2) return false;
    const UpstreamInfo& first = a.upstream->info;
    if (r.request_class->key_scope == KeyScope::kZone && first.zone != upstream.zone) return false;
    if (r.request_class->key_scope == KeyScope::kCell && first.cell != upstream.cell) return false;
  }
  return true;
}

bool RetryPolicy::MayReject(const Request& r) {
  if (r.request_class->effect == Effect::kSafe) return true;
  if (r.request_class->effect == Effect::kKeyed && r.request_class->key_scope == KeyScope::kAll) return true;
  return std::all_of(r.attempts.begin(), r.attempts.end(),
                     [](const Attempt& a) { return a.outcome && ProvesNotRun(*a.outcome); });
}

Duration RetryPolicy::Timeout(const Request& r, bool shedding, TimePoint now) const {
  if (r.arriving) return r.time_allowed;
  const Duration left = r.deadline - now;
  // An attempt that may be repeated is given up at the latency objective: another upstream may be faster, and
  // a later answer may be worth nothing. If late answers keep some weight, a hedge achieves the same without
  // losing the first attempt.
  if (r.request_class->late_priority_weight > 0 && limits_.hedging) return left;
  const TimePoint latency_objective = r.arrived + r.latency_objective;
  // Under overload this applies to unsafe requests too: past the objective the answer is worth nothing and
  // only delays others.
  const bool give_up =
      r.request_class->effect != Effect::kUnsafe || (r.request_class->late_priority_weight <= 0 && shedding);
  if (give_up && now < latency_objective) return std::min(left, Duration(latency_objective - now));
  return left;
}

TimePoint RetryPolicy::LateAt(const Request& r, Duration usual_time, TimePoint now) {
  return r.arriving ? TimePoint::max() : now + Scaled(usual_time, kLateTimes);
}

bool RetryPolicy::TakeRetry(const Request& r, TimePoint now) {
  if (r.attempts.empty()) return true;
  // No retry if the answer would come too late to be worth anything.
  if (r.request_class->late_priority_weight <= 0 && !r.arriving && now >= r.arrived + r.latency_objective)
    return false;
  const auto& last = r.attempts.back().outcome;
  if (last && ProvesNotRun(*last) && r.attempts.size() <= kFreeRetries) return true;
  if (!budget_.Allows()) return false;
  budget_.Spend();
  return true;
}

Duration RetryPolicy::RetryAfter(double uniform) const {
  if (!limits_.retry_after) return Duration::zero();
  const Duration most = limits_.max_retry_after;
  return std::min(Scaled(std::min(kRetryAfter, most * 3 / 4), 1 + uniform), most);
}

}  // namespace mothrack::balancer
