// The four rules: no request is lost, no effect happens twice, draining upstreams get nothing new, warming
// upstreams are not overloaded.
#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <string>

#include "balancer/helpers.h"

namespace mothrack::balancer::testing {
namespace {

const Outcome kMayHaveRun[] = {Outcome::kError, Outcome::kTimeout, Outcome::kReset, Outcome::kCancelled};
const Outcome kDidNotRun[] = {Outcome::kFull, Outcome::kConnectFailed, Outcome::kNotSent};

TEST(NoRequestIsLost, EmptyListRejects) {
  World w;
  w.List(0);
  w.Arrive(kUnsafe);
  EXPECT_EQ(w.sent.size(), 0u);
  w.Advance(2s);
  EXPECT_EQ(w.refused.size() + w.failed.size(), 1u);
}

TEST(NoRequestIsLost, UnansweredAttemptFailsAtTheClientsDeadline) {
  for (const ClassId cls : {kSafe, kUnsafe, kKeyedAll, kKeyedZone, kKeyedCell}) {
    World w;
    w.List(1);
    w.Arrive(cls, 700ms);
    ASSERT_EQ(w.sent.size(), 1u);
    w.Advance(699ms);
    EXPECT_TRUE(w.failed.empty());
    w.Advance(2ms);
    EXPECT_EQ(w.failed.size() + w.refused.size(), 1u);
    EXPECT_EQ(w.sent.size(), 1u + 0u) << "nothing is sent after the end";
  }
}

TEST(NoRequestIsLost, LateOutcomesAndTimersOfAnEndedRequestAreIgnored) {
  World w;
  w.List(2);
  const RequestId id = w.Arrive(kUnsafe, 500ms);
  w.Do(ClientDisconnected{id});
  w.Finish(w.sent[0], Outcome::kError, true);
  w.Finish(w.sent[0], Outcome::kError, true);
  w.Do(ClientDisconnected{id});
  w.Do(TimerFired{999999});
  w.Do(AttemptEnded{RequestId{424242}, AttemptId{0}, Outcome::kError, 1ms, false, {}});
  w.Advance(3s);
  EXPECT_EQ(w.sent.size(), 1u);
  EXPECT_TRUE(w.failed.empty());
  EXPECT_TRUE(w.refused.empty());
}

TEST(NoRequestIsLost, AStreamHasNoDeadlineAndEndsOnce) {
  World w;
  w.List(2);
  const RequestId id = w.Arrive(kSafe, 500ms);
  w.Do(AnswerStarted{id, AttemptId{0}});
  w.Advance(3s);
  EXPECT_TRUE(w.failed.empty() && w.refused.empty());
  w.Finish(w.sent[0], Outcome::kServed);
  w.Advance(1s);
  EXPECT_TRUE(w.failed.empty() && w.refused.empty());
  EXPECT_EQ(w.sent.size(), 1u);
}

TEST(NoRequestIsLost, AnAttemptCutOffByTheSidecarIsAnsweredAsFailed) {
  World w;
  w.List(3);
  const RequestId id = w.Arrive(kUnsafe);
  w.now += 10ms;
  w.Finish(w.sent[0], Outcome::kReset);
  ASSERT_EQ(w.failed.size(), 1u);
  EXPECT_EQ(w.failed[0], id);
}

TEST(NoEffectTwice, UnsafeIsSentAgainOnlyWhenItDidNotRun) {
  for (const Outcome o : kMayHaveRun) {
    World w;
    w.List(3);
    w.Arrive(kUnsafe);
    w.Finish(w.sent[0], o);
    w.Advance(3s);
    EXPECT_EQ(w.sent.size(), 1u);
    EXPECT_TRUE(w.refused.empty());
    EXPECT_EQ(w.failed.size(), 1u);
  }
  for (const Outcome o : kDidNotRun) {
    World w;
    w.List(3);
    w.Arrive(kUnsafe);
    w.Finish(w.sent[0], o);
    ASSERT_EQ(w.sent.size(), 2u);
    EXPECT_NE(w.sent[0].upstream, w.sent[1].upstream) << "never the same again while another stands";
  }
}

TEST(NoEffectTwice, KeyedStaysInsideItsKeyScope) {
  for (const bool by_zone : {true, false}) {
    World w;
    UpstreamInfo a = Up("a"), b = Up("b"), c = Up("c");
    a.zone = b.zone = "x";
    c.zone = "y";
    a.cell = b.cell = 1;
    c.cell = 2;
    w.Full({a, b, c});
    std::set<std::string> seen;
    for (int i = 0; i < 30; ++i) {
      for (int k = 0; k < 20 + i % 3; ++k) w.Serve();  // earns retry budget, at varying turns
      const std::size_t before = w.sent.size();
      w.Arrive(by_zone ? kKeyedZone : kKeyedCell);
      const Sent first = w.sent[before];
      w.now += 1ms;
      w.Finish(first, Outcome::kCancelled);
      if (first.upstream == "c") {
        for (std::size_t k = before; k < w.sent.size(); ++k) EXPECT_EQ(w.sent[k].upstream, "c");
      } else {
        ASSERT_GT(w.sent.size(), before + 1);
        EXPECT_NE(w.sent[before + 1].upstream, "c");
      }
      w.Answer(before + 1);
      seen.insert(first.upstream);
      w.Advance(3s);
    }
    EXPECT_EQ(seen.size(), 3u);
    EXPECT_TRUE(w.refused.empty()) << "outside group all, a refusal could be untrue";
  }
}

TEST(NoEffectTwice, KeyedIsNotRepeatedOnceTheWindowMayHavePassed) {
  Settings s = DefaultSettings();
  s.classes[2].key_window = 300ms;
  World w(s);
  w.List(3);
  w.Arrive(kKeyedAll);
  w.now += 350ms;
  w.Finish(w.sent[0], Outcome::kError);
  EXPECT_EQ(w.sent.size(), 1u);
}

TEST(NoEffectTwice, NoHedgesWhereTheDeploymentForbidsThem) {
  Settings s = DefaultSettings();
  s.limits.hedging = false;
  World w(s);
  w.List(4);
  for (int i = 0; i < 50; ++i) w.Serve();
  const std::size_t before = w.sent.size();
  w.Arrive(kSafe);
  w.Advance(399ms);
  EXPECT_EQ(w.sent.size(), before + 1);
}

TEST(DrainingUpstream, GetsNoAttemptsOnceDrainIsAnnounced) {
  for (const UpstreamState state : {UpstreamState::kDraining, UpstreamState::kGone}) {
    World w;
    w.List(3);
    w.Change(Up("b", state));
    EXPECT_EQ(w.Spread(30)["b"], 0);
  }
}

TEST(DrainingUpstream, MissingFromAFullListIsRemoved) {
  World w;
  w.List(3);
  w.Full({Up("a"), Up("c")});
  EXPECT_EQ(w.Spread(30)["b"], 0);
  w.Full({Up("a"), Up("b"), Up("c")});
  EXPECT_GT(w.Spread(30)["b"], 0);
}

TEST(DrainingUpstream, GetsNoRetriesEither) {
  World w;
  w.List(2);
  w.Arrive(kSafe);
  const std::string other = w.sent[0].upstream == "a" ? "b" : "a";
  w.Change(Up(other, UpstreamState::kDraining));
  w.Finish(w.sent[0], Outcome::kFull);
  for (const Sent& s : w.sent) EXPECT_NE(s.upstream, other);
}

TEST(WarmingUpstream, GetsLessThanItsShareAtFirstAndItsShareInTheEnd) {
  World w;
  w.List(4);
  for (int i = 0; i < 2000; ++i) {
    w.Serve();
    w.Advance(10ms);
  }
  UpstreamInfo warming_up = Up("cold");
  warming_up.started = w.now;
  w.Change(warming_up);
  std::map<std::string, int> spread;
  for (int i = 0; i < 100; ++i) {
    ++spread[w.Serve()];
    w.Advance(10ms);
  }
  EXPECT_LE(spread["cold"], 8);
  w.Advance(25s);
  spread.clear();
  for (int i = 0; i < 100; ++i) {
    ++spread[w.Serve()];
    w.Advance(10ms);
  }
  EXPECT_GE(spread["cold"], 15);
}

TEST(WarmingUpstream, BudgetHoldsWhenAllOthersAreRemoved) {
  World w;
  w.List(4);
  for (int i = 0; i < 2000; ++i) {  // about 50 a second: 12.5 for each upstream
    w.Serve();
    w.Advance(10ms);
  }
  UpstreamInfo warming_up = Up("cold");
  warming_up.started = w.now;
  w.Full({warming_up});
  const std::size_t before = w.sent.size();
  const TimePoint start = w.now;
  while (w.now < start + 1s) {
    w.Serve();
    w.Advance(10ms);
  }
  // Its capacity is 10% of a warm one's load and twice that overloads it: at most 2 x 0.1 x 12.5 in the
  // second.
  EXPECT_LE(w.sent.size() - before, 3u);
}

TEST(WarmingUpstream, IsNotOverloadedByARestartedSidecar) {
  World w;
  UpstreamInfo warming_up = Up("cold");
  warming_up.started = w.now - 1s;
  MembershipUpdate update;
  update.kind = MembershipUpdate::Kind::kRestored;
  update.upstreams = {warming_up};
  w.Do(update);
  for (int i = 0; i < 50; ++i) w.Arrive(kSafe, 100ms);
  EXPECT_LE(w.sent.size(), 1u);
}

}  // namespace
}  // namespace mothrack::balancer::testing
