// Goes over what a server has open, again and again: deadlines of connections that must be found overdue
// without a timer each.
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
  // `interval` says how long to wait until the next sweep; it is asked each time the timer is set. `sweep`
  // does the work and says whether the timer goes on. Nothing happens before Restart().
  SweepTimer(boost::asio::io_context& io, std::function<Duration()> interval, std::function<bool()> sweep)
      : timer_(io), interval_(std::move(interval)), sweep_(std::move(sweep)) {}

  // Sets the next sweep one interval from now; one that was set before is cancelled. One that is due already
  // still comes.
  void Restart() {
    timer_.expires_after(interval_());
    timer_.async_wait([this](boost::system::error_code error) {
      if (!error && sweep_()) Restart();
    });
  }

  // Cancels the next sweep, if it is not due already.
  void Cancel() { timer_.cancel(); }

 private:
  boost::asio::steady_timer timer_;
  const std::function<Duration()> interval_;
  const std::function<bool()> sweep_;
};

}  // namespace mothrack::runtime
