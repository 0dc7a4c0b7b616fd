#include "discovery/endpoint_staleness.h"

#include <algorithm>

namespace mothrack::discovery {
namespace {

using balancer::Duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Limits of the drain time. Below the minimum, a watch would be sent more than thirty times a second, which
// costs one hundredth of a core, and an agent that only waits for its core would time out. A shorter drain is
// kept only as far as this minimum allows. Above the maximum nothing more is gained.
constexpr Duration kMinDrain = milliseconds(100);
constexpr Duration kMaxDrain = milliseconds(2000);

// Push: all times are shares of the drain time, in twentieths. The wait is the largest one, because each
// watch costs processor time.
constexpr int kDrainShares = 20;
constexpr int kWatchWaitShares = 8;
constexpr int kTimeoutShares = 4;
// If no watch was pending before, a call may use all the time that remains of the drain. So an agent that is
// slow to produce a full list does not time out again and again, and one that is down is polled less often.
constexpr int kRetryTimeoutShares = 12;
constexpr int kBackoffShares = 2;
constexpr int kAnswerShares = 1;
constexpr int kMarginShares = 5;
static_assert(kWatchWaitShares + kTimeoutShares + kBackoffShares + kAnswerShares + kMarginShares ==
              kDrainShares);
static_assert(kRetryTimeoutShares + kBackoffShares + kAnswerShares + kMarginShares == kDrainShares);

// A sidecar counts as notified of the new source's list this long after the signal that named the source.
constexpr Duration kNotifiedAfterAddressChange = seconds(4);
// Whatever happened to earlier calls, a change counts as notified this long after the source had it and was
// reachable.
constexpr Duration kNotifiedAfterOutage = seconds(6);
// On request: the service itself fails a call after this time. A client that times out earlier adds to its
// load.
constexpr Duration kServiceTimeout = seconds(2);
// This value keeps the bound: the call that is pending when the service recovers may be lost, and the next
// one starts at most this long after the start of that call.
constexpr Duration kMaxRetryInterval = kNotifiedAfterOutage - kServiceTimeout;
// A change during a watch counts as notified this long after the end of the watch's wait. The service can
// handle one call in five seconds from each sidecar; with watches of 4 s an overloaded service answered
// none of them.
constexpr Duration kNotifiedAfterWatch = kServiceTimeout;
constexpr Duration kServiceWatchWait = seconds(5);
// The minimum time between the starts of two calls, from the second consecutive fault on.
constexpr Duration kMinFaultInterval = seconds(3);
static_assert(kMinFaultInterval < kMaxRetryInterval);
// Longer than the service's own timeout, so that its answer is received. The time that remains until
// kMaxRetryInterval spreads calls that timed out together.
constexpr Duration kServiceListTimeout = milliseconds(2500);
static_assert(kServiceTimeout < kServiceListTimeout && kServiceListTimeout < kMaxRetryInterval);
// Push: a full list is accepted if the agent takes at most this long. In the worst case a list that was begun
// just before the change arrives first, then the watch after it times out, and only the next list contains
// the change: twice this time plus the watch must fit into kNotifiedAfterOutage.
constexpr Duration kLateListTimeout = milliseconds(2200);
static_assert(2 * kLateListTimeout +
                  kMaxDrain * (kWatchWaitShares + kTimeoutShares + kBackoffShares) / kDrainShares <=
              kNotifiedAfterOutage);
// A service that rejected a call is overloaded or restarting, so it is not called again at once.
constexpr Duration kServiceFaultBackoff = milliseconds(250);
// A sidecar whose calls failed counts as notified after this multiple of `poll_within`: half of it until the
// next call, half for that call's answer.
constexpr int kPollPeriodsUntilNotified = 4;

// The point at the fraction `share` of the way from `from` to `until`.
Duration Interpolate(Duration from, Duration until, double share) {
  return from + Duration(static_cast<Duration::rep>(share * static_cast<double>((until - from).count())));
}

Duration ClampedDrain(const StalenessRules& rules) {
  return std::clamp(rules.drain_within, kMinDrain, kMaxDrain);
}

PollPolicy PushPolicy(Duration drain) {
  PollPolicy policy;
  policy.watch_wait = drain * kWatchWaitShares / kDrainShares;
  policy.watch_timeout = drain * kTimeoutShares / kDrainShares;
  policy.list_timeout = policy.watch_timeout;
  policy.retry_timeout = drain * kRetryTimeoutShares / kDrainShares;
  policy.fault_backoff = drain * kBackoffShares / kDrainShares;
  policy.answer_time = drain * kAnswerShares / kDrainShares;
  policy.late_list_timeout = kLateListTimeout;
  return policy;
}

PollPolicy OnRequestPolicy(const StalenessRules& rules) {
  PollPolicy policy;
  policy.on_request = true;
  policy.watch_wait = kServiceWatchWait;
  policy.watch_timeout = ClampedDrain(rules) - SchedulingMargin(rules);
  policy.list_timeout = kServiceListTimeout;
  policy.retry_timeout = kServiceListTimeout;
  policy.fault_backoff = kServiceFaultBackoff;
  policy.max_retry_interval = std::min(kMaxRetryInterval, kPollPeriodsUntilNotified * rules.poll_within / 2);
  policy.min_fault_interval = std::min(kMinFaultInterval, policy.max_retry_interval);
  policy.answer_time = kServiceTimeout;
  return policy;
}

}  // namespace

StalenessRules StalenessRules::FromSettings(const balancer::Settings& settings) {
  StalenessRules rules;
  rules.on_request = settings.membership_on_request;
  rules.drain_within = settings.rules.drain_within;
  rules.poll_within = settings.rules.poll_within;
  return rules;
}

PollPolicy PollPolicy::For(const StalenessRules& rules) {
  return rules.on_request ? OnRequestPolicy(rules) : PushPolicy(ClampedDrain(rules));
}

Duration PollPolicy::WatchWaitAfter(bool had_changes, double jitter) const {
  if (!on_request || !had_changes) return watch_wait;
  return Interpolate(std::min(watch_wait, list_timeout), watch_wait, jitter);
}

Duration PollPolicy::BackoffAfter(const FailedCall& call, double jitter) const {
  const bool timed_out = call.kind == FailedCall::Kind::kTimeout;
  // After a timeout of an agent enough time has passed already.
  if (!on_request) return timed_out ? Duration::zero() : fault_backoff;
  // A single watch that timed out says nothing about the service, and watches end at different moments, so no
  // backoff is needed. A service that answers with an outdated list is available.
  if (call.kind == FailedCall::Kind::kOutdated || (timed_out && call.watch)) return Duration::zero();
  // The interval counts from the moment at which the service may have recovered. For a broken watch that is
  // the failure itself, because until then the watch would have been answered.
  const Duration used = call.watch ? Duration::zero() : call.elapsed;
  Duration from = timed_out ? used : used + fault_backoff;
  // A service that refuses calls, or rejects them because it is overloaded, is called less often than one
  // that does not answer.
  if (call.consecutive_failures > 1) from = std::max(from, timed_out ? retry_timeout : min_fault_interval);
  const Duration until = std::max(from, max_retry_interval);
  return Interpolate(from, until, jitter) - used;
}

Duration StalenessBound(const StalenessRules& rules, StalenessCase staleness_case) {
  const Duration drain = std::min(rules.drain_within, kMaxDrain);
  if (rules.on_request) {
    const bool watch = staleness_case == StalenessCase::kWatchTimeout;
    const Duration notified = watch ? std::max(kNotifiedAfterOutage, kServiceWatchWait + kNotifiedAfterWatch)
                                    : kNotifiedAfterOutage;
    return notified + drain;
  }
  return staleness_case == StalenessCase::kAddressChanged ? kNotifiedAfterAddressChange + drain : drain;
}

// Assumes that the call that is pending when the change happens is lost, whatever its kind, and that the next
// one is answered.
Duration WorstCaseStaleness(const PollPolicy& policy, StalenessCase staleness_case) {
  if (staleness_case == StalenessCase::kWatchTimeout) {
    const Duration backoff = policy.on_request ? Duration::zero() : policy.fault_backoff;
    return policy.watch_wait + policy.watch_timeout + backoff + policy.answer_time;
  }
  const Duration timeout =
      staleness_case == StalenessCase::kAfterOutage ? policy.retry_timeout : policy.list_timeout;
  const Duration next_call =
      policy.on_request ? std::max(timeout, policy.max_retry_interval) : timeout + policy.fault_backoff;
  return next_call + policy.answer_time;
}

Duration SchedulingMargin(const StalenessRules& rules) {
  return ClampedDrain(rules) * kMarginShares / kDrainShares;
}

}  // namespace mothrack::discovery
