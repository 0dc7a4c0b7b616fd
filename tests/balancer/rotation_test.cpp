// The rotation: requests are spread by weight, latency, success rate and state of the upstreams.
#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "balancer/helpers.h"

namespace mothrack::balancer::testing {
namespace {

TEST(Rotation, EqualUpstreamsTakeEqualTurns) {
  TestSidecar sidecar;
  sidecar.ListUpstreams(4);
  for (const auto& [id, requests] : sidecar.CountServed(400)) EXPECT_NEAR(requests, 100, 3) << id;
}

TEST(Rotation, TurnsFollowTheWeightsSmoothly) {
  TestSidecar sidecar;
  UpstreamInfo heavy = MakeUpstream("heavy");
  heavy.weight = 3;
  sidecar.ReplaceList({heavy, MakeUpstream("a")});
  int in_a_row = 0, most = 0, requests = 0;
  for (int i = 0; i < 400; ++i) {
    const bool hit = sidecar.Serve() == "heavy";
    requests += hit;
    in_a_row = hit ? in_a_row + 1 : 0;
    most = std::max(most, in_a_row);
  }
  EXPECT_NEAR(requests, 300, 6);
  EXPECT_LE(most, 4);
}

TEST(Rotation, ANewUpstreamStartsWithoutCredit) {
  TestSidecar sidecar;
  sidecar.ListUpstreams(4);
  sidecar.CountServed(200);
  sidecar.ChangeUpstream(MakeUpstream("z"));
  int in_a_row = 0;
  for (int i = 0; i < 20; ++i) {
    in_a_row = sidecar.Serve() == "z" ? in_a_row + 1 : 0;
    EXPECT_LE(in_a_row, 1);
  }
}

TEST(UnresponsiveUpstream, IsAvoidedBeforeFiveTimeouts) {
  TestSidecar sidecar;
  sidecar.ListUpstreams(4);
  sidecar.CountServed(100);  // about 10 ms each
  for (int i = 0; i < 40; ++i) {
    const std::size_t before = sidecar.sent.size();
    sidecar.Arrive(kUnsafe);
    sidecar.now += 10ms;
    for (std::size_t k = before; k < sidecar.sent.size(); ++k) {
      if (sidecar.sent[k].upstream != "c") sidecar.EndAttempt(sidecar.sent[k], Outcome::kServed);
    }
  }
  int unresponsive = 0;
  for (std::size_t k = sidecar.sent.size() - 40; k < sidecar.sent.size(); ++k)
    unresponsive += sidecar.sent[k].upstream == "c";
  EXPECT_LE(unresponsive, 2);
  EXPECT_FALSE(sidecar.HasLogged("ejected"));
}

TEST(SlowUpstream, GetsFewerRequests) {
  TestSidecar sidecar;
  sidecar.ListUpstreams(4);
  std::map<std::string, int> spread;
  for (int i = 0; i < 600; ++i) {
    const std::size_t before = sidecar.sent.size();
    sidecar.Arrive(kUnsafe);
    const SentAttempt attempt = sidecar.sent[before];
    sidecar.now += attempt.upstream == "d" ? 40ms : 10ms;
    sidecar.EndAttempt(attempt, Outcome::kServed);
    if (i >= 200) ++spread[attempt.upstream];
  }
  EXPECT_LT(spread["d"], spread["a"] * 2 / 3);
  EXPECT_GT(spread["d"], 0);
}

// An upstream answers half of its requests fast and the others never. It has capacity left, and the other
// upstreams cannot serve all of its share.
TEST(UnreliableUpstream, KeepsAShareByItsSuccessRate) {
  TestSidecar sidecar;
  sidecar.ListUpstreams(4);
  int attempts_at_b = 0;
  for (int i = 0; i < 400; ++i) {
    const std::size_t before = sidecar.sent.size();
    sidecar.Arrive(kUnsafe);
    sidecar.now += 10ms;
    ASSERT_EQ(sidecar.sent.size(), before + 1);
    const bool b = sidecar.sent[before].upstream == "b";
    sidecar.EndAttempt(sidecar.sent[before],
                       b && ++attempts_at_b % 2 == 0 ? Outcome::kTimeout : Outcome::kServed);
  }
  EXPECT_GT(attempts_at_b, 400 / 12);
  EXPECT_LT(attempts_at_b, 400 / 5);
  EXPECT_FALSE(sidecar.HasLogged("refusing"));
}

TEST(FullUpstream, IsAvoidedBriefly) {
  TestSidecar sidecar;
  sidecar.ListUpstreams(3);
  sidecar.CountServed(30);
  const std::size_t before = sidecar.sent.size();
  sidecar.Arrive(kUnsafe);
  const std::string full = sidecar.sent[before].upstream;
  sidecar.EndAttempt(sidecar.sent[before], Outcome::kFull);
  sidecar.EndAttempts(before + 1);
  for (int i = 0; i < 6; ++i) {
    sidecar.Arrive(kUnsafe);
    EXPECT_NE(sidecar.sent.back().upstream, full);
  }
}

TEST(HeterogeneousUpstreams, RegisteredWeightsAreNotCountedTwice) {
  TestSidecar sidecar;
  std::vector<UpstreamInfo> list;
  for (const char id : {'a', 'b', 'c', 'd'}) {
    list.push_back(MakeUpstream(std::string(1, id)));
    list.back().kind = id < 'c' ? "slow" : "fast";
    list.back().weight = id < 'c' ? 1 : 2;
  }
  sidecar.ReplaceList(list);
  std::map<std::string, int> requests;
  for (int i = 0; i < 600; ++i) {
    const std::size_t before = sidecar.sent.size();
    sidecar.Arrive(kUnsafe);
    const bool slow = sidecar.sent[before].upstream < "c";
    if (i >= 200) ++requests[slow ? "slow" : "fast"];
    sidecar.now += slow ? 40ms : 20ms;
    sidecar.EndAttempt(sidecar.sent[before], Outcome::kServed);
  }
  EXPECT_NEAR(requests["fast"], 2 * requests["slow"], 60)
      << "requests must follow the weights only, although one kind answers twice as fast";
}

TEST(HeterogeneousUpstreams, ANewUpstreamStartsWithTheLatencyOfItsKind) {
  TestSidecar sidecar;
  std::vector<UpstreamInfo> list;
  for (const char id : {'a', 'b', 'c', 'd', 'e', 'f'}) {
    list.push_back(MakeUpstream(std::string(1, id)));
    list.back().kind = id < 'd' ? "slow" : "fast";
  }
  sidecar.ReplaceList(list);
  const auto serve = [&sidecar] {
    const std::size_t before = sidecar.sent.size();
    sidecar.Arrive(kUnsafe);
    const bool slow = sidecar.sent[before].upstream < "d";
    sidecar.now += slow ? 60ms : 20ms;
    sidecar.EndAttempt(sidecar.sent[before], Outcome::kServed);
  };
  for (int i = 0; i < 60; ++i) serve();
  // Six more, three of each kind; none has answered yet.
  for (const char id : {'u', 'v', 'w', 'x', 'y', 'z'}) {
    UpstreamInfo info = MakeUpstream(std::string(1, id));
    info.kind = id < 'x' ? "slow" : "fast";
    sidecar.ChangeUpstream(info);
  }
  int fast = 0, slow = 0;
  for (int i = 0; i < 200; ++i) {
    const std::size_t before = sidecar.sent.size();
    sidecar.Arrive(kUnsafe);
    const std::string& id = sidecar.sent[before].upstream;
    fast += id >= "x";
    slow += id >= "u" && id < "x";
    sidecar.now += 1ms;
    sidecar.EndAttempt(sidecar.sent[before], Outcome::kCancelled);  // says nothing about its latency
  }
  EXPECT_GT(fast, 2 * slow);
}

}  // namespace
}  // namespace mothrack::balancer::testing
