// Attempts of one request: while it arrives, while its answer streams, hedges and retries.
#include <chrono>
#include <cstddef>
#include <utility>
#include <vector>

#include "balancer/helpers.h"

namespace mothrack::balancer::testing {
namespace {

TEST(ArrivingRequest, CountsNoLatencyBeforeItIsComplete) {
  TestSidecar sidecar;
  sidecar.ListUpstreams(3);
  sidecar.CountServed(60);
  RequestArrived arrival;
  arrival.request = RequestId{1000000};
  arrival.request_class = kUnsafe;
  arrival.deadline = sidecar.now + 2s;
  arrival.arriving = true;
  const std::size_t before = sidecar.sent.size();
  sidecar.Handle(arrival);
  ASSERT_EQ(sidecar.sent.size(), before + 1);
  const SentAttempt attempt = sidecar.sent[before];
  EXPECT_EQ(attempt.timeout, Duration(2s));
  // The time until its body is complete does not count as latency: its upstream keeps its share of requests,
  // and the request gets no final answer.
  const auto spread = sidecar.CountServed(60);
  EXPECT_GT(spread.at(attempt.upstream), 10);
  sidecar.Advance(30s);
  EXPECT_GT(sidecar.CountServed(60)[attempt.upstream], 10);
  EXPECT_TRUE(sidecar.failed.empty() && sidecar.rejected.empty());
  sidecar.Handle(RequestComplete{arrival.request, sidecar.now + 2s});
  sidecar.Advance(1900ms);
  EXPECT_TRUE(sidecar.failed.empty());
  sidecar.Advance(200ms);
  EXPECT_EQ(sidecar.failed.size(), 1U);  // unsafe, and it may have run
}

// Guards against this failure: bodies that upstreams could not read were sent to one upstream after the other
// and ejected each, so that requests of others were refused.
TEST(ArrivingRequest, IsTriedOnceMoreWhenUpstreamsCutItOffAndBlamesNone) {
  TestSidecar sidecar;
  sidecar.ListUpstreams(4);
  const auto spread_before = sidecar.CountServed(60);
  for (std::uint64_t i = 0; i < 50; ++i) {
    const std::size_t before = sidecar.sent.size();
    RequestArrived arrival;
    arrival.request = RequestId{1000000 + i};
    arrival.request_class = kUnsafe;
    arrival.deadline = sidecar.now + 2s;
    arrival.arriving = true;
    sidecar.Handle(arrival);
    for (std::size_t k = before; k < sidecar.sent.size(); ++k) {
      const SentAttempt attempt = sidecar.sent[k];
      AttemptEnded end;
      end.request = attempt.request;
      end.attempt = attempt.attempt;
      end.outcome = Outcome::kConnectFailed;
      end.elapsed = 1ms;
      end.request_incomplete = true;
      sidecar.Handle(end);
    }
    EXPECT_EQ(sidecar.sent.size(), before + 2);
    EXPECT_EQ(sidecar.rejected.size(), i + 1);
    sidecar.Advance(10ms);
  }
  EXPECT_EQ(sidecar.balancer().counts().ejected, 0U);
  EXPECT_EQ(sidecar.CountServed(60).size(), spread_before.size());
}

TEST(ArrivingRequest, IsRetriedElsewhereWhenNothingRan) {
  TestSidecar sidecar;
  sidecar.ListUpstreams(2);
  RequestArrived arrival;
  arrival.request = RequestId{1000000};
  arrival.request_class = kUnsafe;
  arrival.deadline = sidecar.now + 2s;
  arrival.arriving = true;
  sidecar.Handle(arrival);
  ASSERT_EQ(sidecar.sent.size(), 1U);
  sidecar.Advance(5s);
  sidecar.EndAttempt(sidecar.sent[0], Outcome::kFull);
  ASSERT_EQ(sidecar.sent.size(), 2U);
  EXPECT_NE(sidecar.sent[1].upstream, sidecar.sent[0].upstream);
  // Its body is no longer buffered, so further attempts end as kNotSent: nothing has run.
  for (std::size_t i = 1; i < sidecar.sent.size(); ++i)
    sidecar.EndAttempt(sidecar.sent[i], Outcome::kNotSent);
  EXPECT_EQ(sidecar.rejected.size(), 1U);
  EXPECT_TRUE(sidecar.failed.empty());
}

TEST(StartedAnswer, IsNotCountedInFlightAtItsUpstream) {
  TestSidecar sidecar;
  sidecar.ListUpstreams(3);
  sidecar.CountServed(60);
  const std::size_t before = sidecar.sent.size();
  sidecar.Arrive(kSafe);
  const SentAttempt attempt = sidecar.sent[before];
  sidecar.now += 10ms;
  sidecar.Handle(AnswerStarted{attempt.request, attempt.attempt});
  sidecar.Advance(30s);  // the body is still being sent
  EXPECT_GT(sidecar.CountServed(60)[attempt.upstream], 10);
  const std::size_t sent = sidecar.sent.size();
  sidecar.EndAttempt(attempt, Outcome::kReset, true);
  EXPECT_EQ(sidecar.sent.size(), sent);  // the client has already received a part of the answer
}

TEST(StartedAnswer, SurvivesTheCancelledHedges) {
  Settings settings = DefaultSettings();
  settings.limits.hedging = true;
  TestSidecar sidecar(settings);
  sidecar.ListUpstreams(3);
  sidecar.CountServed(60);
  const std::size_t before = sidecar.sent.size();
  const RequestId id = sidecar.Arrive(kSafe);
  sidecar.Advance(300ms);
  ASSERT_GE(sidecar.sent.size(), before + 2);
  const SentAttempt first = sidecar.sent[before];
  const SentAttempt hedge = sidecar.sent[before + 1];
  sidecar.Handle(AnswerStarted{id, hedge.attempt});
  const std::vector<std::pair<RequestId, AttemptId>> expected = {{id, first.attempt}};
  EXPECT_EQ(sidecar.cancelled, expected);
  sidecar.EndAttempt(first, Outcome::kCancelled, true);
  EXPECT_EQ(sidecar.cancelled, expected);
  // Its client disconnects: the remaining attempt is cancelled.
  sidecar.Handle(ClientDisconnected{id});
  EXPECT_EQ(sidecar.cancelled.size(), 2U);
}

TEST(LateRequest, IsHedgedToAnotherUpstream) {
  TestSidecar sidecar;
  sidecar.ListUpstreams(4);
  sidecar.CountServed(100);
  const std::size_t before = sidecar.sent.size();
  sidecar.Arrive(kSafe);
  sidecar.Advance(100ms);
  ASSERT_EQ(sidecar.sent.size(), before + 2);
  EXPECT_NE(sidecar.sent[before].upstream, sidecar.sent[before + 1].upstream);
  sidecar.EndAttempt(sidecar.sent[before + 1], Outcome::kServed);
  EXPECT_EQ(sidecar.cancelled.back().second, AttemptId{0}) << "the overtaken attempt must be cancelled";
}

TEST(RetryBudget, BoundsFurtherAttempts) {
  TestSidecar sidecar;
  sidecar.ListUpstreams(4);
  for (int i = 0; i < 500; ++i) {
    const std::size_t before = sidecar.sent.size();
    sidecar.Arrive(kSafe);
    sidecar.now += 10ms;
    for (std::size_t k = before; k < sidecar.sent.size(); ++k)
      sidecar.EndAttempt(sidecar.sent[k], Outcome::kError);
  }
  EXPECT_LE(sidecar.sent.size(), 500u + 150u + 10u + 50u)
      << "more than the first attempts, three tenths of them as retries, the burst, and half-open probes";
}

}  // namespace
}  // namespace mothrack::balancer::testing
