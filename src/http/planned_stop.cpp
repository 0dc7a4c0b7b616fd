#include "http/planned_stop.h"

#include <algorithm>
#include <chrono>

#include "http/connection_timeouts.h"

namespace mothrack::http {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Clients keep opening connections for a moment after a planned stop began, so accepting continues this long.
constexpr runtime::Duration kAcceptFor = milliseconds(800);
// SIGKILL may follow SIGTERM after the longest deadline, of which at most kMaxCountedDeadline counts, plus
// kKillAfter.
constexpr runtime::Duration kMaxCountedDeadline = seconds(3);
constexpr runtime::Duration kKillAfter = milliseconds(700);
// The stop must be complete this long before SIGKILL.
constexpr runtime::Duration kKillMargin = milliseconds(50);
// Requests that are still open this long before the end of the stop get their answer then, so that their
// clients can read it.
constexpr runtime::Duration kLastAnswers = milliseconds(150);

}  // namespace

PlannedStop::PlannedStop(runtime::TimePoint begin, runtime::Duration longest_deadline) {
  end_ = begin + std::min(longest_deadline, kMaxCountedDeadline) + kKillAfter - kKillMargin;
  last_answers_ = end_ - kLastAnswers;
  new_until_ = end_ - kLingerTimeout;
  accept_until_ = std::min(begin + kAcceptFor, new_until_);
  backlog_until_ = begin + kAcceptFor + kRequestTimeout;
}

StopStep PlannedStop::StepFor(ConnectionState state, runtime::TimePoint now) const {
  switch (state) {
    case ConnectionState::kNew:
      return now < new_until_ ? StopStep::kNone : StopStep::kHalfClose;
    case ConnectionState::kIdle:
      return StopStep::kHalfClose;
    case ConnectionState::kArriving:
      return now < last_answers_ ? StopStep::kNone : StopStep::kRefuse;
    case ConnectionState::kServing:
      return now < last_answers_ ? StopStep::kNone : StopStep::kFail;
    case ConnectionState::kResponding:
      return StopStep::kNone;
    case ConnectionState::kRespondingUntilClose:
      return now < end_ ? StopStep::kNone : StopStep::kBreakOff;
    case ConnectionState::kAwaitingClose:
      return now < end_ ? StopStep::kNone : StopStep::kClose;
  }
  return StopStep::kNone;
}

}  // namespace mothrack::http
