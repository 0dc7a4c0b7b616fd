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
  TestSidecar w;
  w.ListUpstreams(0);
  w.Arrive(kUnsafe);
  EXPECT_EQ(w.sent.size(), 0u);
  w.Advance(2s);
  EXPECT_EQ(w.rejected.size() + w.failed.size(), 1u);
}

TEST(NoRequestIsLost, UnansweredAttemptFailsAtTheClientsDeadline) {
  for (const ClassId cls : {kSafe, kUnsafe, kKeyedAll, kKeyedZone, kKeyedCell}) {
    TestSidecar w;
    w.ListUpstreams(1);
    w.Arrive(cls, 700ms);
    ASSERT_EQ(w.sent.size(), 1u);
    w.Advance(699ms);
    EXPECT_TRUE(w.failed.empty());
    w.Advance(2ms);
    EXPECT_EQ(w.failed.size() + w.rejected.size(), 1u);
    EXPECT_EQ(w.sent.size(), 1u + 0u) << "nothing is sent after the end";
  }
}

TEST(NoRequestIsLost, LateOutcomesAndTimersOfAnEndedRequestAreIgnored) {
  TestSidecar w;
  w.ListUpstreams(2);
  const RequestId id = w.Arrive(kUnsafe, 500ms);
  w.Handle(ClientDisconnected{id});
  w.EndAttempt(w.sent[0], Outcome::kError, true);
  w.EndAttempt(w.sent[0], Outcome::kError, true);
  w.Handle(ClientDisconnected{id});
  w.Handle(TimerFired{999999});
  w.Handle(AttemptEnded{RequestId{424242}, AttemptId{0}, Outcome::kError, 1ms, false, {}});
  w.Advance(3s);
  EXPECT_EQ(w.sent.size(), 1u);
  EXPECT_TRUE(w.failed.empty());
  EXPECT_TRUE(w.rejected.empty());
}

TEST(NoRequestIsLost, AStreamHasNoDeadlineAndEndsOnce) {
  TestSidecar w;
  w.ListUpstreams(2);
  const RequestId id = w.Arrive(kSafe, 500ms);
  w.Handle(AnswerStarted{id, AttemptId{0}});
  w.Advance(3s);
  EXPECT_TRUE(w.failed.empty() && w.rejected.empty());
  w.EndAttempt(w.sent[0], Outcome::kServed);
  w.Advance(1s);
  EXPECT_TRUE(w.failed.empty() && w.rejected.empty());
  EXPECT_EQ(w.sent.size(), 1u);
}

TEST(NoRequestIsLost, AnAttemptCutOffByTheSidecarIsAnsweredAsFailed) {
  TestSidecar w;
  w.ListUpstreams(3);
  const RequestId id = w.Arrive(kUnsafe);
  w.now += 10ms;
  w.EndAttempt(w.sent[0], Outcome::kReset);
  ASSERT_EQ(w.failed.size(), 1u);
  EXPECT_EQ(w.failed[0], id);
}

TEST(NoEffectTwice, UnsafeIsSentAgainOnlyWhenItDidNotRun) {
  for (const Outcome o : kMayHaveRun) {
    TestSidecar w;
    w.ListUpstreams(3);
    w.Arrive(kUnsafe);
    w.EndAttempt(w.sent[0], o);
    w.Advance(3s);
    EXPECT_EQ(w.sent.size(), 1u);
    EXPECT_TRUE(w.rejected.empty());
    EXPECT_EQ(w.failed.size(), 1u);
  }
  for (const Outcome o : kDidNotRun) {
    TestSidecar w;
    w.ListUpstreams(3);
    w.Arrive(kUnsafe);
    w.EndAttempt(w.sent[0], o);
    ASSERT_EQ(w.sent.size(), 2u);
    EXPECT_NE(w.sent[0].upstream, w.sent[1].upstream) << "never the same again while another stands";
  }
}

