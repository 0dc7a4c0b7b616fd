// InFlightRecord: when an upstream with attempts in flight is unresponsive.
#include "balancer/in_flight.h"

#include "gtest/gtest.h"

namespace mothrack::balancer {
namespace {

TEST(InFlight, UnresponsiveAfterSomeUsualTimesOfItsOwn) {
  const Duration usual = std::chrono::milliseconds(100);
  struct Case {
    int attempts;
    int waited_ms;
    double slowness, slow_start_factor;
    bool unresponsive;
  };
  for (const Case& test :
       {Case{0, 9000, 1, 1, false}, Case{1, 300, 1, 1, false}, Case{1, 301, 1, 1, true},
        Case{1, 301, 2, 1, false}, Case{1, 601, 2, 1, true}, Case{1, 601, 1, 0.25, false}}) {
    InFlightRecord record;
    for (int i = 0; i < test.attempts; ++i) record.Begin(TimePoint{});
    const TimePoint now{std::chrono::milliseconds(test.waited_ms)};
    EXPECT_EQ(record.IsUnresponsive(now, usual, test.slowness, test.slow_start_factor), test.unresponsive)
        << test.waited_ms;
  }
}

}  // namespace
}  // namespace mothrack::balancer
