// The lease that an agent grants.
#include "rollout/lease.h"

#include <chrono>

#include "gtest/gtest.h"
#include "rollout/rollout_test_support.h"

namespace mothrack::rollout {
namespace {

using std::chrono::milliseconds;
using testing::At;
using testing::HolderNamed;
using Verdict = Lessor::Verdict;

TEST(Lease, OneHolderAtATimeAndOlderOnesAreFenced) {
  Lessor book({}, milliseconds(1000), At(0));
  EXPECT_EQ(book.Acquire(1, HolderNamed("ann", "c1"), At(0)), Verdict::kGranted);
  EXPECT_EQ(book.Acquire(2, HolderNamed("bob", "c2"), At(999)), Verdict::kHeld);
  EXPECT_EQ(book.holder(At(999))->who, "ann");
  EXPECT_EQ(book.Renew(1, "ann", At(500)), Verdict::kGranted);
  EXPECT_EQ(book.Acquire(2, HolderNamed("bob", "c2"), At(1400)), Verdict::kHeld) << "it was used";
  EXPECT_EQ(book.Acquire(2, HolderNamed("bob", "c2"), At(1500)), Verdict::kGranted);
  EXPECT_EQ(book.Renew(1, "ann", At(1501)), Verdict::kFenced) << "it wakes up late";
  EXPECT_EQ(book.Acquire(2, HolderNamed("eve", "c3"), At(9000)), Verdict::kFenced)
      << "an epoch is granted once";
  book.Release(1, "ann", true);
  EXPECT_EQ(book.Renew(2, "bob", At(1600)), Verdict::kGranted) << "a late release of another's";
}

TEST(Lease, TwoThatChoseTheSameEpochAreToldApart) {
  Lessor book({}, milliseconds(1000), At(0));
  ASSERT_EQ(book.Acquire(1, HolderNamed("ann", "c1"), At(0)), Verdict::kGranted);
  EXPECT_EQ(book.Acquire(1, HolderNamed("bob", "c2"), At(0)), Verdict::kFenced);
  book.Release(1, "bob", true);
  EXPECT_EQ(book.Renew(1, "bob", At(1)), Verdict::kFenced);
  EXPECT_EQ(book.Renew(1, "ann", At(1)), Verdict::kGranted);
}

TEST(Lease, LapsedOneIsNotRenewed) {
  Lessor book({}, milliseconds(1000), At(0));
  ASSERT_EQ(book.Acquire(1, HolderNamed("ann", "c1"), At(0)), Verdict::kGranted);
  EXPECT_EQ(book.Renew(1, "ann", At(1000)), Verdict::kLapsed);
  EXPECT_FALSE(book.holder(At(1000)));
  EXPECT_EQ(book.Acquire(2, HolderNamed("ann", "c1"), At(1000)), Verdict::kGranted);
}

TEST(Lease, OpenChangeIsFinishedBeforeAnother) {
  Lessor book({}, milliseconds(1000), At(0));
  ASSERT_EQ(book.Acquire(1, HolderNamed("ann", "c1"), At(0)), Verdict::kGranted);
  ASSERT_EQ(book.Open(1, HolderNamed("ann", "c1"), At(1)), Verdict::kGranted);
  book.Release(1, "ann", false);
  EXPECT_EQ(book.Acquire(2, HolderNamed("bob", "c2"), At(2)), Verdict::kOpen);
  EXPECT_EQ(book.Acquire(2, HolderNamed("bob", "c1"), At(2)), Verdict::kGranted) << "who takes it over";
  book.Release(2, "bob", true);
  EXPECT_EQ(book.Acquire(3, HolderNamed("bob", "c2"), At(3)), Verdict::kGranted);
}

// A question of the same run and epoch, but for another change, was granted meanwhile.
TEST(Lease, OpensNoOtherChangeThanItWasGrantedFor) {
  Lessor book({}, milliseconds(1000), At(0));
  ASSERT_EQ(book.Acquire(5, HolderNamed("ann", "c1"), At(0)), Verdict::kGranted);
  EXPECT_EQ(book.Open(5, HolderNamed("ann", "c4"), At(1)), Verdict::kFenced);
  EXPECT_FALSE(book.state().open);
  EXPECT_EQ(book.Open(5, HolderNamed("ann", "c1"), At(1)), Verdict::kGranted);
}

TEST(Lease, AfterARestartItHasItsWholeTime) {
  Lessor before({}, milliseconds(1000), At(0));
  ASSERT_EQ(before.Acquire(7, HolderNamed("ann", "c1"), At(0)), Verdict::kGranted);
  // The machine started anew, and so did its clock.
  Lessor book(before.state(), milliseconds(1000), At(10));
  EXPECT_EQ(book.Acquire(8, HolderNamed("bob", "c2"), At(1009)), Verdict::kHeld);
  EXPECT_EQ(book.Renew(7, "ann", At(1009)), Verdict::kGranted);
  EXPECT_EQ(book.Acquire(8, HolderNamed("bob", "c2"), At(2009)), Verdict::kGranted);
}

}  // namespace
}  // namespace mothrack::rollout
