#include "discovery/endpoint_staleness.h"

#include <algorithm>

namespace mothrack::discovery {
namespace {

using balancer::Duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Below the least drain a watch would be sent more than thirty times a second, which costs a hundredth of a
// core, and an agent that only waits for its core would time out: a shorter drain is kept as well as this one
// allows. Above the most nothing is gained any more.
constexpr Duration kMinDrain = milliseconds(100);
constexpr Duration kMaxDrain = milliseconds(2000);

// Push: all times are shares of the drain, in twentieths. The wait is the largest, since each watch costs
// processor time.
constexpr int kDrainShares = 20;
constexpr int kWatchWaitShares = 8;
constexpr int kTimeoutShares = 4;
// All that the drain leaves where no watch was out before: an agent that is slow to give a full list does not
// time out again and again, and one that is away is polled less often.
constexpr int kRetryTimeoutShares = 12;
constexpr int kBackoffShares = 2;
constexpr int kAnswerShares = 1;
constexpr int kMarginShares = 5;
static_assert(kWatchWaitShares + kTimeoutShares + kBackoffShares + kAnswerShares + kMarginShares ==
              kDrainShares);
static_assert(kRetryTimeoutShares + kBackoffShares + kAnswerShares + kMarginShares == kDrainShares);

// A sidecar counts as notified of the new source's list this long after the signal that named the source.
constexpr Duration kNotifiedAfterAddressChange = seconds(4);
// Whatever became of the calls before, a change counts as notified this long after the source had it and was
// reachable.
constexpr Duration kNotifiedAfterOutage = seconds(6);
// On request: the service itself fails a call after this. A client that gives up earlier adds to its work.
constexpr Duration kServiceTimeout = seconds(2);
// The one figure that keeps the bound: the call that is out when the service comes back may be lost, and the
// next one starts at most this long after the start of that call.
constexpr Duration kMaxRetryInterval = kNotifiedAfterOutage - kServiceTimeout;
// A change during a watch counts as notified this long after the watch's wait. One call in five seconds from
// each sidecar is what the service bears; with watches of 4 s an overbooked one answered nobody.
constexpr Duration kNotifiedAfterWatch = kServiceTimeout;
constexpr Duration kServiceWatchWait = seconds(5);
// From the second fault in a row on, the next call starts no sooner than this after the one before.
constexpr Duration kMinFaultInterval = seconds(3);
static_assert(kMinFaultInterval < kMaxRetryInterval);
// Longer than the service's own timeout, so that its answer is received; what is left to kMaxRetryInterval
// spreads the calls that timed out together.
constexpr Duration kServiceListTimeout = milliseconds(2500);
static_assert(kServiceTimeout < kServiceListTimeout && kServiceListTimeout < kMaxRetryInterval);
// Push: a full list that takes an agent this long is still accepted. At worst a list that was begun just
// before the change arrives first, then the watch after it times out, and only the next list has the change:
// twice this, and the watch, within kNotifiedAfterOutage.
constexpr Duration kLateListTimeout = milliseconds(2200);
static_assert(2 * kLateListTimeout +
                  kMaxDrain * (kWatchWaitShares + kTimeoutShares + kBackoffShares) / kDrainShares <=
              kNotifiedAfterOutage);
// A service that rejected a call is busy or starts anew: it is not called again at once.
constexpr Duration kServiceFaultBackoff = milliseconds(250);
// A sidecar whose calls failed counts as notified after this many times `poll_within`: half of that until the
// next call, half for its answer.
constexpr int kPollPeriodsUntilNotified = 4;

// The point at `share` of the way from `from` to `until`.
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

StalenessRules StalenessRules::Of(const balancer::Settings& settings) {
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
  // One watch that timed out says nothing of the service, and watches end at different moments. A service
  // that answers with an outdated list can be called.
  if (call.kind == FailedCall::Kind::kOutdated || (timed_out && call.watch)) return Duration::zero();
  // Times count from when the service may have been back: a watch that broke would have been answered until
  // then.
  const Duration used = call.watch ? Duration::zero() : call.elapsed;
  Duration from = timed_out ? used : used + fault_backoff;
  // A service that refuses calls, or rejects what it can't work through, is called less often than one that
  // does not answer.
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

// The call that is out when the change comes is lost, of whatever kind it was; the next one is answered.
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
