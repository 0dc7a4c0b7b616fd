// Tests the time limit of a request body as a plain value.
#include "http/body_deadline.h"

#include <gtest/gtest.h>

#include <chrono>

namespace mothrack::http {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr runtime::Duration kCapacity = seconds(2);
constexpr std::int64_t kBytesPerSecond = 1000;

class BodyDeadlineTest : public ::testing::Test {
 protected:
  BodyDeadlineTest() { deadline.Begin(now); }
  void Advance(runtime::Duration by) { now += by; }

  runtime::TimePoint now{seconds(100)};
  BodyDeadline deadline{kCapacity, kBytesPerSecond};
};

// Guards against this failure: megabytes that came at once bought minutes of silence.
TEST_F(BodyDeadlineTest, BytesNeverBuyMoreSilenceThanTheCapacity) {
  deadline.OnBodyBytes(60 << 20, now);
  Advance(kCapacity);
  EXPECT_FALSE(deadline.Overdue(now));
  Advance(milliseconds(1));
  EXPECT_TRUE(deadline.Overdue(now));
}

TEST_F(BodyDeadlineTest, TheMinimumRateIsNeverOverdue) {
  for (int i = 0; i < 1000; ++i) {
    Advance(seconds(1));
    ASSERT_FALSE(deadline.Overdue(now)) << i;
    deadline.OnBodyBytes(kBytesPerSecond, now);
  }
}

TEST_F(BodyDeadlineTest, HalfTheMinimumRateIsOverdueAfterTwiceTheCapacity) {
  for (int i = 0; i < 40; ++i) {
    ASSERT_FALSE(deadline.Overdue(now)) << i;
    Advance(milliseconds(100));
    deadline.OnBodyBytes(kBytesPerSecond / 20, now);
  }
  Advance(milliseconds(100));
  EXPECT_TRUE(deadline.Overdue(now));
}

TEST_F(BodyDeadlineTest, PausesDoNotCount) {
  Advance(seconds(1));
  deadline.Pause(now);
  Advance(seconds(60));
  deadline.Pause(now);  // no effect
  EXPECT_FALSE(deadline.Overdue(now));
  deadline.Resume(now);
  deadline.Resume(now);  // no effect
  Advance(seconds(1));
  EXPECT_FALSE(deadline.Overdue(now));
  Advance(milliseconds(1));
  EXPECT_TRUE(deadline.Overdue(now));
}

}  // namespace
}  // namespace mothrack::http
