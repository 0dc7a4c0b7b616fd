#include "runtime/timer_queue.h"

namespace mothrack::runtime {

void EventLoopTimer::Set(TimePoint at, std::function<void()> callback) {
  timer_.expires_at(ToSteady(at));
  timer_.async_wait([callback = std::move(callback)](boost::system::error_code error) {
    if (!error) callback();
  });
}

void TimerQueue::Arm() {
  if (calling_handlers_) return;  // CallDueHandlers() calls Arm() at its end
  const TimePoint next = queue_.empty() ? TimePoint::max() : queue_.top().first;
  // A timer armed for an earlier time fires without effect and rearms, which is cheaper than resetting it
  // each time.
  if (next >= armed_for_) return;
  armed_for_ = next;
  timer_->Set(next, [this] { CallDueHandlers(); });
}

void TimerQueue::CallDueHandlers() {
  // Rearms even if a handler throws. Otherwise no pending token would ever be handled, and the whole process
  // would stop working.
  struct Rearm {
    explicit Rearm(TimerQueue& timers) : timers(timers) { timers.calling_handlers_ = true; }
    ~Rearm() {
      timers.calling_handlers_ = false;
      timers.Arm();
    }
    TimerQueue& timers;
  } const rearm(*this);
  armed_for_ = TimePoint::max();
  const TimePoint now = Now();
  while (!queue_.empty() && queue_.top().first <= now) {
    const std::uint64_t token = queue_.top().second;
    queue_.pop();
    on_due_(token);
  }
}

}  // namespace mothrack::runtime
