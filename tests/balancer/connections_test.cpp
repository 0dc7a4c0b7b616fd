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
      const bool has_connection = connected.count(sidecar.sent[k].upstream) > 0;
      sidecar.EndAttempt(sidecar.sent[k], has_connection ? Outcome::kServed : Outcome::kConnectFailed);
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
  EXPECT_TRUE(sidecar.closed.empty()) << "closed an idle connection before one was found closed";
  sidecar.Advance(2s);
  sidecar.Arrive(kUnsafe);
  sidecar.now += 1ms;
  sidecar.EndAttempt(sidecar.sent.back(), Outcome::kReset);
  sidecar.Serve(kUnsafe);
  sidecar.Advance(1500ms);
  sidecar.Serve(kUnsafe);
  EXPECT_EQ(sidecar.closed, std::vector<std::string>{"a"})
      << "not closed, although idle for longer than half of the 2 s";
  sidecar.Advance(500ms);
  sidecar.Serve(kUnsafe);
  EXPECT_EQ(sidecar.closed.size(), 1u) << "closed a connection that was idle for a short time only";
  sidecar.Advance(90s);
  sidecar.Serve(kUnsafe);
  sidecar.closed.clear();
  sidecar.Advance(10s);
  sidecar.Serve(kUnsafe);
  EXPECT_TRUE(sidecar.closed.empty()) << "the trusted idle time has not grown again";
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
