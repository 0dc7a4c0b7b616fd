#include "discovery/endpoint_staleness.h"

#include <algorithm>

namespace mothrack::discovery {
namespace {

using balancer::Duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Below the least a watch would be asked for more than thirty times a second, which costs a hundredth of a
// core, and an agent given up that is only slow to get its core: a shorter drain is kept as well as this one
// allows. Beyond the most nothing is gained any more.
constexpr Duration kLeastDrain = milliseconds(100);
constexpr Duration kMostDrain = milliseconds(2000);

// Pushed: shares of the drain, in twentieths. The wait is the largest, since each watch costs processor time.
constexpr int kWhole = 20;
constexpr int kWait = 8;
constexpr int kPatience = 4;
// All that the drain leaves where no watch was out before: an agent that is slow to give a whole list is not
// given up again and again, and one that is away is asked less often.
constexpr int kRetryPatience = 12;
constexpr int kPause = 2;
constexpr int kAnswer = 1;
constexpr int kMargin = 5;
static_assert(kWait + kPatience + kPause + kAnswer + kMargin == kWhole);
static_assert(kRetryPatience + kPause + kAnswer + kMargin == kWhole);
// A moved sidecar counts as told of the new address' list this long after the signal.
constexpr Duration kMoveTold = seconds(4);

// Whatever became of the calls before, a change counts as told this long after the service had it and could
// be reached.
constexpr Duration kTold = seconds(6);
// Asked: the service fails a call by itself that it could not work through by then: who gives up earlier adds
// to its work.
constexpr Duration kServiceTimeOut = seconds(2);
// The one figure that keeps it: the call that is out when the service comes back may be lost, and this long
// after its start the next one starts at the latest.
constexpr Duration kNextCallWithin = kTold - kServiceTimeOut;
// A watch is told of later: this long after its wait. One call in five seconds from each sidecar is what the
// service bears; watches of 4 s kept one that was overbooked from answering anybody.
constexpr Duration kWatchTold = kServiceTimeOut;
constexpr Duration kServiceWait = seconds(5);
// Nor is it asked sooner than this, from the start of a call that it turned away, where that was not the
// first.
constexpr Duration kTurnedAwayLeast = seconds(3);
static_assert(kTurnedAwayLeast < kNextCallWithin);
// Longer than the service's own time-out, so that its answer is heard; what is left to kNextCallWithin
// spreads those that were given up together.
constexpr Duration kServicePatience = milliseconds(2500);
static_assert(kServiceTimeOut < kServicePatience && kServicePatience < kNextCallWithin);
// Pushed: an agent that needs so long for a whole list is heard all the same. A list that was begun just
// before the change is heard first, then the watch after it is given up, and only the next list has the
// change: twice this, and the watch, within kTold.
constexpr Duration kLongestList = milliseconds(2200);
static_assert(2 * kLongestList + kMostDrain * (kWait + kPatience + kPause) / kWhole <= kTold);
// A service that turned a call away is busy or starts anew: not at once.
constexpr Duration kServicePause = milliseconds(250);
// A failed call leaves a sidecar this many times `poll_within` before it counts as told all the same: half of
// it until the next call, half for that.
constexpr int kFailedTold = 4;

Duration Between(Duration from, Duration until, double share) {
  return from + Duration(static_cast<Duration::rep>(share * static_cast<double>((until - from).count())));
}

Duration DrainOf(const StalenessRules& rules) {
  return std::clamp(rules.drain_within, kLeastDrain, kMostDrain);
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
  const Duration drain = DrainOf(rules);
  PollPolicy terms;
  terms.on_request = rules.on_request;
  if (!rules.on_request) {
    terms.wait = drain * kWait / kWhole;
    terms.watch_patience = terms.list_patience = drain * kPatience / kWhole;
    terms.retry_patience = drain * kRetryPatience / kWhole;
    terms.fault_pause = drain * kPause / kWhole;
    terms.answer = drain * kAnswer / kWhole;
    terms.longest_list = kLongestList;
    return terms;
  }
  terms.wait = kServiceWait;
  terms.watch_patience = drain - MarginOf(rules);
  terms.list_patience = terms.retry_patience = kServicePatience;
  terms.fault_pause = kServicePause;
  terms.retry_within = std::min(kNextCallWithin, kFailedTold * rules.poll_within / 2);
  terms.turned_away_least = std::min(kTurnedAwayLeast, terms.retry_within);
  terms.answer = kServiceTimeOut;
  return terms;
}

Duration PollPolicy::WaitAfter(bool news, double spread) const {
  if (!on_request || !news) return wait;
  return Between(std::min(wait, list_patience), wait, spread);
}

Duration PollPolicy::PauseAfter(const FailedCall& call, double spread) const {
  const bool silent = call.kind == FailedCall::Kind::kSilent;
  // A silent agent has been waited for already: the patience is the pause.
  if (!on_request) return silent ? Duration::zero() : fault_pause;
  // One silent watch says nothing of the service, and watches are over at different moments. And one that
  // answers with what is of no use can be asked.
  if (call.kind == FailedCall::Kind::kOlder || (silent && call.watch)) return Duration::zero();
  // All from when the service may have been back: a watch that broke had its news until then.
  const Duration used = call.watch ? Duration::zero() : call.lasted;
  Duration from = silent ? used : used + fault_pause;
  // A service that is down and refuses, or turns away what it can't work through, is asked less often than
  // one that says nothing.
  if (call.in_row > 1) from = std::max(from, silent ? retry_patience : turned_away_least);
  const Duration until = std::max(from, retry_within);
  return Between(from, until, spread) - used;
}

Duration AllowedBy(const StalenessRules& rules, StalenessCase news) {
  const Duration drain = std::min(rules.drain_within, kMostDrain);
  if (rules.on_request && news == StalenessCase::kWatch)
    return std::max(kTold, kServiceWait + kWatchTold) + drain;
  if (rules.on_request) return kTold + drain;
  return news == StalenessCase::kMoved ? kMoveTold + drain : drain;
}

// The call that is out when the news comes is lost, whatever it was; what follows is answered.
Duration WorstOf(const PollPolicy& terms, StalenessCase news) {
  if (news == StalenessCase::kWatch) {
    return terms.wait + terms.watch_patience + (terms.on_request ? Duration::zero() : terms.fault_pause) +
           terms.answer;
  }
  const Duration patience = news == StalenessCase::kAfterOutage ? terms.retry_patience : terms.list_patience;
  return (terms.on_request ? std::max(patience, terms.retry_within) : patience + terms.fault_pause) +
         terms.answer;
}

Duration MarginOf(const StalenessRules& rules) { return DrainOf(rules) * kMargin / kWhole; }

}  // namespace mothrack::discovery
