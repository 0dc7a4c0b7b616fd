// Figures of a run: quantiles, recovery, and the significance of a comparison.
#include "gtest/gtest.h"
#include "simulation/simulation_support.h"
#include "simulation/statistics.h"

namespace mothrack::simulation {
namespace {

TEST(Figures, QuantilesAreWithinOneBinOfTheTrueValues) {
  LatencyHistogram latencies = NewLatencyHistogram();
  for (int i = 1; i <= 1000; ++i) latencies(i);
  EXPECT_NEAR(Quantile(latencies, 0.5), 500, 25);
  EXPECT_NEAR(Quantile(latencies, 0.99), 990, 50);
  EXPECT_EQ(Quantile(NewLatencyHistogram(), 0.5), 0);
}

// Capacity returns at 6 s, and rejections stop at 9 s: requests are rejected needlessly for three seconds.
TEST(Figures, RecoveryCountsFromReturningCapacityAndNotFromTheFault) {
  Scenario scenario = LoadSmallScenario("mass_restart", 20);
  scenario.faults = {{FaultKind::kSlow, 3, 3, 0.5, 4, ""}};
  Figures figures(scenario);
  std::uint64_t client_request = 0;
  for (int s = 0; s < 20; ++s) {
    figures.At(s).available_capacity = s >= 3 && s < 6 ? 0.3 : 1;
    figures.At(s).demand = 0.6;
    for (int i = 0; i < 100; ++i) {
      SimulationEvent event;
      event.kind = SimulationEvent::Kind::kRequested;
      event.request = ++client_request;
      event.at = runtime::TimePoint(SecondsOf(s + 0.001 * i));
      figures.Record(event);
      event.kind = SimulationEvent::Kind::kResolved;
      event.request_outcome = s >= 3 && s < 9 && i < 10 ? RequestOutcome::kRefused : RequestOutcome::kServed;
      figures.Record(event);
    }
  }
  figures.Finish();
  const auto recovery = figures.recovery();
  ASSERT_TRUE(recovery);
  EXPECT_EQ(recovery->covered_s, 6);
  EXPECT_TRUE(recovery->recovered);
  EXPECT_EQ(recovery->took_s, 3);
  EXPECT_NEAR(recovery->needless, 30.0 / 2000, 1e-9);
}

TEST(Statistics, ADifferenceIsSignificantOnlyIfItsIntervalExcludesZero) {
  const Difference clear = Compare({1.0, 1.2, 0.9, 1.1});
  EXPECT_TRUE(clear.significant());
  EXPECT_NEAR(clear.mean, 1.05, 1e-9);
  EXPECT_NEAR(clear.high - clear.low, 2 * 3.1824463 * 0.1290994 / 2, 1e-4);  // t(3), s / sqrt(4)
  EXPECT_FALSE(Compare({1.0, -1.2, 0.9, -0.8}).significant());
  EXPECT_FALSE(Compare({1.0}).significant());
}

}  // namespace
}  // namespace mothrack::simulation
