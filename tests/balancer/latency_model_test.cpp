// LatencyModel: usual times and slowness, as estimated from answer times.
#include "balancer/latency_model.h"

#include "gtest/gtest.h"

namespace mothrack::balancer {
namespace {

using std::chrono::milliseconds;

Settings OneClass() {
  Settings settings;
  settings.classes.resize(1);
  settings.classes[0].latency_objective = milliseconds(400);
  return settings;
}

TEST(LatencyModel, TheUsualTimeIsAQuarterOfTheObjectiveUntilAnswersCome) {
  const Settings settings = OneClass();
  LatencyModel model(settings);
  EXPECT_EQ(model.UsualTime(0), milliseconds(100));
  LatencyRecord record;
  model.RecordAnswer(record, "", {0, milliseconds(400), 1, Outcome::kServed, milliseconds(40)});
  EXPECT_EQ(model.UsualTime(0), milliseconds(40));
}

TEST(LatencyModel, OnlySomeOutcomesCountAsSlowness) {
  struct Case {
    Outcome outcome;
    double objective_share;  // of the upstream's earlier answers
    bool counts;
  };
  for (const Case& test : {Case{Outcome::kServed, 0, true}, Case{Outcome::kError, 1, false},
                           Case{Outcome::kConnectFailed, 1, false}, Case{Outcome::kTimeout, 0, false},
                           Case{Outcome::kTimeout, 1, true}}) {
    const Settings settings = OneClass();
    LatencyModel model(settings);
    LatencyRecord record;
    record.objective_share.value = test.objective_share;
    model.RecordAnswer(record, "k", {0, milliseconds(400), 1, test.outcome, milliseconds(200)});
    EXPECT_EQ(model.Slowness(record, "k") > 1, test.counts) << static_cast<int>(test.outcome);
  }
}

TEST(LatencyModel, SlownessIsBounded) {
  EXPECT_DOUBLE_EQ(LatencyModel::Slowness({{100, 1000}, {}}, 1), kMaxSlowness);
  EXPECT_DOUBLE_EQ(LatencyModel::Slowness({{0.001, 1000}, {}}, 1), 1 / kMaxSlowness);
}

}  // namespace
}  // namespace mothrack::balancer
