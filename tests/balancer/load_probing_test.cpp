// Load probes before a request is sent.
#include <algorithm>
#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "balancer/helpers.h"

namespace mothrack::balancer::testing {
namespace {

Settings Reporting() {
  Settings settings = DefaultSettings();
  settings.load_by_probe = settings.limits.probes = true;
  settings.prices.probe = 0.002;
  return settings;
}

void Report(TestSidecar& w, const std::string& id, double in_flight, double rate = 0) {
  LoadReport load;
  load.in_flight = in_flight;
  load.rate = rate;
  w.Handle(ProbeEnded{{id}, Outcome::kServed, 1ms, load});
}

TEST(LoadProbing, TheLeastLoadedCandidateGetsTheRequest) {
  TestSidecar w(Reporting());
  w.ListUpstreams(6);
  for (int i = 0; i < 12; ++i) {
    w.probed.clear();
    const std::size_t before = w.sent.size();
    w.Arrive(kUnsafe);
    ASSERT_EQ(w.probed.size(), 3u);
    ASSERT_EQ(w.sent.size(), before) << "waits for the reports";
    const std::vector<std::string> probed = w.probed;
    Report(w, probed[0], 9);
    Report(w, probed[1], 2);
    Report(w, probed[2], 5);
    ASSERT_EQ(w.sent.size(), before + 1);
    EXPECT_EQ(w.sent.back().upstream, probed[1]);
    w.now += 10ms;
    w.EndAttempt(w.sent.back(), Outcome::kServed);
  }
}

TEST(LoadProbing, AnUnansweredProbeDelaysTheRequestBrieflyAndIsAFailure) {
  TestSidecar w(Reporting());
  w.ListUpstreams(6);
  w.Arrive(kUnsafe);
  const std::string unresponsive = w.probed[0], answering = w.probed[1];
  Report(w, answering, 50);
  EXPECT_TRUE(w.sent.empty());
  w.Advance(30ms);
  ASSERT_EQ(w.sent.size(), 1u) << "one attempt, no copy of a call that is not late";
  EXPECT_EQ(w.sent.back().upstream, answering) << "of those that answered";
  w.EndAttempt(w.sent.back(), Outcome::kServed);
  for (int i = 0; i < 2; ++i) w.Handle(ProbeEnded{{unresponsive}, Outcome::kTimeout, 400ms, {}});
  w.probed.clear();
  for (int i = 0; i < 5; ++i) w.Arrive(kUnsafe);
  EXPECT_EQ(std::count(w.probed.begin(), w.probed.end(), unresponsive), 0) << "a suspect now";
}

TEST(LoadProbing, ARequestThatEndsWhileItWaitsIsNotSent) {
  TestSidecar w(Reporting());
  w.ListUpstreams(6);
  const RequestId cancelled = w.Arrive(kUnsafe);
  w.Handle(ClientDisconnected{cancelled});
  for (const std::string& id : std::vector<std::string>(w.probed)) Report(w, id, 1);
  w.Advance(3s);
  EXPECT_TRUE(w.sent.empty());
  EXPECT_TRUE(w.rejected.empty());
}

TEST(OverloadedFleet, ARequestIsRejectedWhenAllProbedUpstreamsAreOverloaded) {
  TestSidecar w(Reporting());
  w.ListUpstreams(6);
  const RequestId late = w.Arrive(kUnsafe);  // its latency objective is 400 ms
  for (const std::string& id : std::vector<std::string>(w.probed)) Report(w, id, 40, 50);
  EXPECT_TRUE(w.sent.empty());
  ASSERT_EQ(w.rejected.size(), 1u);
  EXPECT_EQ(w.rejected.back(), late);
  EXPECT_TRUE(w.HasLogged("refusing: overload, upstreams hold more than they can serve in time"));
  w.probed.clear();
  w.Arrive(kUnsafe);
  const std::vector<std::string> probed = w.probed;
  for (const std::string& id : probed) Report(w, id, id == probed[2] ? 10 : 40, 50);
  ASSERT_EQ(w.sent.size(), 1u);
  EXPECT_EQ(w.sent.back().upstream, probed[2]);
}

}  // namespace
}  // namespace mothrack::balancer::testing
