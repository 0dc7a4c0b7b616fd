// Slow start factor and budget of a new upstream.
#include "balancer/slow_start.h"

#include "gtest/gtest.h"

namespace mothrack::balancer {
namespace {

using std::chrono::seconds;

TEST(SlowStart, TheFactorRisesEvenlyFromTheInitialShare) {
  const Rules rules;  // from a tenth of the capacity to all of it in 20 s
  const SlowStart slow_start(rules);
  struct Case {
    int age_s;
    double factor;
  };
  for (const Case& test : {Case{-1, 0.1}, Case{0, 0.1}, Case{10, 0.55}, Case{20, 1}, Case{99, 1}}) {
    const TimePoint started{seconds(100)};
    EXPECT_DOUBLE_EQ(slow_start.Factor(started, started + seconds(test.age_s)), test.factor) << test.age_s;
  }
  EXPECT_EQ(slow_start.Factor(std::nullopt, TimePoint{}), 1);
}

TEST(SlowStart, TheBudgetIsRefilledByTheRateOfAnUpstreamPastSlowStartAndSpent) {
  const Rules rules;
  SlowStart slow_start(rules);
  SlowStartTick tick{25, 25, seconds(10), 2, 2, 2};  // 100 requests a second
  for (int i = 0; i < 400; ++i) slow_start.RecordTick(tick);
  const SlowStartUpstream upstream{0.1, 1, false, 0};  // one of two; past slow start each gets 50 a second
  SlowStartRecord record;
  const TimePoint now{seconds(100)};
  slow_start.RecordEntry(record, upstream, 0.5, now);
  EXPECT_FALSE(slow_start.HasBudget(record, upstream, now));
  EXPECT_TRUE(slow_start.HasBudget(record, upstream, now + seconds(1)));
  EXPECT_NEAR(record.budget, 2 * kSlowStartSafety * 0.1 * 50 / 2, 0.01);
  SlowStart::Spend(record);
  EXPECT_NEAR(record.budget, 2.75, 0.01);
}

}  // namespace
}  // namespace mothrack::balancer
