// The four rules: no request is lost, no effect happens twice, draining upstreams get no new attempts, and
// upstreams in slow start are not overloaded.
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
  TestSidecar sidecar;
  sidecar.ListUpstreams(0);
  sidecar.Arrive(kUnsafe);
  EXPECT_EQ(sidecar.sent.size(), 0u);
  sidecar.Advance(2s);
  EXPECT_EQ(sidecar.rejected.size() + sidecar.failed.size(), 1u);
}

TEST(NoRequestIsLost, UnansweredAttemptFailsAtTheClientsDeadline) {
  for (const ClassId request_class : {kSafe, kUnsafe, kKeyedAll, kKeyedZone, kKeyedCell}) {
    TestSidecar sidecar;
    sidecar.ListUpstreams(1);
    sidecar.Arrive(request_class, 700ms);
    ASSERT_EQ(sidecar.sent.size(), 1u);
    sidecar.Advance(699ms);
    EXPECT_TRUE(sidecar.failed.empty());
    sidecar.Advance(2ms);
    EXPECT_EQ(sidecar.failed.size() + sidecar.rejected.size(), 1u);
    EXPECT_EQ(sidecar.sent.size(), 1u + 0u) << "nothing may be sent after the final answer";
  }
}

TEST(NoRequestIsLost, LateOutcomesAndTimersOfAnEndedRequestAreIgnored) {
  TestSidecar sidecar;
  sidecar.ListUpstreams(2);
  const RequestId id = sidecar.Arrive(kUnsafe, 500ms);
  sidecar.Handle(ClientDisconnected{id});
  sidecar.EndAttempt(sidecar.sent[0], Outcome::kError, true);
  sidecar.EndAttempt(sidecar.sent[0], Outcome::kError, true);
  sidecar.Handle(ClientDisconnected{id});
  sidecar.Handle(TimerFired{999999});
  sidecar.Handle(AttemptEnded{RequestId{424242}, AttemptId{0}, Outcome::kError, 1ms, false, {}});
  sidecar.Advance(3s);
  EXPECT_EQ(sidecar.sent.size(), 1u);
  EXPECT_TRUE(sidecar.failed.empty());
  EXPECT_TRUE(sidecar.rejected.empty());
}

TEST(NoRequestIsLost, AStreamHasNoDeadlineAndEndsOnce) {
  TestSidecar sidecar;
  sidecar.ListUpstreams(2);
  const RequestId id = sidecar.Arrive(kSafe, 500ms);
  sidecar.Handle(AnswerStarted{id, AttemptId{0}});
  sidecar.Advance(3s);
  EXPECT_TRUE(sidecar.failed.empty() && sidecar.rejected.empty());
  sidecar.EndAttempt(sidecar.sent[0], Outcome::kServed);
  sidecar.Advance(1s);
  EXPECT_TRUE(sidecar.failed.empty() && sidecar.rejected.empty());
  EXPECT_EQ(sidecar.sent.size(), 1u);
}

TEST(NoRequestIsLost, AnAttemptCutOffByTheSidecarIsAnsweredAsFailed) {
  TestSidecar sidecar;
  sidecar.ListUpstreams(3);
  const RequestId id = sidecar.Arrive(kUnsafe);
  sidecar.now += 10ms;
  sidecar.EndAttempt(sidecar.sent[0], Outcome::kReset);
  ASSERT_EQ(sidecar.failed.size(), 1u);
  EXPECT_EQ(sidecar.failed[0], id);
}

TEST(NoEffectTwice, UnsafeIsSentAgainOnlyWhenItDidNotRun) {
  for (const Outcome outcome : kMayHaveRun) {
    TestSidecar sidecar;
    sidecar.ListUpstreams(3);
    sidecar.Arrive(kUnsafe);
    sidecar.EndAttempt(sidecar.sent[0], outcome);
    sidecar.Advance(3s);
    EXPECT_EQ(sidecar.sent.size(), 1u);
    EXPECT_TRUE(sidecar.rejected.empty());
    EXPECT_EQ(sidecar.failed.size(), 1u);
  }
  for (const Outcome outcome : kDidNotRun) {
    TestSidecar sidecar;
    sidecar.ListUpstreams(3);
    sidecar.Arrive(kUnsafe);
    sidecar.EndAttempt(sidecar.sent[0], outcome);
    ASSERT_EQ(sidecar.sent.size(), 2u);
    EXPECT_NE(sidecar.sent[0].upstream, sidecar.sent[1].upstream)
        << "must not be sent to the same upstream again while another one is usable";
  }
}

TEST(NoEffectTwice, KeyedStaysInsideItsKeyScope) {
  for (const bool by_zone : {true, false}) {
    TestSidecar sidecar;
    UpstreamInfo a = MakeUpstream("a"), b = MakeUpstream("b"), c = MakeUpstream("c");
    a.zone = b.zone = "x";
    c.zone = "y";
    a.cell = b.cell = 1;
    c.cell = 2;
    sidecar.ReplaceList({a, b, c});
    std::set<std::string> seen;
    for (int i = 0; i < 30; ++i) {
      for (int k = 0; k < 20 + i % 3; ++k) sidecar.Serve();  // fills the retry budget and varies the rotation
      const std::size_t before = sidecar.sent.size();
      sidecar.Arrive(by_zone ? kKeyedZone : kKeyedCell);
      const SentAttempt first = sidecar.sent[before];
      sidecar.now += 1ms;
      sidecar.EndAttempt(first, Outcome::kCancelled);
      if (first.upstream == "c") {
        for (std::size_t k = before; k < sidecar.sent.size(); ++k) EXPECT_EQ(sidecar.sent[k].upstream, "c");
      } else {
        ASSERT_GT(sidecar.sent.size(), before + 1);
        EXPECT_NE(sidecar.sent[before + 1].upstream, "c");
      }
      sidecar.EndAttempts(before + 1);
      seen.insert(first.upstream);
      sidecar.Advance(3s);
    }
    EXPECT_EQ(seen.size(), 3u);
    EXPECT_TRUE(sidecar.rejected.empty())
        << "a request that may have had an effect must not be rejected unless all upstreams share its key";
  }
}

