// Many points in time on one timer: that of the event loop, or of a simulated clock.
//
// Owned by whoever sets them, on the thread of the event loop. A handler that throws leaves the queue armed
// for what is left; the exception goes on to the event loop.
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

// Where time comes from. One is set at a time: a later Set() replaces an earlier one.
class Timer {
 public:
  virtual ~Timer() = default;
  virtual TimePoint Now() const = 0;
  // Calls `due` once, at or after `at`, from the loop and never from within Set(); not at all once it is
  // destroyed.
  virtual void Set(TimePoint at, std::function<void()> due) = 0;
};

// The program's clock and its event loop.
class EventLoopTimer : public Timer {
 public:
  explicit EventLoopTimer(boost::asio::io_context& io) : timer_(io) {}
  TimePoint Now() const override { return runtime::Now(); }
  void Set(TimePoint at, std::function<void()> due) override;

 private:
  boost::asio::steady_timer timer_;
};

// A token set is handed to `on_due` once, at or after its time, in the order of the times. There is no taking
// back: whoever set a token that no longer matters ignores it.
class TimerQueue {
 public:
  using OnDue = std::function<void(std::uint64_t token)>;
  TimerQueue(std::unique_ptr<Timer> timer, OnDue on_due)
      : timer_(std::move(timer)), on_due_(std::move(on_due)) {}
  TimerQueue(boost::asio::io_context& io, OnDue on_due)
      : TimerQueue(std::make_unique<EventLoopTimer>(io), std::move(on_due)) {}

  // Counts from the next Arm() on: whoever sets several arms once.
  void Set(TimePoint at, std::uint64_t token) { queue_.emplace(at, token); }
  void Arm();
  // As the timer has it.
  TimePoint Now() const { return timer_->Now(); }
  // Points that are set and not due yet.
  std::size_t size() const { return queue_.size(); }

 private:
  using Entry = std::pair<TimePoint, std::uint64_t>;

  void Due();

  std::priority_queue<Entry, std::vector<Entry>, std::greater<>> queue_;
  const std::unique_ptr<Timer> timer_;
  TimePoint armed_for_ = TimePoint::max();
  bool due_ = false;  // handlers are being called
  const OnDue on_due_;
};

}  // namespace mothrack::runtime
