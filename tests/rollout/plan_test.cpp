// Validation of a plan, and its division into batches.
#include "rollout/plan.h"

#include <optional>
#include <vector>

#include "gtest/gtest.h"
#include "rollout/rollout_test_support.h"

namespace mothrack::rollout {
namespace {

using testing::TwoHallPlan;

TEST(Plan, CanaryFirstThenHallByHall) {
  using BatchList = std::vector<std::vector<std::size_t>>;
  EXPECT_EQ(SplitIntoBatches(TwoHallPlan(4, 2)), (BatchList{{0}, {1, 2}, {3}, {4, 5}, {6, 7}}));
  Plan plan = TwoHallPlan(3, 8);
  plan.policy.canary = false;
  EXPECT_EQ(SplitIntoBatches(plan), (BatchList{{0, 1, 2}, {3, 4, 5}}));
}

TEST(Plan, ValidationNamesEachFault) {
  EXPECT_EQ(ValidatePlan(TwoHallPlan(2, 1)), std::nullopt);
  EXPECT_EQ(ValidatePlan(TwoHallPlan(0, 1)), "no instance is named; name at least one");
  EXPECT_EQ(ValidatePlan(TwoHallPlan(2, 0)),
            "max_unavailable is 0, so nothing can be changed; give 1 or more");
  Plan twice = TwoHallPlan(1, 1);
  twice.targets.push_back(twice.targets.front());
  EXPECT_EQ(ValidatePlan(twice), "bole/i0 is named twice; remove one of them");
  Plan stop = TwoHallPlan(1, 1);
  stop.kind = StepKind::kStop;
  EXPECT_EQ(ValidatePlan(stop),
            "kality/i0 is in another hall than the first; stop instances of one hall at a time");
}

}  // namespace
}  // namespace mothrack::rollout
