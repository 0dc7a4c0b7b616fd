// Requests prefer open connections while connecting fails, and stale idle ones are closed.
#include <chrono>
#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "balancer/helpers.h"

namespace mothrack::balancer::testing {
namespace {

TEST(ConnectFailures, RequestsPreferOpenConnectionsWhileConnectingFails) {
  TestSidecar sidecar;
  sidecar.ListUpstreams(6);
  std::set<std::string> connected;
  for (int i = 0; i < 3; ++i) connected.insert(sidecar.Serve(kUnsafe));
  // Connecting to any other upstream fails.
  for (int i = 0; i < 60; ++i) {
    const std::size_t before = sidecar.sent.size();
    sidecar.Arrive(kUnsafe);
    for (std::size_t k = before; k < sidecar.sent.size(); ++k) {
      sidecar.now += 5ms;
      const bool has = connected.count(sidecar.sent[k].upstream) > 0;
      sidecar.EndAttempt(sidecar.sent[k], has ? Outcome::kServed : Outcome::kConnectFailed);
    }
    sidecar.Advance(20ms);
  }
  int elsewhere = 0;
  for (int i = 0; i < 30; ++i) elsewhere += connected.count(sidecar.Serve(kUnsafe)) == 0;
  EXPECT_EQ(elsewhere, 0);
}

TEST(StaleIdleConnections, AreClosedBeforeTheAgeAtWhichOneWasFoundDropped) {
  TestSidecar sidecar;
  sidecar.ListUpstreams(1);
  sidecar.Serve(kUnsafe);
  sidecar.Advance(2s);
  EXPECT_EQ(sidecar.Serve(kUnsafe), "a");
  EXPECT_TRUE(sidecar.closed.empty()) << "trusted until one is found dropped";
  sidecar.Advance(2s);
  sidecar.Arrive(kUnsafe);
  sidecar.now += 1ms;
  sidecar.EndAttempt(sidecar.sent.back(), Outcome::kReset);
  sidecar.Serve(kUnsafe);
  sidecar.Advance(1500ms);
  sidecar.Serve(kUnsafe);
  EXPECT_EQ(sidecar.closed, std::vector<std::string>{"a"}) << "idle for longer than half of that";
  sidecar.Advance(500ms);
  sidecar.Serve(kUnsafe);
  EXPECT_EQ(sidecar.closed.size(), 1u) << "used a short time ago";
  sidecar.Advance(90s);
  sidecar.Serve(kUnsafe);
  sidecar.closed.clear();
  sidecar.Advance(10s);
  sidecar.Serve(kUnsafe);
  EXPECT_TRUE(sidecar.closed.empty()) << "trusted again with time";
}

TEST(StaleIdleConnections, AreNotInferredFromAResetDuringARequest) {
  TestSidecar sidecar;
  sidecar.ListUpstreams(1);
  sidecar.Serve(kUnsafe);
  sidecar.Advance(2s);
  sidecar.Arrive(kUnsafe);
  sidecar.now += 200ms;
  sidecar.EndAttempt(sidecar.sent.back(), Outcome::kReset);
  sidecar.Serve(kUnsafe);
  sidecar.Advance(1500ms);
  sidecar.Serve(kUnsafe);
  EXPECT_TRUE(sidecar.closed.empty());
}

}  // namespace
}  // namespace mothrack::balancer::testing
