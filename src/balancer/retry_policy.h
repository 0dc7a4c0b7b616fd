// Retry policy: whether a request may be sent again, with which time-out, and whether that is useful.
//
// Guards against duplicate effects (the class's Effect, key scope and window say what may be repeated, as RFC
// 9110, section 9.2.2, does for idempotent methods) and against retry storms (a retry budget limits retries
// and hedges to a share of the requests, as in Finagle and Linkerd).
#pragma once

#include <algorithm>
#include <cstddef>

#include "balancer/balancer.h"
#include "balancer/request.h"

namespace mothrack::balancer {

// Retries and hedges per request that the budget grants on average.
inline constexpr double kRetryShare = 0.3;
// The most retries and hedges that the budget accumulates.
inline constexpr double kRetryBurst = 3;
// Up to this many retries of a request take nothing from the budget if the upstream is proved not to have run
// it. The number is bounded since each may open a connection, which a fully loaded fleet can't afford.
inline constexpr std::size_t kFreeRetries = 2;
// A request that takes this many usual times of its class is hedged, if allowed.
inline constexpr double kLateTimes = 3;
// Retry-After is spread randomly over one to two times this, bounded by Limits::max_retry_after.
inline constexpr Duration kRetryAfter = std::chrono::milliseconds(1500);

// How many attempts upstreams may cut off while the request's body is being received. One is tried again,
// because an idle connection may have been closed just then; after two the body is probably at fault.
inline constexpr int kMaxIncompleteAttempts = 2;

// Token bucket filled by requests and spent by retries and hedges, so that these can't amplify an overload.
class RetryBudget {
 public:
  void RecordRequest() { tokens_ = std::min(kRetryBurst, tokens_ + kRetryShare); }
  bool Allows() const { return tokens_ >= 1; }
  void Spend() { tokens_ -= 1; }

 private:
  double tokens_ = kRetryBurst;  // one per attempt
};

class RetryPolicy {
 public:
  explicit RetryPolicy(const Limits& limits) : limits_(limits) {}

  // Whether the request may be sent to this upstream, for the first time or again. Checked before every
  // attempt.
  bool MaySend(const Request& request, const UpstreamInfo& upstream, TimePoint now) const {
    if (request.ended || request.streaming || now >= request.deadline) return false;
    if (request.attempts.size() >= limits_.max_attempts) return false;
    return request.attempts.empty() || MaySendAgain(request, upstream, now);
  }

  // Whether the request's class allows a second attempt while the first is in flight.
  bool MayHedge(const Request& request) const {
    return limits_.hedging && request.request_class->effect != Effect::kUnsafe;
  }
  // Whether a hedge of the request, or the request itself, may be a half-open probe.
  bool MayProbe(const Request& request) const {
    return (limits_.hedging || request.attempts.empty()) && request.request_class->effect != Effect::kUnsafe;
  }

  // Whether Reject would be correct: the request had no effect, or repeating it is harmless.
  static bool MayReject(const Request& request);

  // Time-out of an attempt that is sent now; positive. `shedding`: the fleet is overloaded.
  Duration Timeout(const Request& request, bool shedding, TimePoint now) const;

  // When an unanswered request becomes late compared to its class; never while its body is being received.
  static TimePoint LateAt(const Request& request, Duration usual_time, TimePoint now);

  // Whether one more attempt is useful and within the budget. Takes a token unless the attempt is free.
  bool TakeRetry(const Request& request, TimePoint now);

  // The Retry-After time of a rejected request, randomized by `uniform` (from [0, 1)) so that clients do not
  // all return at once. Zero if the settings allow none.
  Duration RetryAfter(double uniform) const;

  RetryBudget& budget() { return budget_; }

 private:
  bool MaySendAgain(const Request& request, const UpstreamInfo& upstream, TimePoint now) const;

  const Limits& limits_;
  RetryBudget budget_;
};

}  // namespace mothrack::balancer
