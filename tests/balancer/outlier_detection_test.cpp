// OutlierDetector: after how many failures an upstream is ejected, and for how long.
#include "balancer/outlier_detection.h"

#include "gtest/gtest.h"

namespace mothrack::balancer {
namespace {

using std::chrono::seconds;

// Records failures of an upstream until it is ejected, while there is one `other` upstream. Returns their
// number.
int FailUntilEjected(OutlierRecord& record, const OutlierRecord& other, TimePoint now) {
  OutlierDetector detector;
  for (int failures = 1; failures < 100; ++failures) {
    detector.ClearSums();
    detector.AddToSums(other);
    detector.AddToSums(record);
    if (detector.RecordOutcome(record, Outcome::kError, now)) return failures;
  }
  return 0;
}

TEST(OutlierDetector, TheThresholdIsAsRareAsFiveFailuresWhereATenthFails) {
  struct Case {
    double attempts, failures;  // of the other upstream
    int run;
  };
  for (const Case& test : {Case{0, 0, 5}, Case{100, 5, 5}, Case{100, 50, 17}}) {
    OutlierRecord record, other;
    other.attempts = test.attempts;
    other.failures = test.failures;
    EXPECT_EQ(FailUntilEjected(record, other, TimePoint{}), test.run) << test.failures;
  }
}

TEST(OutlierDetector, ARepeatedEjectionDoublesUpToTheMaximum) {
  OutlierRecord record;
  TimePoint now{seconds(1000)};
  for (const int ejection_s : {60, 120, 120}) {
    EXPECT_EQ(FailUntilEjected(record, {}, now), kFailuresToEject);
    EXPECT_EQ(record.ejection_time, seconds(ejection_s));
    EXPECT_FALSE(OutlierDetector::IsEjectionExpired(record, now));
    now = record.ejected_until;
    EXPECT_TRUE(OutlierDetector::IsEjectionExpired(record, now));
    OutlierDetector::RecordReturn(record, now);
  }
}

TEST(OutlierDetector, FailuresReduceTheWeightButTimeoutsOfAFastUpstreamLess) {
  OutlierRecord record;
  EXPECT_DOUBLE_EQ(OutlierDetector::SuccessFactor(record, false), 1);
  record.attempts = 10;
  record.failures = record.timeouts = 5;
  EXPECT_DOUBLE_EQ(OutlierDetector::SuccessFactor(record, false), 0.5);
  EXPECT_DOUBLE_EQ(OutlierDetector::SuccessFactor(record, true), 0.125);
}

}  // namespace
}  // namespace mothrack::balancer
