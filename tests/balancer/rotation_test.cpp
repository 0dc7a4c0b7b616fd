// How requests are spread: by weight, latency, success rate and state of the upstreams.
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
  TestSidecar w;
  w.ListUpstreams(4);
  for (const auto& [id, calls] : w.CountServed(400)) EXPECT_NEAR(calls, 100, 3) << id;
}

TEST(Rotation, TurnsFollowTheWeightsSmoothly) {
  TestSidecar w;
  UpstreamInfo heavy = MakeUpstream("heavy");
  heavy.weight = 3;
  w.ReplaceList({heavy, MakeUpstream("a")});
  int in_a_row = 0, most = 0, calls = 0;
  for (int i = 0; i < 400; ++i) {
    const bool hit = w.Serve() == "heavy";
    calls += hit;
    in_a_row = hit ? in_a_row + 1 : 0;
    most = std::max(most, in_a_row);
  }
  EXPECT_NEAR(calls, 300, 6);
  EXPECT_LE(most, 4);
}

TEST(Rotation, ANewUpstreamStartsWithoutCredit) {
  TestSidecar w;
  w.ListUpstreams(4);
  w.CountServed(200);
  w.ChangeUpstream(MakeUpstream("z"));
  int in_a_row = 0;
  for (int i = 0; i < 20; ++i) {
    in_a_row = w.Serve() == "z" ? in_a_row + 1 : 0;
    EXPECT_LE(in_a_row, 1);
  }
}

TEST(UnresponsiveUpstream, IsAvoidedBeforeFiveTimeouts) {
  TestSidecar w;
  w.ListUpstreams(4);
  w.CountServed(100);  // about 10 ms each
  for (int i = 0; i < 40; ++i) {
    const std::size_t before = w.sent.size();
    w.Arrive(kUnsafe);
    w.now += 10ms;
    for (std::size_t k = before; k < w.sent.size(); ++k) {
      if (w.sent[k].upstream != "c") w.EndAttempt(w.sent[k], Outcome::kServed);
    }
  }
  int unresponsive = 0;
  for (std::size_t k = w.sent.size() - 40; k < w.sent.size(); ++k) unresponsive += w.sent[k].upstream == "c";
  EXPECT_LE(unresponsive, 2);
  EXPECT_FALSE(w.HasLogged("ejected"));
}

TEST(SlowUpstream, GetsFewerRequests) {
  TestSidecar w;
  w.ListUpstreams(4);
  std::map<std::string, int> spread;
  for (int i = 0; i < 600; ++i) {
    const std::size_t before = w.sent.size();
    w.Arrive(kUnsafe);
    const SentAttempt call = w.sent[before];
    w.now += call.upstream == "d" ? 40ms : 10ms;
    w.EndAttempt(call, Outcome::kServed);
    if (i >= 200) ++spread[call.upstream];
  }
  EXPECT_LT(spread["d"], spread["a"] * 2 / 3);
  EXPECT_GT(spread["d"], 0);
}

// Half of its requests are never answered, the others fast: it has headroom, and the others cannot serve its
// whole share.
TEST(UnreliableUpstream, KeepsAShareByItsSuccessRate) {
  TestSidecar w;
  w.ListUpstreams(4);
  int at_b = 0;
  for (int i = 0; i < 400; ++i) {
    const std::size_t before = w.sent.size();
    w.Arrive(kUnsafe);
    w.now += 10ms;
    ASSERT_EQ(w.sent.size(), before + 1);
    const bool b = w.sent[before].upstream == "b";
    w.EndAttempt(w.sent[before], b && ++at_b % 2 == 0 ? Outcome::kTimeout : Outcome::kServed);
  }
  EXPECT_GT(at_b, 400 / 12);
  EXPECT_LT(at_b, 400 / 5);
  EXPECT_FALSE(w.HasLogged("refusing"));
}

TEST(FullUpstream, IsAvoidedBriefly) {
  TestSidecar w;
  w.ListUpstreams(3);
  w.CountServed(30);
  const std::size_t before = w.sent.size();
  w.Arrive(kUnsafe);
  const std::string full = w.sent[before].upstream;
  w.EndAttempt(w.sent[before], Outcome::kFull);
  w.EndAttempts(before + 1);
  for (int i = 0; i < 6; ++i) {
    w.Arrive(kUnsafe);
    EXPECT_NE(w.sent.back().upstream, full);
  }
}

TEST(HeterogeneousUpstreams, RegisteredWeightsAreNotCountedTwice) {
  TestSidecar w;
  std::vector<UpstreamInfo> list;
  for (const char id : {'a', 'b', 'c', 'd'}) {
    list.push_back(MakeUpstream(std::string(1, id)));
    list.back().kind = id < 'c' ? "slow" : "fast";
    list.back().weight = id < 'c' ? 1 : 2;
  }
  w.ReplaceList(list);
  std::map<std::string, int> calls;
  for (int i = 0; i < 600; ++i) {
    const std::size_t before = w.sent.size();
    w.Arrive(kUnsafe);
    const bool slow = w.sent[before].upstream < "c";
    if (i >= 200) ++calls[slow ? "slow" : "fast"];
    w.now += slow ? 40ms : 20ms;
    w.EndAttempt(w.sent[before], Outcome::kServed);
  }
  EXPECT_NEAR(calls["fast"], 2 * calls["slow"], 60) << "as their sizes say, though one answers twice as fast";
}

TEST(HeterogeneousUpstreams, ANewUpstreamStartsWithTheLatencyOfItsKind) {
  TestSidecar w;
  std::vector<UpstreamInfo> list;
  for (const char id : {'a', 'b', 'c', 'd', 'e', 'f'}) {
    list.push_back(MakeUpstream(std::string(1, id)));
    list.back().kind = id < 'd' ? "slow" : "fast";
  }
  w.ReplaceList(list);
  const auto serve = [&w] {
    const std::size_t before = w.sent.size();
    w.Arrive(kUnsafe);
    const bool slow = w.sent[before].upstream < "d";
    w.now += slow ? 60ms : 20ms;
    w.EndAttempt(w.sent[before], Outcome::kServed);
  };
  for (int i = 0; i < 60; ++i) serve();
  // Six more, three of each kind; none has answered yet.
  for (const char id : {'u', 'v', 'w', 'x', 'y', 'z'}) {
    UpstreamInfo info = MakeUpstream(std::string(1, id));
    info.kind = id < 'x' ? "slow" : "fast";
    w.ChangeUpstream(info);
  }
  int fast = 0, slow = 0;
  for (int i = 0; i < 200; ++i) {
    const std::size_t before = w.sent.size();
    w.Arrive(kUnsafe);
    const std::string& id = w.sent[before].upstream;
    fast += id >= "x";
    slow += id >= "u" && id < "x";
    w.now += 1ms;
    w.EndAttempt(w.sent[before], Outcome::kCancelled);  // teaches nothing
  }
  EXPECT_GT(fast, 2 * slow);
}

}  // namespace
}  // namespace mothrack::balancer::testing
