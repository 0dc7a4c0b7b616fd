// Tests the memory budget: what it grants for reservations and for growth, and how charges move.
#include "runtime/memory_budget.h"

#include <gtest/gtest.h>

#include <utility>

namespace mothrack::runtime {
namespace {

using Charge = MemoryBudget::Charge;

constexpr std::size_t kLimit = 12 * 1024;
constexpr std::size_t kGrowthLimit = 9 * 1024;

TEST(MemoryBudget, GrowthIsDeniedBeforeReservationsAre) {
  MemoryBudget budget(kLimit);
  Charge charge(budget);
  EXPECT_EQ(budget.GrowthAvailable(), kGrowthLimit);
  EXPECT_FALSE(charge.Grow(kGrowthLimit + 1));
  EXPECT_TRUE(charge.Grow(kGrowthLimit));
  EXPECT_EQ(budget.GrowthAvailable(), 0U);
  Charge needed(budget);
  EXPECT_FALSE(needed.Grow(1));
  EXPECT_TRUE(needed.Reserve(kLimit - kGrowthLimit));
  EXPECT_EQ(budget.denied(), 0U);
  EXPECT_FALSE(needed.Reserve(kLimit - kGrowthLimit + 1));
  EXPECT_EQ(budget.denied(), 1U);
  EXPECT_EQ(needed.bytes(), kLimit - kGrowthLimit);
  EXPECT_EQ(budget.used(), kLimit);
}

TEST(MemoryBudget, ShrinkingIsNeverDenied) {
  MemoryBudget budget(kLimit);
  Charge charge(budget);
  charge.Set(2 * kLimit);
  EXPECT_EQ(budget.used(), 2 * kLimit);
  EXPECT_TRUE(charge.Grow(2 * kLimit - 1));
  EXPECT_TRUE(charge.Reserve(2 * kLimit - 2));
  EXPECT_EQ(budget.used(), 2 * kLimit - 2);
  charge.Set(0);
  EXPECT_EQ(budget.used(), 0U);
  EXPECT_EQ(budget.peak(), 2 * kLimit);
}

TEST(MemoryBudget, AMovedChargeCountsOnce) {
  MemoryBudget budget(kLimit);
  {
    Charge first(budget);
    first.Set(100);
    Charge second = std::move(first);
    EXPECT_EQ(first.bytes(), 0U);  // NOLINT(bugprone-use-after-move): that it is empty is what is tested
    EXPECT_EQ(second.bytes(), 100U);
    Charge third(budget);
    third.Set(7);
    third = std::move(second);
    EXPECT_EQ(budget.used(), 100U);
  }
  EXPECT_EQ(budget.used(), 0U);
}

TEST(MemoryBudget, AChargeOfNoBudgetHoldsNothing) {
  Charge charge;
  charge.Set(5);
  EXPECT_EQ(charge.bytes(), 0U);
  EXPECT_FALSE(charge.Reserve(1));
  EXPECT_FALSE(charge.Grow(1));
  EXPECT_TRUE(charge.Reserve(0));
  EXPECT_TRUE(charge.Grow(0));
}

// Two processes of a hot restart have half of the limit each.
TEST(MemoryBudget, ASharedLimitIsHalf) {
  MemoryBudget budget(kLimit);
  Charge charge(budget);
  ASSERT_TRUE(charge.Reserve(kLimit / 2 + 1));
  budget.Halve();
  EXPECT_EQ(budget.limit(), kLimit / 2);
  EXPECT_EQ(budget.GrowthAvailable(), 0U);
  Charge other(budget);
  EXPECT_FALSE(other.Reserve(1));
  budget.Restore();
  EXPECT_TRUE(other.Reserve(1));
}

TEST(MemoryBudget, StreamsShareTheirPartEvenlyWithinBounds) {
  MemoryBudget budget(std::size_t{96} * 1024);
  EXPECT_EQ(budget.StreamWindow(), 64U * 1024);
  const MemoryBudget::OpenStream one(budget);
  EXPECT_EQ(budget.StreamWindow(), 64U * 1024);
  const MemoryBudget::OpenStream two(budget);
  EXPECT_EQ(budget.StreamWindow(), 32U * 1024);
  EXPECT_EQ(MemoryBudget(1).StreamWindow(), MemoryBudget::kMinWindow);
  EXPECT_EQ(MemoryBudget(std::size_t{1} << 30).StreamWindow(), MemoryBudget::kMaxWindow);
}

}  // namespace
}  // namespace mothrack::runtime