TEST(NoEffectTwice, KeyedIsNotRepeatedOnceTheWindowMayHavePassed) {
  Settings settings = DefaultSettings();
  settings.classes[2].key_window = 300ms;
  TestSidecar sidecar(settings);
  sidecar.ListUpstreams(3);
  sidecar.Arrive(kKeyedAll);
  sidecar.now += 350ms;
  sidecar.EndAttempt(sidecar.sent[0], Outcome::kError);
  EXPECT_EQ(sidecar.sent.size(), 1u);
}

TEST(NoEffectTwice, NoHedgesWhereTheDeploymentForbidsThem) {
  Settings settings = DefaultSettings();
  settings.limits.hedging = false;
  TestSidecar sidecar(settings);
  sidecar.ListUpstreams(4);
  for (int i = 0; i < 50; ++i) sidecar.Serve();
  const std::size_t before = sidecar.sent.size();
  sidecar.Arrive(kSafe);
  sidecar.Advance(399ms);
  EXPECT_EQ(sidecar.sent.size(), before + 1);
}

TEST(DrainingUpstream, GetsNoAttemptsOnceDrainIsAnnounced) {
  for (const UpstreamState state : {UpstreamState::kDraining, UpstreamState::kGone}) {
    TestSidecar sidecar;
    sidecar.ListUpstreams(3);
    sidecar.ChangeUpstream(MakeUpstream("b", state));
    EXPECT_EQ(sidecar.CountServed(30)["b"], 0);
  }
}

TEST(DrainingUpstream, MissingFromAFullListIsRemoved) {
  TestSidecar sidecar;
  sidecar.ListUpstreams(3);
  sidecar.ReplaceList({MakeUpstream("a"), MakeUpstream("c")});
  EXPECT_EQ(sidecar.CountServed(30)["b"], 0);
  sidecar.ReplaceList({MakeUpstream("a"), MakeUpstream("b"), MakeUpstream("c")});
  EXPECT_GT(sidecar.CountServed(30)["b"], 0);
}

TEST(DrainingUpstream, GetsNoRetriesEither) {
  TestSidecar sidecar;
  sidecar.ListUpstreams(2);
  sidecar.Arrive(kSafe);
  const std::string other = sidecar.sent[0].upstream == "a" ? "b" : "a";
  sidecar.ChangeUpstream(MakeUpstream(other, UpstreamState::kDraining));
  sidecar.EndAttempt(sidecar.sent[0], Outcome::kFull);
  for (const SentAttempt& sent : sidecar.sent) EXPECT_NE(sent.upstream, other);
}

TEST(UpstreamInSlowStart, GetsLessThanItsShareAtFirstAndItsShareInTheEnd) {
  TestSidecar sidecar;
  sidecar.ListUpstreams(4);
  for (int i = 0; i < 2000; ++i) {
    sidecar.Serve();
    sidecar.Advance(10ms);
  }
  UpstreamInfo in_slow_start = MakeUpstream("cold");
  in_slow_start.started = sidecar.now;
  sidecar.ChangeUpstream(in_slow_start);
  std::map<std::string, int> spread;
  for (int i = 0; i < 100; ++i) {
    ++spread[sidecar.Serve()];
    sidecar.Advance(10ms);
  }
  EXPECT_LE(spread["cold"], 8);
  sidecar.Advance(25s);
  spread.clear();
  for (int i = 0; i < 100; ++i) {
    ++spread[sidecar.Serve()];
    sidecar.Advance(10ms);
  }
  EXPECT_GE(spread["cold"], 15);
}

TEST(UpstreamInSlowStart, BudgetHoldsWhenAllOthersAreRemoved) {
  TestSidecar sidecar;
  sidecar.ListUpstreams(4);
  for (int i = 0; i < 2000; ++i) {  // about 50 a second: 12.5 for each upstream
    sidecar.Serve();
    sidecar.Advance(10ms);
  }
  UpstreamInfo in_slow_start = MakeUpstream("cold");
  in_slow_start.started = sidecar.now;
  sidecar.ReplaceList({in_slow_start});
  const std::size_t before = sidecar.sent.size();
  const TimePoint start = sidecar.now;
  while (sidecar.now < start + 1s) {
    sidecar.Serve();
    sidecar.Advance(10ms);
  }
  // Its capacity is 10% of the load of an upstream past slow start, and twice that overloads it: at most
  // 2 x 0.1 x 12.5 requests in the second.
  EXPECT_LE(sidecar.sent.size() - before, 3u);
}

TEST(UpstreamInSlowStart, IsNotOverloadedByARestartedSidecar) {
  TestSidecar sidecar;
  UpstreamInfo in_slow_start = MakeUpstream("cold");
  in_slow_start.started = sidecar.now - 1s;
  MembershipUpdate update;
  update.kind = MembershipUpdate::Kind::kRestored;
  update.upstreams = {in_slow_start};
  sidecar.Handle(update);
  for (int i = 0; i < 50; ++i) sidecar.Arrive(kSafe, 100ms);
  EXPECT_LE(sidecar.sent.size(), 1u);
}

}  // namespace
}  // namespace mothrack::balancer::testing
