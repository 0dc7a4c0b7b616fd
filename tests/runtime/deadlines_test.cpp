// Tests that cancelled deadlines do not expire.
#include "runtime/deadlines.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <vector>

#include "gtest/gtest.h"
#include "runtime/clock.h"

namespace mothrack {
namespace {

using std::chrono::milliseconds;

TEST(Deadlines, CancelledOnesDoNotExpire) {
  boost::asio::io_context io;
  std::vector<std::uint64_t> expired;
  runtime::Deadlines deadlines(io, [&](std::uint64_t token) { expired.push_back(token); });
  const runtime::TimePoint now = runtime::Now();
  deadlines.Set(now + milliseconds(1), 1);
  deadlines.Set(now + milliseconds(2), 2);
  deadlines.Set(now + milliseconds(3), 3);
  deadlines.Cancel(now + milliseconds(1), 1);
  io.run();
  EXPECT_EQ(expired, (std::vector<std::uint64_t>{2, 3}));
}

}  // namespace
}  // namespace mothrack
