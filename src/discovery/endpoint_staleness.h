// The bound on the staleness of the endpoint list, and the timing of polls that keeps the bound. Both are
// defined only here, as pure functions of the settings, without sockets or a clock, callable on any thread.
// The table of cases, bounds and worst cases is in docs/design/endpoint_staleness.md.
//
// There are two kinds of source. A local agent ("push") belongs to this machine, has the newest list and
// answers a watch as soon as something changes. A shared service ("on request") answers all sidecars, so its
// load limits how often each of them may poll.
#pragma once

#include "balancer/balancer.h"

namespace mothrack::discovery {

// The deployment's settings that the bound depends on.
struct StalenessRules {
  bool on_request = false;  // a shared service is polled; otherwise a local agent pushes
  // A draining upstream gets no new requests this long after the notification.
  balancer::Duration drain_within{};
  balancer::Duration poll_within{};  // the maximum time between two polls that the platform allows

  static StalenessRules FromSettings(const balancer::Settings& settings);
};

// The ways in which a change of the list can be missed. Each names the moment from which the staleness is
// counted.
enum class StalenessCase {
  // A watch got no answer. Push: counted from when the agent has the change; on request: from the start of
  // the watch.
  kWatchTimeout,
  kListTimeout,  // a call without a wait got no answer; counted in the same way
  // One or more calls failed. Counted from when the source has the change and is reachable.
  kAfterOutage,
  kAddressChanged,  // SIGHUP named another source; counted from the signal
  kNewProcess,      // a process started; counted from its start
};

// A call that returned no list.
struct FailedCall {
  enum class Kind {
    kTimeout,   // no answer in time
    kFault,     // refused, reset, rejected with a status, or malformed
    kOutdated,  // changes of an older revision than the one held: the full list is needed
  };
  Kind kind = Kind::kFault;
  bool watch = false;            // the call was a watch
  int consecutive_failures = 1;  // since the last answer, this one included
  balancer::Duration elapsed{};  // from the start of the call to its failure
};

// When the source is polled and how long each call may take. A watch is a call that the source answers when
// something has changed or when its wait is over. Only a call that follows an answer is a watch. Until the
// first answer, and after a failure, calls have no wait, because only then can a missing answer be detected
// soon.
struct PollPolicy {
  bool on_request = false;
  balancer::Duration watch_wait{};     // the wait that a watch requests
  balancer::Duration watch_timeout{};  // a watch fails this long after the end of its wait
  balancer::Duration list_timeout{};   // a call without a wait fails after this time
  balancer::Duration retry_timeout{};  // the same, from the first failure until the next answer
  // Push: the answer to a call for a full list that timed out is still accepted until this time after the
  // start of the call.
  balancer::Duration late_list_timeout{};
  balancer::Duration fault_backoff{};  // minimum time from a fault to the next call
  // On request: maximum time from the start of a failed call to the start of the next one.
  balancer::Duration max_retry_interval{};
  // On request: minimum time from the start of a failed call to the start of the next one, from the second
  // consecutive fault on.
  balancer::Duration min_fault_interval{};
  balancer::Duration answer_time{};  // time that an answer may take until it has been applied

  // The policy that keeps StalenessBound() in all cases.
  static PollPolicy For(const StalenessRules& rules);
  // The wait of the next watch. All sidecars get an answer with changes at the same moment, so after such an
  // answer `jitter` spreads the ends of their watches. `jitter`, here and below, is drawn anew for each call,
  // in [0, 1).
  balancer::Duration WatchWaitAfter(bool had_changes, double jitter) const;
  // The time from the failure of `call` to the start of the next one.
  balancer::Duration BackoffAfter(const FailedCall& call, double jitter) const;
};

// The staleness that the operators allow in a case, counted from the moment named there.
balancer::Duration StalenessBound(const StalenessRules& rules, StalenessCase staleness_case);
// The worst staleness that `policy` can lead to.
balancer::Duration WorstCaseStaleness(const PollPolicy& policy, StalenessCase staleness_case);
// The minimum difference between StalenessBound() and WorstCaseStaleness(), which covers late scheduling of
// the process and of its timers.
balancer::Duration SchedulingMargin(const StalenessRules& rules);

}  // namespace mothrack::discovery
