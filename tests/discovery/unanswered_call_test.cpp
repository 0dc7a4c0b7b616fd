// The staleness bound holds when the source of the endpoint list leaves calls unanswered.
#include <cstddef>
#include <string>

#include "discovery/discovery_fixture.h"

namespace mothrack {
namespace {

class UnansweredCall : public ::testing::TestWithParam<StopPoint> {};

// The worst case: the list changes just after the last unanswered call has begun.
TEST_P(UnansweredCall, ToAnAgentKeepsTheBoundForTheNextChange) {
  const discovery::StalenessRules rules = MakeRules(false, kDrain);
  for (const int calls : {1, 2, 3}) {
    Source source;
    LoopUnderTest loop(discovery::PollPolicy::For(rules), source.endpoint());
    loop.discovery.Start();
    ASSERT_TRUE(loop.RunUntil([&] { return loop.lists >= 2; }));  // a watch has ended
    source.StopAnswering(GetParam(), calls);
    ASSERT_TRUE(loop.RunUntil([&] { return source.unanswered() == calls; }));
    const runtime::TimePoint published = runtime::Now();
    source.Publish(2);
    ASSERT_TRUE(loop.RunUntil([&] { return loop.revision == 2; }));
    const discovery::StalenessCase staleness_case =
        calls == 1 ? discovery::StalenessCase::kWatchTimeout : discovery::StalenessCase::kAfterOutage;
    EXPECT_LE(runtime::Now() - published, discovery::StalenessBound(rules, staleness_case) + kSlack) << calls;
    EXPECT_EQ(loop.LogLines(), 2) << calls;  // the first failure, and the answer after it
  }
}

TEST_P(UnansweredCall, ToANewAgentOrOfANewProcessKeepsTheBound) {
  const discovery::StalenessRules rules = MakeRules(false, kDrain);
  for (const bool address_changed : {false, true}) {
    Source first;
    Source source;
    source.StopAnswering(GetParam(), 1);
    LoopUnderTest loop(discovery::PollPolicy::For(rules),
                       address_changed ? first.endpoint() : source.endpoint());
    loop.discovery.Start();
    if (address_changed) {
      ASSERT_TRUE(loop.RunUntil([&] { return loop.lists >= 1; }));
      loop.discovery.SetEndpoint(source.endpoint());
    }
    source.Publish(7);
    const runtime::TimePoint published = runtime::Now();
    ASSERT_TRUE(loop.RunUntil([&] { return loop.revision == 7; }));
    EXPECT_LE(runtime::Now() - published, kDrain + kSlack) << address_changed;
  }
}

TEST_P(UnansweredCall, WatchAtTheServiceIsRetriedAtOnce) {
  const discovery::PollPolicy policy = ShortOnRequestPolicy();
  Source source;
  LoopUnderTest loop(policy, source.endpoint());
  loop.discovery.Start();
  ASSERT_TRUE(loop.RunUntil([&] { return loop.lists >= 2; }));
  source.StopAnswering(GetParam(), 1);
  ASSERT_TRUE(loop.RunUntil([&] { return source.unanswered() == 1; }));
  const runtime::TimePoint started = runtime::Now();
  source.Publish(2);
  ASSERT_TRUE(loop.RunUntil([&] { return loop.revision == 2; }));
  EXPECT_LE(runtime::Now() - started,
            discovery::WorstCaseStaleness(policy, discovery::StalenessCase::kWatchTimeout) + kSlack);
  for (const auto& call : source.calls()) {
    if (call.received > started) {
      // Requests the changes since the known revision.
      EXPECT_NE(call.target.find("?index=1&wait=1"), std::string::npos) << call.target;
      break;
    }
  }
}

TEST_P(UnansweredCall, CallsAfterAWatchAtTheServiceAreRetriedAtIntervals) {
  const discovery::PollPolicy policy = ShortOnRequestPolicy();
  Source source;
  LoopUnderTest loop(policy, source.endpoint());
  loop.discovery.Start();
  ASSERT_TRUE(loop.RunUntil([&] { return loop.lists >= 2; }));
  source.StopAnswering(GetParam(), 1000);
  ASSERT_TRUE(loop.RunUntil([&] { return source.unanswered() == 1; }));
  const std::size_t watch = source.calls().size() - 1;
  ASSERT_TRUE(loop.RunUntil([&] { return source.unanswered() == 6; }));
  ExpectRetryIntervals(policy, source.calls(), watch + 2);
  source.StopAnswering(GetParam(), 0);
  source.Publish(2);
  const runtime::TimePoint published = runtime::Now();
  ASSERT_TRUE(loop.RunUntil([&] { return loop.revision == 2; }));
  EXPECT_LE(runtime::Now() - published,
            discovery::WorstCaseStaleness(policy, discovery::StalenessCase::kAfterOutage) + kSlack);
  EXPECT_EQ(loop.LogLines(), 2);
}

TEST_P(UnansweredCall, FullListFromTheServiceIsRetriedOnce) {
  const discovery::PollPolicy policy = ShortOnRequestPolicy();
  Source source;
  source.StopAnswering(GetParam(), 1);
  LoopUnderTest loop(policy, source.endpoint());
  loop.discovery.Start();
  const runtime::TimePoint started = runtime::Now();
  ASSERT_TRUE(loop.RunUntil([&] { return loop.revision == 1; }));
  EXPECT_LE(runtime::Now() - started,
            discovery::WorstCaseStaleness(policy, discovery::StalenessCase::kListTimeout) + kSlack);
  EXPECT_EQ(loop.discovery.counts().full_list_calls, 2U);
}

INSTANTIATE_TEST_SUITE_P(Points, UnansweredCall, ::testing::ValuesIn(kStopPoints));

}  // namespace
}  // namespace mothrack
