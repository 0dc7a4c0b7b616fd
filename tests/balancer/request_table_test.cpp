// RequestTable: requests by id and timers by token.
#include "balancer/request_table.h"

#include "gtest/gtest.h"

namespace mothrack::balancer {
namespace {

TEST(RequestTable, ARequestIsKnownUntilItAndItsAttemptsHaveEnded) {
  RequestTable table;
  Request* const request = table.Add(RequestId{7});
  EXPECT_EQ(table.Add(RequestId{7}), nullptr);
  request->ended = true;
  request->attempts.resize(1);
  table.RemoveIfEnded(RequestId{7});
  EXPECT_EQ(table.Find(RequestId{7}), request);
  request->attempts[0].outcome = Outcome::kServed;
  table.RemoveIfEnded(RequestId{7});
  EXPECT_EQ(table.Find(RequestId{7}), nullptr);
}

TEST(RequestTable, ATimerIsConsumedOnce) {
  RequestTable table;
  const std::uint64_t token = table.AddTimer(RequestId{7});
  EXPECT_NE(token, kTickToken);
  EXPECT_EQ(table.TakeTimer(token), RequestId{7});
  EXPECT_EQ(table.TakeTimer(token), std::nullopt);
}

}  // namespace
}  // namespace mothrack::balancer
