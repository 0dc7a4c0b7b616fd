// Tests several expiry times on one timer: their order, and a handler that throws.
#include "runtime/timer_queue.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <stdexcept>
#include <vector>

#include "gtest/gtest.h"
#include "runtime/clock.h"

namespace mothrack {
namespace {

using std::chrono::milliseconds;

TEST(TimerQueue, TokensAreHandledInOrderOfTimeAndAfterAnException) {
  boost::asio::io_context io;
  std::vector<std::uint64_t> handled;
  runtime::TimerQueue timers(io, [&](std::uint64_t token) {
    handled.push_back(token);
    if (token == 1) throw std::runtime_error("one");
  });
  const runtime::TimePoint now = runtime::Now();
  timers.Set(now + milliseconds(5), 2);
  timers.Set(now, 1);
  timers.Set(now + milliseconds(1), 3);
  timers.Arm();
  EXPECT_THROW(io.run(), std::runtime_error);
  io.restart();
  io.run();
  EXPECT_EQ(handled, (std::vector<std::uint64_t>{1, 3, 2}));
}

}  // namespace
}  // namespace mothrack
