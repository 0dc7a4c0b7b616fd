// Until when news of the list may be missing, and what keeps that: the one place for both. No sockets, no
// clock.
#pragma once

#include "balancer/balancer.h"

namespace mothrack::discovery {

// What the deployment says that bears on it.
struct StalenessRules {
  bool on_request =
      false;  // one service for all sidecars is asked; else an agent on this machine is pushed to
  balancer::Duration drain_within{};
  balancer::Duration poll_within{};

  static StalenessRules Of(const balancer::Settings& settings);
};

// Where news can be missed.
enum class StalenessCase {
  kWatch,  // a watch falls silent. Counted: pushed, from when the agent has news; asked, from the watch's
           // start
  kList,   // a call that does not wait falls silent; counted alike
  kAfterOutage,  // after any series of failed calls. Counted from when discovery has the change and can be
                 // reached
  kMoved,        // SIGHUP named another address. Counted from the signal
  kNewProcess,   // counted from its start
};

// A call that brought no list.
struct FailedCall {
  enum class Kind {
    kSilent,  // it was given up
    kFault,   // refused, reset, turned away or malformed
    kOlder,   // changes of a version older than the one held: the whole list is needed
  };
  Kind kind = Kind::kFault;
  bool watch = false;           // it was to wait for news
  int in_row = 1;               // failed calls since the last answer, with this one
  balancer::Duration lasted{};  // from its start
};

// How discovery is asked. Only a call that follows an answer is a watch. Until there is one calls do not
// wait, since only of such a call can be told soon that it is silent.
struct PollPolicy {
  bool on_request = false;
  balancer::Duration wait{};            // a watch asks to be answered by then
  balancer::Duration watch_patience{};  // and is given up this long after that
  balancer::Duration list_patience{};   // a call that does not wait is given up after this
  balancer::Duration retry_patience{};  // and this from the first failed call on to the next answer
  balancer::Duration longest_list{};    // pushed: a list that was given up is heard up to this all the same
  balancer::Duration fault_pause{};  // the least before the next call, after one refused, broken or malformed
  balancer::Duration
      retry_within{};  // asked: the next call starts at the latest this long after a failed one did
  balancer::Duration
      turned_away_least{};      // asked: and, where a call was turned away in a row, not sooner than this
  balancer::Duration answer{};  // until what was asked for is acted on: what the answer may take

  static PollPolicy For(const StalenessRules& rules);
  // What a watch asks to be answered by. One that follows an answer with news was begun by all sidecars
  // together.
  balancer::Duration WaitAfter(bool news, double spread) const;
  // From the failure to the next call; `spread`, drawn anew from 0 up to 1, keeps sidecars out of step, here
  // and above.
  balancer::Duration PauseAfter(const FailedCall& call, double spread) const;
};

// How late news may be acted on, and how late it is at worst, from the moment named at the case.
balancer::Duration AllowedBy(const StalenessRules& rules, StalenessCase news);
balancer::Duration WorstOf(const PollPolicy& terms, StalenessCase news);
// What the difference of the two must be at least, for what no figure here knows of: a process that waits for
// its core, a timer that fires late.
balancer::Duration MarginOf(const StalenessRules& rules);

}  // namespace mothrack::discovery
