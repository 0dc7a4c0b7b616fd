// Attempts of one request: while it arrives, while its answer streams, hedges and retries.
#include <chrono>
#include <cstddef>
#include <utility>
#include <vector>

#include "balancer/helpers.h"

namespace mothrack::balancer::testing {
namespace {

TEST(ArrivingRequest, CountsNoLatencyBeforeItIsComplete) {
  TestSidecar w;
  w.ListUpstreams(3);
  w.CountServed(60);
  RequestArrived e;
  e.request = RequestId{1000000};
  e.request_class = kUnsafe;
  e.deadline = w.now + 2s;
  e.arriving = true;
  const std::size_t before = w.sent.size();
  w.Handle(e);
  ASSERT_EQ(w.sent.size(), before + 1);
  const SentAttempt call = w.sent[before];
  EXPECT_EQ(call.timeout, Duration(2s));
  // No latency is counted yet: its upstream keeps its share and the request is not given up.
  const auto spread = w.CountServed(60);
  EXPECT_GT(spread.at(call.upstream), 10);
  w.Advance(30s);
  EXPECT_GT(w.CountServed(60)[call.upstream], 10);
  EXPECT_TRUE(w.failed.empty() && w.rejected.empty());
  w.Handle(RequestComplete{e.request, w.now + 2s});
  w.Advance(1900ms);
  EXPECT_TRUE(w.failed.empty());
  w.Advance(200ms);
  EXPECT_EQ(w.failed.size(), 1U);  // unsafe, and it may have run
}

TEST(ArrivingRequest, IsRetriedElsewhereWhenNothingRan) {
  TestSidecar w;
  w.ListUpstreams(2);
  RequestArrived e;
  e.request = RequestId{1000000};
  e.request_class = kUnsafe;
  e.deadline = w.now + 2s;
  e.arriving = true;
  w.Handle(e);
  ASSERT_EQ(w.sent.size(), 1U);
  w.Advance(5s);
  w.EndAttempt(w.sent[0], Outcome::kFull);
  ASSERT_EQ(w.sent.size(), 2U);
  EXPECT_NE(w.sent[1].upstream, w.sent[0].upstream);
  // Its body is no longer buffered: further attempts prove that nothing has run.
  for (std::size_t i = 1; i < w.sent.size(); ++i) w.EndAttempt(w.sent[i], Outcome::kNotSent);
  EXPECT_EQ(w.rejected.size(), 1U);
  EXPECT_TRUE(w.failed.empty());
}

TEST(StartedAnswer, IsNotCountedInFlightAtItsUpstream) {
  TestSidecar w;
  w.ListUpstreams(3);
  w.CountServed(60);
  const std::size_t before = w.sent.size();
  w.Arrive(kSafe);
  const SentAttempt call = w.sent[before];
  w.now += 10ms;
  w.Handle(AnswerStarted{call.request, call.attempt});
  w.Advance(30s);  // the body still comes
  EXPECT_GT(w.CountServed(60)[call.upstream], 10);
  const std::size_t sent = w.sent.size();
  w.EndAttempt(call, Outcome::kReset, true);
  EXPECT_EQ(w.sent.size(), sent);  // the client has some of it
}

TEST(StartedAnswer, SurvivesTheCancelledHedges) {
  Settings settings = DefaultSettings();
  settings.limits.hedging = true;
  TestSidecar w(settings);
  w.ListUpstreams(3);
  w.CountServed(60);
  const std::size_t before = w.sent.size();
  const RequestId id = w.Arrive(kSafe);
  w.Advance(300ms);
  ASSERT_GE(w.sent.size(), before + 2);
  const SentAttempt first = w.sent[before];
  const SentAttempt hedge = w.sent[before + 1];
  w.Handle(AnswerStarted{id, hedge.attempt});
  const std::vector<std::pair<RequestId, AttemptId>> called_off = {{id, first.attempt}};
  EXPECT_EQ(w.cancelled, called_off);
  w.EndAttempt(first, Outcome::kCancelled, true);
  EXPECT_EQ(w.cancelled, called_off);
  // Its client disconnects: the remaining attempt is cancelled.
  w.Handle(ClientDisconnected{id});
  EXPECT_EQ(w.cancelled.size(), 2U);
}

TEST(LateRequest, IsHedgedToAnotherUpstream) {
  TestSidecar w;
  w.ListUpstreams(4);
  w.CountServed(100);
  const std::size_t before = w.sent.size();
  w.Arrive(kSafe);
  w.Advance(100ms);
  ASSERT_EQ(w.sent.size(), before + 2);
  EXPECT_NE(w.sent[before].upstream, w.sent[before + 1].upstream);
  w.EndAttempt(w.sent[before + 1], Outcome::kServed);
  EXPECT_EQ(w.cancelled.back().second, AttemptId{0}) << "the loser is called off";
}

TEST(RetryBudget, BoundsFurtherAttempts) {
  TestSidecar w;
  w.ListUpstreams(4);
  for (int i = 0; i < 500; ++i) {
    const std::size_t before = w.sent.size();
    w.Arrive(kSafe);
    w.now += 10ms;
    for (std::size_t k = before; k < w.sent.size(); ++k) w.EndAttempt(w.sent[k], Outcome::kError);
  }
  EXPECT_LE(w.sent.size(), 500u + 150u + 10u + 50u) << "first tries, three tenths, the burst, and trials";
}

}  // namespace
}  // namespace mothrack::balancer::testing
