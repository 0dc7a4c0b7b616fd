// Many points in time on one timer of the event loop.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "core/clock.h"

namespace mothrack {

// A token set is handed to `on_due` once, at or after its time, in the order of the times. There is no taking
// back: whoever set a token that no longer matters ignores it.
class Timers {
 public:
  using OnDue = std::function<void(std::uint64_t token)>;
  Timers(boost::asio::io_context& io, OnDue on_due) : timer_(io), on_due_(std::move(on_due)) {}

  // Counts from the next Arm() on: whoever sets several arms once.
  void Set(TimePoint at, std::uint64_t token) { queue_.emplace(at, token); }
  void Arm();
  std::size_t size() const { return queue_.size(); }

 private:
  using Entry = std::pair<TimePoint, std::uint64_t>;

  void Due();

  std::priority_queue<Entry, std::vector<Entry>, std::greater<>> queue_;
  boost::asio::steady_timer timer_;
  TimePoint armed_for_ = TimePoint::max();
  bool due_ = false;  // handlers are being called
  const OnDue on_due_;
};

}  // namespace mothrack
