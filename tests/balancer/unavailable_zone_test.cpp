// A zone whose upstreams do not respond.
#include <chrono>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "balancer/helpers.h"

namespace mothrack::balancer::testing {
namespace {

// Two zones of six upstreams; `calls` requests 20 ms apart, those to an unresponsive zone time out. Returns
// how many went to "there", and how many were rejected.
struct TwoZones {
  TwoZones() {
    std::vector<UpstreamInfo> list;
    for (char id = 'a'; id < 'm'; ++id) {
      list.push_back(MakeUpstream(std::string(1, id)));
      list.back().zone = id < 'g' ? "here" : "there";
    }
    w.ReplaceList(list);
  }
  std::pair<int, int> Call(int calls, bool unresponsive, ClassId cls = kUnsafe) {
    int there = 0;
    const std::size_t rejected_before = w.rejected.size();
    for (int i = 0; i < calls; ++i) {
      const std::size_t before = w.sent.size();
      w.Arrive(cls);
      w.now += 10ms;
      for (std::size_t k = before; k < w.sent.size(); ++k) {
        const bool far = w.sent[k].upstream >= "g";
        there += far;
        w.EndAttempt(w.sent[k], far && unresponsive ? Outcome::kTimeout : Outcome::kServed);
      }
      w.Advance(10ms);
    }
    return {there, static_cast<int>(w.rejected.size() - rejected_before)};
  }
  TestSidecar w;
};

TEST(UnavailableZone, IsAvoidedAfterThreeUnresponsiveUpstreamsUntilItsFirstAnswer) {
  TwoZones zones;
  EXPECT_GT(zones.Call(200, false).first, 80);
  EXPECT_LE(zones.Call(100, true).first, 4) << "not each of the six, twice";
  EXPECT_EQ(zones.Call(100, true).first, 0);
  // Safe requests probe it, at least one each half second.
  const int probes = zones.Call(150, true, kSafe).first;
  EXPECT_GE(probes, 1);
  EXPECT_LE(probes, 8);
  zones.Call(150, false, kSafe);
  EXPECT_GT(zones.Call(200, false).first, 60);
}

TEST(UnavailableZone, IsNotInferredFromOneUnresponsiveUpstream) {
  TwoZones zones;
  zones.Call(200, false);
  for (int i = 0; i < 100; ++i) {
    const std::size_t before = zones.w.sent.size();
    zones.w.Arrive(kUnsafe);
    zones.w.now += 10ms;
    zones.w.EndAttempts(before, "g", Outcome::kTimeout);
    zones.w.Advance(10ms);
  }
  EXPECT_GT(zones.Call(100, false).first, 25);
}

TEST(UnavailableZone, LoadOnTheOtherZoneIsShedBeforeAnswersAreLateUntilItCopes) {
  TwoZones zones;
  EXPECT_EQ(zones.Call(400, false).second, 0);
  EXPECT_GE(zones.Call(60, true).second, 1) << "half of it is gone, and nothing is late yet";
  zones.Call(400, true);
  EXPECT_LE(zones.Call(100, true).second, 2);
}

}  // namespace
}  // namespace mothrack::balancer::testing