TEST(NoEffectTwice, KeyedStaysInsideItsKeyScope) {
  for (const bool by_zone : {true, false}) {
    TestSidecar w;
    UpstreamInfo a = MakeUpstream("a"), b = MakeUpstream("b"), c = MakeUpstream("c");
    a.zone = b.zone = "x";
    c.zone = "y";
    a.cell = b.cell = 1;
    c.cell = 2;
    w.ReplaceList({a, b, c});
    std::set<std::string> seen;
    for (int i = 0; i < 30; ++i) {
      for (int k = 0; k < 20 + i % 3; ++k) w.Serve();  // earns retry budget, at varying turns
      const std::size_t before = w.sent.size();
      w.Arrive(by_zone ? kKeyedZone : kKeyedCell);
      const SentAttempt first = w.sent[before];
      w.now += 1ms;
      w.EndAttempt(first, Outcome::kCancelled);
      if (first.upstream == "c") {
        for (std::size_t k = before; k < w.sent.size(); ++k) EXPECT_EQ(w.sent[k].upstream, "c");
      } else {
        ASSERT_GT(w.sent.size(), before + 1);
        EXPECT_NE(w.sent[before + 1].upstream, "c");
      }
      w.EndAttempts(before + 1);
      seen.insert(first.upstream);
      w.Advance(3s);
    }
    EXPECT_EQ(seen.size(), 3u);
    EXPECT_TRUE(w.rejected.empty()) << "outside group all, a refusal could be untrue";
  }
}

TEST(NoEffectTwice, KeyedIsNotRepeatedOnceTheWindowMayHavePassed) {
  Settings s = DefaultSettings();
  s.classes[2].key_window = 300ms;
  TestSidecar w(s);
  w.ListUpstreams(3);
  w.Arrive(kKeyedAll);
  w.now += 350ms;
  w.EndAttempt(w.sent[0], Outcome::kError);
  EXPECT_EQ(w.sent.size(), 1u);
}

TEST(NoEffectTwice, NoHedgesWhereTheDeploymentForbidsThem) {
  Settings s = DefaultSettings();
  s.limits.hedging = false;
  TestSidecar w(s);
  w.ListUpstreams(4);
  for (int i = 0; i < 50; ++i) w.Serve();
  const std::size_t before = w.sent.size();
  w.Arrive(kSafe);
  w.Advance(399ms);
  EXPECT_EQ(w.sent.size(), before + 1);
}

TEST(DrainingUpstream, GetsNoAttemptsOnceDrainIsAnnounced) {
  for (const UpstreamState state : {UpstreamState::kDraining, UpstreamState::kGone}) {
    TestSidecar w;
    w.ListUpstreams(3);
    w.ChangeUpstream(MakeUpstream("b", state));
    EXPECT_EQ(w.CountServed(30)["b"], 0);
  }
}

TEST(DrainingUpstream, MissingFromAFullListIsRemoved) {
  TestSidecar w;
  w.ListUpstreams(3);
  w.ReplaceList({MakeUpstream("a"), MakeUpstream("c")});
  EXPECT_EQ(w.CountServed(30)["b"], 0);
  w.ReplaceList({MakeUpstream("a"), MakeUpstream("b"), MakeUpstream("c")});
  EXPECT_GT(w.CountServed(30)["b"], 0);
}

TEST(DrainingUpstream, GetsNoRetriesEither) {
  TestSidecar w;
  w.ListUpstreams(2);
  w.Arrive(kSafe);
  const std::string other = w.sent[0].upstream == "a" ? "b" : "a";
  w.ChangeUpstream(MakeUpstream(other, UpstreamState::kDraining));
  w.EndAttempt(w.sent[0], Outcome::kFull);
  for (const SentAttempt& s : w.sent) EXPECT_NE(s.upstream, other);
}

TEST(WarmingUpstream, GetsLessThanItsShareAtFirstAndItsShareInTheEnd) {
  TestSidecar w;
  w.ListUpstreams(4);
  for (int i = 0; i < 2000; ++i) {
    w.Serve();
    w.Advance(10ms);
  }
  UpstreamInfo warming_up = MakeUpstream("cold");
  warming_up.started = w.now;
  w.ChangeUpstream(warming_up);
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
  TestSidecar w;
  w.ListUpstreams(4);
  for (int i = 0; i < 2000; ++i) {  // about 50 a second: 12.5 for each upstream
    w.Serve();
    w.Advance(10ms);
  }
  UpstreamInfo warming_up = MakeUpstream("cold");
  warming_up.started = w.now;
  w.ReplaceList({warming_up});
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
  TestSidecar w;
  UpstreamInfo warming_up = MakeUpstream("cold");
  warming_up.started = w.now - 1s;
  MembershipUpdate update;
  update.kind = MembershipUpdate::Kind::kRestored;
  update.upstreams = {warming_up};
  w.Handle(update);
  for (int i = 0; i < 50; ++i) w.Arrive(kSafe, 100ms);
  EXPECT_LE(w.sent.size(), 1u);
}

}  // namespace
}  // namespace mothrack::balancer::testing
