// A zone whose upstreams do not respond.
#include <chrono>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "balancer/helpers.h"

namespace mothrack::balancer::testing {
namespace {

// Two zones, "here" and "there", of six upstreams each.
struct TwoZones {
  TwoZones() {
    std::vector<UpstreamInfo> list;
    for (char id = 'a'; id < 'm'; ++id) {
      list.push_back(MakeUpstream(std::string(1, id)));
      list.back().zone = id < 'g' ? "here" : "there";
    }
    sidecar.ReplaceList(list);
  }
  // Sends `requests` requests 20 ms apart; those to "there" time out if it is `unresponsive`. Returns the
  // number of attempts to "there" and of rejected requests.
  std::pair<int, int> SendRequests(int requests, bool unresponsive, ClassId request_class = kUnsafe) {
    int there = 0;
    const std::size_t rejected_before = sidecar.rejected.size();
    for (int i = 0; i < requests; ++i) {
      const std::size_t before = sidecar.sent.size();
      sidecar.Arrive(request_class);
      sidecar.now += 10ms;
      for (std::size_t k = before; k < sidecar.sent.size(); ++k) {
        const bool to_there = sidecar.sent[k].upstream >= "g";
        there += to_there;
        sidecar.EndAttempt(sidecar.sent[k], to_there && unresponsive ? Outcome::kTimeout : Outcome::kServed);
      }
      sidecar.Advance(10ms);
    }
    return {there, static_cast<int>(sidecar.rejected.size() - rejected_before)};
  }
  TestSidecar sidecar;
};

TEST(UnavailableZone, IsAvoidedAfterThreeUnresponsiveUpstreamsUntilItsFirstAnswer) {
  TwoZones zones;
  EXPECT_GT(zones.SendRequests(200, false).first, 80);
  EXPECT_LE(zones.SendRequests(100, true).first, 4)
      << "the zone must be avoided after three unresponsive upstreams, not after all six";
  EXPECT_EQ(zones.SendRequests(100, true).first, 0);
  // Safe requests probe it for 3 s. After each probe, the next one waits for a minimum delay that is drawn at
  // random from 0.5 s to 1.5 s.
  const int probes = zones.SendRequests(150, true, kSafe).first;
  EXPECT_GE(probes, 1);
  EXPECT_LE(probes, 8);
  zones.SendRequests(150, false, kSafe);
  EXPECT_GT(zones.SendRequests(200, false).first, 60);
}

TEST(UnavailableZone, IsNotInferredFromOneUnresponsiveUpstream) {
  TwoZones zones;
  zones.SendRequests(200, false);
  for (int i = 0; i < 100; ++i) {
    const std::size_t before = zones.sidecar.sent.size();
    zones.sidecar.Arrive(kUnsafe);
    zones.sidecar.now += 10ms;
    zones.sidecar.EndAttempts(before, "g", Outcome::kTimeout);
    zones.sidecar.Advance(10ms);
  }
  EXPECT_GT(zones.SendRequests(100, false).first, 25);
}

TEST(UnavailableZone, LoadOnTheOtherZoneIsShedBeforeAnswersAreLateUntilItCopes) {
  TwoZones zones;
  EXPECT_EQ(zones.SendRequests(400, false).second, 0);
  EXPECT_GE(zones.SendRequests(60, true).second, 1)
      << "no request was rejected before answers were late, although half of the capacity is lost";
  zones.SendRequests(400, true);
  EXPECT_LE(zones.SendRequests(100, true).second, 2);
}

}  // namespace
}  // namespace mothrack::balancer::testing
