// LoadShedder: when it rejects requests, and of which classes.
#include "balancer/load_shedder.h"

#include "gtest/gtest.h"

namespace mothrack::balancer {
namespace {

using std::chrono::milliseconds;

constexpr FleetWeights kFleet{10, 10, 10, 10};
// How many late answers in a row exceed kTooManyLate.
constexpr int kLateUntilOverload = 3;

TEST(LoadShedder, OnlyLateOutcomesOfHealthyUpstreamsRaiseTheRejectedShare) {
  struct Case {
    Outcome outcome;
    int elapsed_ms;
    bool loaded, healthy_past_slow_start, raises;
  };
  for (const Case& test :
       {Case{Outcome::kServed, 100, false, true, false}, Case{Outcome::kServed, 350, false, true, true},
        Case{Outcome::kServed, 350, false, false, false}, Case{Outcome::kFull, 1, false, true, true},
        Case{Outcome::kTimeout, 400, false, true, false}, Case{Outcome::kTimeout, 400, true, true, true},
        Case{Outcome::kError, 400, true, true, false}}) {
    const std::vector<RequestClass> classes(1);
    LoadShedder shedder(classes);
    shedder.RecordTick(kFleet);
    for (int i = 0; i < kLateUntilOverload; ++i) {
      shedder.RecordOutcome({test.outcome, milliseconds(test.elapsed_ms), milliseconds(400), test.loaded,
                             test.healthy_past_slow_start},
                            1);
    }
    EXPECT_EQ(shedder.shed() > 0, test.raises) << static_cast<int>(test.outcome) << ' ' << test.elapsed_ms;
  }
}

// Guards against this failure: two slow answers among a thousand in time began to reject requests.
TEST(LoadShedder, FewLateAnswersAmongManyInTimeRejectNothing) {
  const std::vector<RequestClass> classes(1);
  const auto answer = [](int elapsed_ms) {
    return LatenessInput{Outcome::kServed, milliseconds(elapsed_ms), milliseconds(400), false, true};
  };
  LoadShedder shedder(classes);
  shedder.RecordTick(kFleet);
  for (int i = 0; i < 1000; ++i) shedder.RecordOutcome(answer(2), 100);
  for (int i = 0; i + 1 < kLateUntilOverload; ++i) {
    shedder.RecordOutcome(answer(350), 100);
    EXPECT_FALSE(shedder.RejectsAny()) << i;
  }
  shedder.RecordOutcome(answer(350), 100);
  EXPECT_TRUE(shedder.RejectsAny());
}

TEST(LoadShedder, TheLossOfHalfOfTheUpstreamsRaisesTheRejectedShareAtOnce) {
  const std::vector<RequestClass> classes(1);
  LoadShedder shedder(classes);
  shedder.RecordTick(kFleet);
  shedder.RecordTick({10, 5, 5, 10});
  EXPECT_NEAR(shedder.shed(), 0.45, 0.01);
}

TEST(LoadShedder, TheClassWithTheLeastPriorityIsRejectedFirstDownToItsFloor) {
  std::vector<RequestClass> classes(2);
  classes[1].priority_weight = 0.1;
  LoadShedder shedder(classes);
  const std::vector<Duration> usual_times(2, milliseconds(100));
  for (std::size_t class_index = 0; class_index < 2; ++class_index)
    shedder.RecordDemand(class_index, usual_times[class_index]);
  shedder.RecordTick(kFleet);
  shedder.RecordTick({10, 5, 5, 10});
  EXPECT_DOUBLE_EQ(shedder.AdmittedShare(1, usual_times), kClassFloor);
  EXPECT_GT(shedder.AdmittedShare(0, usual_times), 0.8);
}

TEST(LoadShedder, AnIntervalOfRejectionsBeginsOnceAndEndsAfterItsTime) {
  const std::vector<RequestClass> classes(1);
  LoadShedder shedder(classes);
  EXPECT_TRUE(shedder.RecordRejection(TimePoint{}));
  EXPECT_FALSE(shedder.RecordRejection(TimePoint{}));
  EXPECT_FALSE(shedder.RejectionsEnded(TimePoint{} + kRejectionInterval));
  EXPECT_TRUE(shedder.RejectionsEnded(TimePoint{} + kRejectionInterval + Duration(1)));
}

}  // namespace
}  // namespace mothrack::balancer
