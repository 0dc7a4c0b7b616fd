#include "runtime/timer_queue.h"

namespace mothrack::runtime {

void EventLoopTimer::Set(TimePoint at, std::function<void()> due) {
  timer_.expires_at(ToSteady(at));
  timer_.async_wait([due = std::move(due)](boost::system::error_code error) {
    if (!error) due();
  });
}

void TimerQueue::Arm() {
  if (due_) return;  // Due() arms at its end
  const TimePoint next = queue_.empty() ? TimePoint::max() : queue_.top().first;
  // A timer armed for an earlier time fires without effect and rearms, which is cheaper than resetting it
  // each time.
  if (next >= armed_for_) return;
  armed_for_ = next;
  timer_->Set(next, [this] { Due(); });
}

void TimerQueue::Due() {
  // Rearms even if a handler throws: without the timer the whole process would stop working.
  struct Rearm {
    explicit Rearm(TimerQueue& timers) : timers(timers) { timers.due_ = true; }
    ~Rearm() {
      timers.due_ = false;
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
