// HalfOpenProbes: when an ejected upstream is probed, and when it returns.
#include "balancer/half_open_probes.h"

#include "gtest/gtest.h"

namespace mothrack::balancer {
namespace {

constexpr TimePoint kNow{std::chrono::seconds(100)};

TEST(HalfOpenProbes, EachFailedProbeDoublesTheDelayUpToTheMaximum) {
  HalfOpenRecord record;
  HalfOpenProbes::RecordEjection(record, kNow);
  EXPECT_FALSE(HalfOpenProbes::MayProbe(record, kNow));
  EXPECT_TRUE(HalfOpenProbes::MayProbe(record, kNow + kFirstProbeDelay));
  for (const int times : {2, 4, 8, 8}) {
    HalfOpenProbes::RecordSent(record);
    EXPECT_FALSE(HalfOpenProbes::MayProbe(record, record.next_probe));
    EXPECT_FALSE(HalfOpenProbes::RecordOutcome(record, true, Outcome::kTimeout, kNow));
    EXPECT_EQ(record.next_probe, kNow + times * kFirstProbeDelay);
  }
}

TEST(HalfOpenProbes, AnEjectedUpstreamReturnsAfterEnoughServedInARow) {
  HalfOpenRecord record;
  HalfOpenProbes::RecordEjection(record, kNow);
  EXPECT_FALSE(HalfOpenProbes::RecordOutcome(record, true, Outcome::kServed, kNow));
  EXPECT_FALSE(HalfOpenProbes::RecordOutcome(record, true, Outcome::kError, kNow));
  EXPECT_FALSE(HalfOpenProbes::RecordOutcome(record, true, Outcome::kServed, kNow));
  EXPECT_TRUE(HalfOpenProbes::RecordOutcome(record, true, Outcome::kServed, kNow));
}

}  // namespace
}  // namespace mothrack::balancer
