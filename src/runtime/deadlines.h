// Timeouts that are mostly cancelled before they expire, on one timer of the event loop. Holds only the
// pending ones. TimerQueue is cheaper for times that always expire.
//
// Owned by its only user, on the thread of the event loop.
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
  // Called once for each deadline that was not cancelled, at or after its time; may set and cancel others.
  using OnPassed = std::function<void(std::uint64_t token)>;
  Deadlines(boost::asio::io_context& io, OnPassed on_passed) : timer_(io), on_passed_(std::move(on_passed)) {}

  void Set(TimePoint at, std::uint64_t token) {
    set_.emplace(at, token);
    Arm();
  }
  // `at` and `token` as passed to Set(); no effect if it has expired.
  void Cancel(TimePoint at, std::uint64_t token) { set_.erase({at, token}); }

 private:
  // A cancelled deadline may still wake the loop once without effect, which is cheaper than resetting the
  // timer.
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
        Arm();  // first, as the handler may throw
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
