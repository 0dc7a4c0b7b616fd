// Calls a function periodically that sweeps over a server's connections and finds the overdue ones. So no
// connection needs a timer of its own.
//
// Owned by the server, used on the thread of its event loop only; destroying it cancels the next sweep.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>
#include <functional>
#include <utility>

#include "runtime/clock.h"

namespace mothrack::runtime {

class SweepTimer {
 public:
  // `interval` returns the time until the next sweep and is called each time the timer is set. `sweep` does
  // the work and returns whether another sweep follows. The timer does not run before Restart().
  SweepTimer(boost::asio::io_context& io, std::function<Duration()> interval, std::function<bool()> sweep)
      : timer_(io), interval_(std::move(interval)), sweep_(std::move(sweep)) {}

  // Schedules the next sweep one interval from now, and cancels the pending one unless it is already due.
  void Restart() {
    timer_.expires_after(interval_());
    timer_.async_wait([this](boost::system::error_code error) {
      if (!error && sweep_()) Restart();
    });
  }

  // Cancels the next sweep, unless it is already due.
  void Cancel() { timer_.cancel(); }

 private:
  boost::asio::steady_timer timer_;
  const std::function<Duration()> interval_;
  const std::function<bool()> sweep_;
};

}  // namespace mothrack::runtime
