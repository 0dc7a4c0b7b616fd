// Load probes before a request is sent.
#include <algorithm>
#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "balancer/helpers.h"

namespace mothrack::balancer::testing {
namespace {

Settings SettingsWithProbes() {
  Settings settings = DefaultSettings();
  settings.load_by_probe = settings.limits.probes = true;
  settings.prices.probe = 0.002;
  return settings;
}

void AnswerProbe(TestSidecar& sidecar, const std::string& id, double in_flight, double rate = 0) {
  LoadReport load;
  load.in_flight = in_flight;
  load.rate = rate;
  sidecar.Handle(ProbeEnded{{id}, Outcome::kServed, 1ms, load});
}

TEST(LoadProbing, TheLeastLoadedCandidateGetsTheRequest) {
  TestSidecar sidecar(SettingsWithProbes());
  sidecar.ListUpstreams(6);
  for (int i = 0; i < 12; ++i) {
    sidecar.probed.clear();
    const std::size_t before = sidecar.sent.size();
    sidecar.Arrive(kUnsafe);
    ASSERT_EQ(sidecar.probed.size(), 3u);
    ASSERT_EQ(sidecar.sent.size(), before) << "sent before the load reports arrived";
    const std::vector<std::string> probed = sidecar.probed;
    AnswerProbe(sidecar, probed[0], 9);
    AnswerProbe(sidecar, probed[1], 2);
    AnswerProbe(sidecar, probed[2], 5);
    ASSERT_EQ(sidecar.sent.size(), before + 1);
    EXPECT_EQ(sidecar.sent.back().upstream, probed[1]);
    sidecar.now += 10ms;
    sidecar.EndAttempt(sidecar.sent.back(), Outcome::kServed);
  }
}

TEST(LoadProbing, AnUnansweredProbeDelaysTheRequestBrieflyAndIsAFailure) {
  TestSidecar sidecar(SettingsWithProbes());
  sidecar.ListUpstreams(6);
  sidecar.Arrive(kUnsafe);
  const std::string unresponsive = sidecar.probed[0], answering = sidecar.probed[1];
  AnswerProbe(sidecar, answering, 50);
  EXPECT_TRUE(sidecar.sent.empty());
  sidecar.Advance(30ms);
  ASSERT_EQ(sidecar.sent.size(), 1u) << "expected one attempt, and no hedge of a request that is not late";
  EXPECT_EQ(sidecar.sent.back().upstream, answering) << "sent to an upstream whose probe is unanswered";
  sidecar.EndAttempt(sidecar.sent.back(), Outcome::kServed);
  for (int i = 0; i < 2; ++i) sidecar.Handle(ProbeEnded{{unresponsive}, Outcome::kTimeout, 400ms, {}});
  sidecar.probed.clear();
  for (int i = 0; i < 5; ++i) sidecar.Arrive(kUnsafe);
  EXPECT_EQ(std::count(sidecar.probed.begin(), sidecar.probed.end(), unresponsive), 0)
      << "probed a suspect upstream";
}

TEST(LoadProbing, ARequestThatEndsWhileItWaitsIsNotSent) {
  TestSidecar sidecar(SettingsWithProbes());
  sidecar.ListUpstreams(6);
  const RequestId cancelled = sidecar.Arrive(kUnsafe);
  sidecar.Handle(ClientDisconnected{cancelled});
  for (const std::string& id : std::vector<std::string>(sidecar.probed)) AnswerProbe(sidecar, id, 1);
  sidecar.Advance(3s);
  EXPECT_TRUE(sidecar.sent.empty());
  EXPECT_TRUE(sidecar.rejected.empty());
}

TEST(OverloadedFleet, ARequestIsRejectedWhenAllProbedUpstreamsAreOverloaded) {
  TestSidecar sidecar(SettingsWithProbes());
  sidecar.ListUpstreams(6);
  const RequestId late = sidecar.Arrive(kUnsafe);  // its latency objective is 400 ms
  for (const std::string& id : std::vector<std::string>(sidecar.probed)) AnswerProbe(sidecar, id, 40, 50);
  EXPECT_TRUE(sidecar.sent.empty());
  ASSERT_EQ(sidecar.rejected.size(), 1u);
  EXPECT_EQ(sidecar.rejected.back(), late);
  EXPECT_TRUE(sidecar.HasLogged("refusing: overload, upstreams hold more than they can serve in time"));
  sidecar.probed.clear();
  sidecar.Arrive(kUnsafe);
  const std::vector<std::string> probed = sidecar.probed;
  for (const std::string& id : probed) AnswerProbe(sidecar, id, id == probed[2] ? 10 : 40, 50);
  ASSERT_EQ(sidecar.sent.size(), 1u);
  EXPECT_EQ(sidecar.sent.back().upstream, probed[2]);
}

}  // namespace
}  // namespace mothrack::balancer::testing
