// Many expiry times on one timer, which is one of the event loop or of a simulated clock.
//
// Owned by its only user, used on the thread of the event loop. If a handler throws, the queue stays armed
// for the remaining times, and the exception propagates to the event loop.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <utility>
#include <vector>

#include "runtime/clock.h"

namespace mothrack::runtime {

// A clock with one timer. A later Set() replaces an earlier one.
class Timer {
 public:
  virtual ~Timer() = default;
  virtual TimePoint Now() const = 0;
  // Calls `callback` once, at or after `at`, from the event loop and never from within Set(). It is not
  // called after the timer was destroyed.
  virtual void Set(TimePoint at, std::function<void()> callback) = 0;
};

// The steady clock and a timer of the event loop.
class EventLoopTimer : public Timer {
 public:
  explicit EventLoopTimer(boost::asio::io_context& io) : timer_(io) {}
  TimePoint Now() const override { return runtime::Now(); }
  void Set(TimePoint at, std::function<void()> callback) override;

 private:
  boost::asio::steady_timer timer_;
};

// Calls `on_due` once for each token, at or after its time, ordered by time. Tokens can't be cancelled: the
// user ignores those that no longer matter.
class TimerQueue {
 public:
  using OnDue = std::function<void(std::uint64_t token)>;
  TimerQueue(std::unique_ptr<Timer> timer, OnDue on_due)
      : timer_(std::move(timer)), on_due_(std::move(on_due)) {}
  TimerQueue(boost::asio::io_context& io, OnDue on_due)
      : TimerQueue(std::make_unique<EventLoopTimer>(io), std::move(on_due)) {}

  // Takes effect at the next Arm(), so that one call arms the timer for several tokens.
  void Set(TimePoint at, std::uint64_t token) { queue_.emplace(at, token); }
  void Arm();
  // The timer's clock.
  TimePoint Now() const { return timer_->Now(); }
  // The number of pending tokens.
  std::size_t size() const { return queue_.size(); }

 private:
  using Entry = std::pair<TimePoint, std::uint64_t>;

  void CallDueHandlers();

  std::priority_queue<Entry, std::vector<Entry>, std::greater<>> queue_;
  const std::unique_ptr<Timer> timer_;
  TimePoint armed_for_ = TimePoint::max();
  bool calling_handlers_ = false;
  const OnDue on_due_;
};

}  // namespace mothrack::runtime
