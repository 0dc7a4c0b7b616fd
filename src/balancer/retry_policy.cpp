#include "balancer/retry_policy.h"

#include <algorithm>
#include <functional>

#include "balancer/arithmetic.h"

namespace mothrack::balancer {

bool RetryPolicy::MaySendAgain(const Request& request, const UpstreamInfo& upstream, TimePoint now) const {
  if (std::count_if(request.attempts.begin(), request.attempts.end(),
                    std::mem_fn(&Attempt::request_incomplete)) >= kMaxIncompleteAttempts) {
    return false;
  }
  for (const Attempt& attempt : request.attempts) {
    if (attempt.outcome && ProvesNotRun(*attempt.outcome)) continue;
    if (!attempt.outcome && !limits_.hedging) return false;
    if (request.request_class->effect == Effect::kUnsafe) return false;
    if (request.request_class->effect != Effect::kKeyed) continue;
    // Repeats are dropped only by upstreams that share the key, and only while they remember it. Half of the
    // window is reserved for the retry's own delivery.
    if (now - attempt.sent >= request.request_class->key_window / 2) return false;
    const UpstreamInfo& earlier = attempt.upstream->info;
    if (request.request_class->key_scope == KeyScope::kZone && earlier.zone != upstream.zone) return false;
    if (request.request_class->key_scope == KeyScope::kCell && earlier.cell != upstream.cell) return false;
  }
  return true;
}

bool RetryPolicy::MayReject(const Request& request) {
  if (request.request_class->effect == Effect::kSafe) return true;
  if (request.request_class->effect == Effect::kKeyed && request.request_class->key_scope == KeyScope::kAll)
    return true;
  return std::all_of(request.attempts.begin(), request.attempts.end(), [](const Attempt& attempt) {
    return attempt.outcome && ProvesNotRun(*attempt.outcome);
  });
}

Duration RetryPolicy::Timeout(const Request& request, bool shedding, TimePoint now) const {
  if (request.arriving) return request.time_allowed;
  const Duration left = request.deadline - now;
  // An attempt that may be repeated times out at the latency objective: another upstream may be faster, and a
  // later answer may have no priority weight left. If late answers keep some weight, a hedge achieves the
  // same without losing the first attempt.
  if (request.request_class->late_priority_weight > 0 && limits_.hedging) return left;
  const TimePoint latency_objective = request.arrived + request.latency_objective;
  // While the fleet is overloaded, unsafe requests time out at the objective as well, unless late answers
  // keep some weight: their upstream would only spend time that other requests need.
  const bool time_out_at_objective = request.request_class->effect != Effect::kUnsafe ||
                                     (request.request_class->late_priority_weight <= 0 && shedding);
  if (time_out_at_objective && now < latency_objective)
    return std::min(left, Duration(latency_objective - now));
  return left;
}

TimePoint RetryPolicy::LateAt(const Request& request, Duration usual_time, TimePoint now) {
  return request.arriving ? TimePoint::max() : now + Scaled(usual_time, kLateTimes);
}

bool RetryPolicy::TakeRetry(const Request& request, TimePoint now) {
  if (request.attempts.empty()) return true;
  // No retry if a late answer has no weight and the latency objective has passed.
  if (request.request_class->late_priority_weight <= 0 && !request.arriving &&
      now >= request.arrived + request.latency_objective)
    return false;
  const auto& last = request.attempts.back().outcome;
  if (last && ProvesNotRun(*last) && request.attempts.size() <= kFreeRetries) return true;
  if (!budget_.Allows()) return false;
  budget_.Spend();
  return true;
}

Duration RetryPolicy::RetryAfter(double uniform) const {
  if (!limits_.retry_after) return Duration::zero();
  const Duration max_retry_after = limits_.max_retry_after;
  return std::min(Scaled(std::min(kRetryAfter, max_retry_after * 3 / 4), 1 + uniform), max_retry_after);
}

}  // namespace mothrack::balancer
