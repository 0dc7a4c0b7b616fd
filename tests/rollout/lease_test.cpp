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

TEST(Lease, OneHolderAtATimeAndEarlierEpochsAreFenced) {
  Lessor lessor({}, milliseconds(1000), At(0));
  EXPECT_EQ(lessor.Acquire(1, HolderNamed("ann", "c1"), At(0)), Verdict::kGranted);
  EXPECT_EQ(lessor.Acquire(2, HolderNamed("bob", "c2"), At(999)), Verdict::kHeld);
  EXPECT_EQ(lessor.holder(At(999))->who, "ann");
  EXPECT_EQ(lessor.Renew(1, "ann", At(500)), Verdict::kGranted);
  EXPECT_EQ(lessor.Acquire(2, HolderNamed("bob", "c2"), At(1400)), Verdict::kHeld) << "it was renewed";
  EXPECT_EQ(lessor.Acquire(2, HolderNamed("bob", "c2"), At(1500)), Verdict::kGranted);
  EXPECT_EQ(lessor.Renew(1, "ann", At(1501)), Verdict::kFenced) << "its holder was suspended in the meantime";
  EXPECT_EQ(lessor.Acquire(2, HolderNamed("eve", "c3"), At(9000)), Verdict::kFenced)
      << "an epoch is granted once";
  lessor.Release(1, "ann", true);
  EXPECT_EQ(lessor.Renew(2, "bob", At(1600)), Verdict::kGranted) << "a late release of another claim";
}

TEST(Lease, ClaimsWithTheSameEpochAreDistinguished) {
  Lessor lessor({}, milliseconds(1000), At(0));
  ASSERT_EQ(lessor.Acquire(1, HolderNamed("ann", "c1"), At(0)), Verdict::kGranted);
  EXPECT_EQ(lessor.Acquire(1, HolderNamed("bob", "c2"), At(0)), Verdict::kFenced);
  lessor.Release(1, "bob", true);
  EXPECT_EQ(lessor.Renew(1, "bob", At(1)), Verdict::kFenced);
  EXPECT_EQ(lessor.Renew(1, "ann", At(1)), Verdict::kGranted);
}

TEST(Lease, LapsedLeaseIsNotRenewed) {
  Lessor lessor({}, milliseconds(1000), At(0));
  ASSERT_EQ(lessor.Acquire(1, HolderNamed("ann", "c1"), At(0)), Verdict::kGranted);
  EXPECT_EQ(lessor.Renew(1, "ann", At(1000)), Verdict::kLapsed);
  EXPECT_FALSE(lessor.holder(At(1000)));
  EXPECT_EQ(lessor.Acquire(2, HolderNamed("ann", "c1"), At(1000)), Verdict::kGranted);
}

TEST(Lease, OpenChangeBlocksOtherChanges) {
  Lessor lessor({}, milliseconds(1000), At(0));
  ASSERT_EQ(lessor.Acquire(1, HolderNamed("ann", "c1"), At(0)), Verdict::kGranted);
  ASSERT_EQ(lessor.Open(1, HolderNamed("ann", "c1"), At(1)), Verdict::kGranted);
  lessor.Release(1, "ann", false);
  EXPECT_EQ(lessor.Acquire(2, HolderNamed("bob", "c2"), At(2)), Verdict::kOpen);
  EXPECT_EQ(lessor.Acquire(2, HolderNamed("bob", "c1"), At(2)), Verdict::kGranted)
      << "another operator may take over the open change";
  lessor.Release(2, "bob", true);
  EXPECT_EQ(lessor.Acquire(3, HolderNamed("bob", "c2"), At(3)), Verdict::kGranted);
}

// The agent may have granted a delayed request of the same tool and epoch that was for another change.
TEST(Lease, OpensOnlyTheChangeItWasGrantedFor) {
  Lessor lessor({}, milliseconds(1000), At(0));
  ASSERT_EQ(lessor.Acquire(5, HolderNamed("ann", "c1"), At(0)), Verdict::kGranted);
  EXPECT_EQ(lessor.Open(5, HolderNamed("ann", "c4"), At(1)), Verdict::kFenced);
  EXPECT_FALSE(lessor.state().open);
  EXPECT_EQ(lessor.Open(5, HolderNamed("ann", "c1"), At(1)), Verdict::kGranted);
}

TEST(Lease, HasItsFullDurationAfterAnAgentRestart) {
  Lessor before({}, milliseconds(1000), At(0));
  ASSERT_EQ(before.Acquire(7, HolderNamed("ann", "c1"), At(0)), Verdict::kGranted);
  // The machine was restarted, so its clock has started again too.
  Lessor lessor(before.state(), milliseconds(1000), At(10));
  EXPECT_EQ(lessor.Acquire(8, HolderNamed("bob", "c2"), At(1009)), Verdict::kHeld);
  EXPECT_EQ(lessor.Renew(7, "ann", At(1009)), Verdict::kGranted);
  EXPECT_EQ(lessor.Acquire(8, HolderNamed("bob", "c2"), At(2009)), Verdict::kGranted);
}

}  // namespace
}  // namespace mothrack::rollout
