// Points in time that are mostly taken back before they come, on one timer of the event loop. Holds only what
// is still set; for points that always come see TimerQueue, which is cheaper.
//
// Owned by whoever sets them, on the thread of the event loop.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <set>
#include <utility>

#include "runtime/clock.h"

namespace mothrack::runtime {

class Deadlines {
 public:
  // Called once for a point that was not taken back, at or after its time; may set and take back others.
  using OnPassed = std::function<void(std::uint64_t token)>;
  Deadlines(boost::asio::io_context& io, OnPassed on_passed) : timer_(io), on_passed_(std::move(on_passed)) {}

  void Set(TimePoint at, std::uint64_t token) {
    set_.emplace(at, token);
    Arm();
  }
  // `at` and `token` as they were set; no effect where that has passed.
  void Cancel(TimePoint at, std::uint64_t token) { set_.erase({at, token}); }

 private:
  // One that was taken back may still wake the loop once, for nothing: cheaper than setting the timer back.
  void Arm() {
    if (set_.empty() || set_.begin()->first >= armed_for_) return;
    armed_for_ = set_.begin()->first;
    timer_.expires_at(ToSteady(armed_for_));
    timer_.async_wait([this](boost::system::error_code error) {
      if (error) return;
      armed_for_ = TimePoint::max();
      const TimePoint now = Now();
      while (!set_.empty() && set_.begin()->first <= now) {
        const std::uint64_t token = set_.begin()->second;
        set_.erase(set_.begin());
        Arm();  // first: the handler may throw
        on_passed_(token);
      }
      Arm();
    });
  }

  std::set<std::pair<TimePoint, std::uint64_t>> set_;
  boost::asio::steady_timer timer_;
  TimePoint armed_for_ = TimePoint::max();
  const OnPassed on_passed_;
};

}  // namespace mothrack::runtime
