// ConnectionModel: when an idle connection is reused or closed, and when connecting is hard.
#include "balancer/connection_model.h"

#include "gtest/gtest.h"

namespace mothrack::balancer {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(ConnectionModel, AnIdleConnectionIsUsableUntilTheSidecarClosesIt) {
  Limits limits;
  const ConnectionModel model(limits);
  struct Case {
    int idle;
    Duration age;
    bool found;
  };
  for (const Case& test : {Case{0, seconds(0), false}, Case{1, seconds(0), true}, Case{1, seconds(14), true},
                           Case{1, limits.idle_close, false}}) {
    const ConnectionRecord record{test.idle, TimePoint{}};
    EXPECT_EQ(model.HasConnection(record, 0, TimePoint{} + test.age), test.found)
        << test.idle << ' ' << test.age.count();
  }
}

TEST(ConnectionModel, AConnectionFoundDroppedHalvesTheTrustedIdleAge) {
  const Limits limits;
  ConnectionModel model(limits);
  ConnectionRecord record;
  const TimePoint now{seconds(100)};
  model.RecordOutcome(record, {false, seconds(8)}, Outcome::kReset, milliseconds(1), milliseconds(50), now);
  record = {1, now};
  EXPECT_FALSE(model.DropStale(record, now + seconds(4)));
  EXPECT_TRUE(model.DropStale(record, now + seconds(4) + Duration(1)));
  EXPECT_EQ(record.idle, 0);
}

TEST(ConnectionModel, ConnectingIsUnreliableOnceHalfOfItFails) {
  const Limits limits;
  ConnectionModel model(limits);
  ConnectionRecord record;
  EXPECT_FALSE(model.IsConnectingHard());
  model.RecordOutcome(record, {true, {}}, Outcome::kConnectFailed, seconds(1), seconds(1), TimePoint{});
  EXPECT_TRUE(model.IsConnectingHard());
  for (int i = 0; i < 8; ++i) model.RecordTick();
  EXPECT_FALSE(model.IsConnectingHard());
}

}  // namespace
}  // namespace mothrack::balancer
