// Retry policy: whether a request may be sent once more, with which time-out, and whether that is worth it.
//
// Guards against effects that happen twice (what may be repeated is the class's Effect, its key scope and
// window; RFC 9110, section 9.2.2, has the same for idempotent methods) and against retry storms (the retry
// budget: retries and hedges are a share of the requests, as in Finagle and Linkerd).
#pragma once

#include <algorithm>
#include <cstddef>

#include "balancer/balancer.h"
#include "balancer/request.h"

namespace mothrack::balancer {

// Retries and hedges are at most this share of the requests, ...
inline constexpr double kRetryShare = 0.3;
// ... saved up to a burst of this many.
inline constexpr double kRetryBurst = 3;
// So many attempts after a proof that nothing ran are free of the budget: each may be a connection for a full
// fleet.
inline constexpr std::size_t kFreeRetries = 2;
// A request that takes this many usual times of its class gets a hedge, where it may have one.
inline constexpr double kLateTimes = 3;
// Clients that are told to come back do so spread over one to two times this, or the settings' longest wait.
inline constexpr Duration kRetryAfter = std::chrono::milliseconds(1500);

// What pays for retries and hedges, so that they never feed an overload.
class RetryBudget {
 public:
  void RecordRequest() { tokens_ = std::min(kRetryBurst, tokens_ + kRetryShare); }
  bool Allows() const { return tokens_ >= 1; }
  void Spend() { tokens_ -= 1; }

 private:
  double tokens_ = kRetryBurst;  // attempts that may be made
};

class RetryPolicy {
 public:
  explicit RetryPolicy(const Limits& limits) : limits_(limits) {}

  // Whether the request may be sent, for the first time or again, to this upstream. The one gate to every
  // attempt.
  bool MaySend(const Request& r, const UpstreamInfo& upstream, TimePoint now) const {
    if (r.ended || r.streaming || now >= r.deadline) return false;
    if (r.attempts.size() >= limits_.max_attempts) return false;
    return r.attempts.empty() || MaySendAgain(r, upstream, now);
  }

  // Whether a second attempt may be out beside the first, by the request's class.
  bool MayHedge(const Request& r) const {
    return limits_.hedging && r.request_class->effect != Effect::kUnsafe;
  }
  // Whether a copy of it, or the request itself, may be a half-open probe.
  bool MayProbe(const Request& r) const {
    return (limits_.hedging || r.attempts.empty()) && r.request_class->effect != Effect::kUnsafe;
  }

  // Whether Reject is a true answer: nothing was done, or repeating is harmless.
  static bool MayReject(const Request& r);

  // Of an attempt that is sent now; always positive. `shedding`: the fleet is overloaded.
  Duration Timeout(const Request& r, bool shedding, TimePoint now) const;

  // When an unanswered request is late against what is usual for its class; never while its body still comes.
  static TimePoint LateAt(const Request& r, Duration usual_time, TimePoint now);

  // Whether one more attempt is worth it; spends from the budget where it isn't free.
  bool TakeRetry(const Request& r, TimePoint now);

  // The wait that a rejected client is told, spread by chance (`uniform`, from [0, 1)): clients must not come
  // back in step, however short the longest advice is. Zero where none may be told.
  Duration RetryAfter(double uniform) const;

  RetryBudget& budget() { return budget_; }

 private:
  bool MaySendAgain(const Request& r, const UpstreamInfo& upstream, TimePoint now) const;

  const Limits& limits_;
  RetryBudget budget_;
};

}  // namespace mothrack::balancer
