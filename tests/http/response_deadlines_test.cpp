// When a buffered response is streamed, and when it is given up.
#include "http/response_deadlines.h"

#include <gtest/gtest.h>

#include <chrono>
#include <cstddef>
#include <optional>

#include "http/messages.h"

namespace mothrack::http {
namespace {

using std::chrono::milliseconds;

constexpr runtime::TimePoint kStart{};
constexpr dispatch::AttemptTimeouts kTimeouts{milliseconds(3000), milliseconds(4000)};
constexpr milliseconds kHeadAt{100};

struct Case {
  const char* name;
  bool length_known;
  milliseconds at;
  std::size_t size;
  bool streams;
  milliseconds paused{0};  // since the last bytes
};

TEST(ResponseDeadlines, ShortResponsesAreBufferedUntilTheirClientsTimeIsNearlyOver) {
  const Case cases[] = {
      {"long, unknown length, within a second", false, milliseconds(1099), kMinStreamedSize, false},
      {"long, unknown length, after a second", false, milliseconds(1100), kMinStreamedSize, true},
      {"long, known length, after a second", true, milliseconds(1100), kMinStreamedSize, false},
      {"long, known length, near the deadline", true, milliseconds(3950), kMinStreamedSize, true},
      {"short, before the deadline", false, milliseconds(3949), kMinStreamedSize - 1, false},
      {"short, near the deadline, slower than the minimum rate", false, milliseconds(3950), 100, false},
      {"empty, near the deadline", false, milliseconds(3950), 0, false},
      {"long, unknown length, paused a little", false, milliseconds(1100), kMinStreamedSize, true,
       milliseconds(500)},
      {"long, unknown length, paused", false, milliseconds(1100), kMinStreamedSize, true, milliseconds(501)},
      {"long, known length, near the deadline, paused", true, milliseconds(3950), kMinStreamedSize, false,
       milliseconds(501)},
      {"at the minimum rate, near the deadline, paused", true, milliseconds(3950), kMinBodyRate * 4, false,
       milliseconds(501)},
  };
  for (const Case& each : cases) {
    ResponseDeadlines deadlines;
    deadlines.Begin(kTimeouts, kStart);
    deadlines.BeginBuffering(each.length_known, kStart + kHeadAt);
    deadlines.OnBuffered(each.size, kStart + each.at - each.paused);
    EXPECT_EQ(deadlines.ShouldStream(each.size, kStart + each.at), each.streams) << each.name;
  }
}

TEST(ResponseDeadlines, ShortResponseAtTheMinimumRateIsStreamedNearTheDeadline) {
  ResponseDeadlines deadlines;
  deadlines.Begin({milliseconds(400), milliseconds(600)}, kStart);
  deadlines.BeginBuffering(true, kStart + kHeadAt);
  const std::size_t at_minimum_rate = kMinBodyRate * 450 / 1000;
  EXPECT_TRUE(deadlines.ShouldStream(at_minimum_rate + 1, kStart + milliseconds(550)));
  EXPECT_FALSE(deadlines.ShouldStream(at_minimum_rate - 1, kStart + milliseconds(550)));
}

// A short streamed response has to be complete at most half a second late, or fail. A long one continues for
// as long as its upstream writes.
TEST(ResponseDeadlines, OnlyAShortStreamedResponseHasToBeWholeInTime) {
  ResponseDeadlines deadlines;
  deadlines.Begin(kTimeouts, kStart);
  const auto due = [&](std::optional<std::uint64_t> length, milliseconds last_bytes) {
    StallDeadline limit = deadlines.WhileStreaming(length);
    limit.Restart(kStart + last_bytes);
    return *limit.due() - kStart;
  };
  EXPECT_EQ(due(kBufferLimit, milliseconds(3950)), milliseconds(4450));
  EXPECT_EQ(due(kBufferLimit, milliseconds(4440)), milliseconds(4450));
  for (const auto length : {std::optional<std::uint64_t>(kBufferLimit + 1), std::optional<std::uint64_t>()}) {
    EXPECT_EQ(due(length, milliseconds(3950)), milliseconds(3950) + StallDeadline::kMaxPause);
  }
}

TEST(ResponseDeadlines, ResponseIsCheckedTwiceAndThenGivenUp) {
  ResponseDeadlines deadlines;
  deadlines.Begin(kTimeouts, kStart);
  EXPECT_EQ(deadlines.begin_by(), kStart + kTimeouts.until_begun);
  deadlines.BeginBuffering(true, kStart + kHeadAt);
  EXPECT_EQ(deadlines.NextCheck(kStart + milliseconds(200)), kStart + milliseconds(3950));
  EXPECT_EQ(deadlines.NextCheck(kStart + milliseconds(3950)), kStart + milliseconds(3975));
  EXPECT_EQ(deadlines.NextCheck(kStart + milliseconds(3975)), std::nullopt);
}

}  // namespace
}  // namespace mothrack::http
