// RequestRate: the usual rate, and when it is known.
#include "balancer/request_rate.h"

#include "balancer/tick.h"
#include "gtest/gtest.h"

namespace mothrack::balancer {
namespace {

TEST(RequestRate, IsKnownAfterItsTimeAndForgetsNothingBeforeItsMemoryIsFull) {
  RequestRate rate;
  TimePoint now{std::chrono::seconds(50)};
  rate.Start(now);
  for (int tick = 1; tick <= 16; ++tick) {
    for (int i = 0; i < 5; ++i) rate.RecordArrival();
    now += kTickInterval;
    rate.RecordTick(now, 10);
    EXPECT_NEAR(rate.usual(), 20, 1e-9);
    EXPECT_EQ(rate.IsKnown(now), tick >= 8) << tick;
    EXPECT_EQ(rate.arrivals(), 0);
  }
}

}  // namespace
}  // namespace mothrack::balancer
