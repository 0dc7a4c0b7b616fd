// How stale the endpoint list may become, and the timing of polls that keeps the bound. The one place for
// both: pure functions of the settings, without sockets and without a clock, callable from any thread. The
// table of cases, bounds and worst cases stands in docs/design/endpoint_staleness.md.
//
// There are two kinds of source. A local agent ("push") is this machine's own, holds the newest list and
// answers a watch as soon as something changes. A shared service ("on request") answers all sidecars, so its
// load bounds how often each of them may poll.
#pragma once

#include "balancer/balancer.h"

namespace mothrack::discovery {

// The deployment's settings that the bound depends on.
struct StalenessRules {
  bool on_request = false;  // a shared service is polled; otherwise a local agent pushes
  balancer::Duration
      drain_within{};  // a draining upstream gets no new requests this long after the notification
  balancer::Duration poll_within{};  // the longest time between two polls that the platform allows

  static StalenessRules Of(const balancer::Settings& settings);
};

// The ways in which a change of the list can be missed, and the moment from which its staleness counts.
enum class StalenessCase {
  kWatchTimeout,    // a watch got no answer. Push: from when the agent has the change; on request: from the
                    // start of the watch
  kListTimeout,     // a call without a wait got no answer; counted in the same way
  kAfterOutage,     // after any number of failed calls. From when the source has the change and is reachable
  kAddressChanged,  // SIGHUP named another source. From the signal
  kNewProcess,      // from the start of the process
};

// A call that brought no list.
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
// something has changed or its wait is over. Only a call after an answer is a watch: until there is one,
// calls do not wait, since only such a call can be recognized soon as unanswered.
struct PollPolicy {
  bool on_request = false;
  balancer::Duration watch_wait{};     // the wait that a watch names
  balancer::Duration watch_timeout{};  // a watch fails this long after its wait
  balancer::Duration list_timeout{};   // a call without a wait fails after this
  balancer::Duration retry_timeout{};  // the same from the first failure on until the next answer
  balancer::Duration
      late_list_timeout{};  // push: the answer to a full list that timed out is accepted until then
  balancer::Duration fault_backoff{};  // least time from a fault to the next call
  balancer::Duration
      max_retry_interval{};  // on request: most time from the start of a failed call to the next
  balancer::Duration min_fault_interval{};  // on request: least such time from the second fault in a row on
  balancer::Duration answer_time{};         // what an answer may take until it is acted on

  static PollPolicy For(const StalenessRules& rules);
  // The wait of a watch. After an answer with changes, which all sidecars get together, `jitter` spreads the
  // ends of their watches. `jitter`, here and below: drawn anew for each call, at least 0 and below 1.
  balancer::Duration WatchWaitAfter(bool had_changes, double jitter) const;
  // The time from the failure of `call` to the start of the next one.
  balancer::Duration BackoffAfter(const FailedCall& call, double jitter) const;
};

// The staleness that the operators allow in a case, from the moment named there.
balancer::Duration StalenessBound(const StalenessRules& rules, StalenessCase staleness_case);
// The staleness that `policy` leads to at worst.
balancer::Duration WorstCaseStaleness(const PollPolicy& policy, StalenessCase staleness_case);
// The least difference between the two: covers late scheduling of the process and of its timers.
balancer::Duration SchedulingMargin(const StalenessRules& rules);

}  // namespace mothrack::discovery
