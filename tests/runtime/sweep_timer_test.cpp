// Tests that a sweep repeats until its function returns false.
#include "runtime/sweep_timer.h"

#include <boost/asio/io_context.hpp>
#include <chrono>

#include "gtest/gtest.h"

namespace mothrack {
namespace {

TEST(SweepTimer, RepeatsAtItsIntervalUntilTheSweepEndsIt) {
  boost::asio::io_context io;
  int sweeps = 0;
  int intervals = 0;
  const auto interval = [&] {
    ++intervals;
    return runtime::Duration(std::chrono::milliseconds(1));
  };
  runtime::SweepTimer timer(io, interval, [&] { return ++sweeps < 3; });
  timer.Restart();
  timer.Restart();  // resets the timer; there is still one sweep at a time
  io.run();
  EXPECT_EQ(sweeps, 3);
  EXPECT_EQ(intervals, 4);
}

}  // namespace
}  // namespace mothrack
