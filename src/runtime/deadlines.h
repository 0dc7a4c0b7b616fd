// Many deadlines, most of which are cancelled before they expire, on one timer of the event loop. Only
// pending deadlines take memory. TimerQueue is cheaper for deadlines that always expire.
//
// Owned by its only user, used on the thread of the event loop.
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
  using OnExpired = std::function<void(std::uint64_t token)>;
  Deadlines(boost::asio::io_context& io, OnExpired on_expired)
      : timer_(io), on_expired_(std::move(on_expired)) {}

  void Set(TimePoint at, std::uint64_t token) {
    pending_.emplace(at, token);
    Arm();
  }
  // `at` and `token` as passed to Set(); no effect if it has expired.
  void Cancel(TimePoint at, std::uint64_t token) { pending_.erase({at, token}); }

 private:
  // Sets the timer to the earliest deadline, unless it is set to an earlier time. The timer of a cancelled
  // deadline may still wake the event loop once without effect, which is cheaper than resetting the timer.
  void Arm() {
    if (pending_.empty() || pending_.begin()->first >= armed_for_) return;
    armed_for_ = pending_.begin()->first;
    timer_.expires_at(ToSteady(armed_for_));
    timer_.async_wait([this](boost::system::error_code error) {
      if (error) return;
      armed_for_ = TimePoint::max();
      const TimePoint now = Now();
      while (!pending_.empty() && pending_.begin()->first <= now) {
        const std::uint64_t token = pending_.begin()->second;
        pending_.erase(pending_.begin());
        Arm();  // before the call, because the handler may throw
        on_expired_(token);
      }
      Arm();
    });
  }

  std::set<std::pair<TimePoint, std::uint64_t>> pending_;
  boost::asio::steady_timer timer_;
  TimePoint armed_for_ = TimePoint::max();
  const OnExpired on_expired_;
};

}  // namespace mothrack::runtime
