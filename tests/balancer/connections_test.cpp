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
  TestSidecar w;
  w.ListUpstreams(6);
  std::set<std::string> connected;
  for (int i = 0; i < 3; ++i) connected.insert(w.Serve(kUnsafe));
  // Connecting to any other upstream fails.
  for (int i = 0; i < 60; ++i) {
    const std::size_t before = w.sent.size();
    w.Arrive(kUnsafe);
    for (std::size_t k = before; k < w.sent.size(); ++k) {
      w.now += 5ms;
      const bool has = connected.count(w.sent[k].upstream) > 0;
      w.EndAttempt(w.sent[k], has ? Outcome::kServed : Outcome::kConnectFailed);
    }
    w.Advance(20ms);
  }
  int elsewhere = 0;
  for (int i = 0; i < 30; ++i) elsewhere += connected.count(w.Serve(kUnsafe)) == 0;
  EXPECT_EQ(elsewhere, 0);
}

TEST(StaleIdleConnections, AreClosedBeforeTheAgeAtWhichOneWasFoundDropped) {
  TestSidecar w;
  w.ListUpstreams(1);
  w.Serve(kUnsafe);
  w.Advance(2s);
  EXPECT_EQ(w.Serve(kUnsafe), "a");
  EXPECT_TRUE(w.closed.empty()) << "trusted until one is found dropped";
  w.Advance(2s);
  w.Arrive(kUnsafe);
  w.now += 1ms;
  w.EndAttempt(w.sent.back(), Outcome::kReset);
  w.Serve(kUnsafe);
  w.Advance(1500ms);
  w.Serve(kUnsafe);
  EXPECT_EQ(w.closed, std::vector<std::string>{"a"}) << "idle for longer than half of that";
  w.Advance(500ms);
  w.Serve(kUnsafe);
  EXPECT_EQ(w.closed.size(), 1u) << "used not long ago";
  w.Advance(90s);
  w.Serve(kUnsafe);
  w.closed.clear();
  w.Advance(10s);
  w.Serve(kUnsafe);
  EXPECT_TRUE(w.closed.empty()) << "trusted again with time";
}

TEST(StaleIdleConnections, AreNotInferredFromAResetDuringARequest) {
  TestSidecar w;
  w.ListUpstreams(1);
  w.Serve(kUnsafe);
  w.Advance(2s);
  w.Arrive(kUnsafe);
  w.now += 200ms;
  w.EndAttempt(w.sent.back(), Outcome::kReset);
  w.Serve(kUnsafe);
  w.Advance(1500ms);
  w.Serve(kUnsafe);
  EXPECT_TRUE(w.closed.empty());
}

}  // namespace
}  // namespace mothrack::balancer::testing
