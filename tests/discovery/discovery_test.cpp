// The discovery loop against scripted sources that reject calls, answer late or wrongly, or change their
// address.
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "discovery/discovery_fixture.h"

namespace mothrack {
namespace {

TEST(DiscoveryLoop, ServiceThatRejectsCallsIsRetriedAtTheSameIntervals) {
  for (const std::string text : {"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", ""}) {
    const discovery::PollPolicy policy = ShortOnRequestPolicy();
    Source source;
    LoopUnderTest loop(policy, source.endpoint());
    loop.discovery.Start();
    ASSERT_TRUE(loop.RunUntil([&] { return loop.lists >= 2; }));
    source.AnswerWith(text, 1000);
    ASSERT_TRUE(loop.RunUntil([&] { return loop.discovery.counts().failed >= 1; }));
    const std::size_t rejected = source.calls().size();
    const runtime::TimePoint failed_at = runtime::Now();
    ASSERT_TRUE(loop.RunUntil([&] { return source.calls().size() >= rejected + 4; }));
    EXPECT_GE(source.calls()[rejected].received - failed_at, policy.fault_backoff - milliseconds(10)) << text;
    EXPECT_LE(source.calls()[rejected].received - failed_at, policy.max_retry_interval + kSlack) << text;
    ExpectRetryIntervals(policy, source.calls(), rejected + 1);
    EXPECT_EQ(loop.LogLines(), 1);
  }
}

// All processes of a fleet may start at the same time. If their first calls were watches, these would time
// out together, and late.
TEST(DiscoveryLoop, FirstCallOfAProcessThatHoldsAListIsNoWatch) {
  Source source;
  LoopUnderTest loop(ShortOnRequestPolicy(), source.endpoint());
  loop.discovery.SetKnownRevision(1);
  loop.discovery.Start();
  ASSERT_TRUE(loop.RunUntil([&] { return loop.lists >= 2; }));
  EXPECT_EQ(source.calls()[0].target, "/discovery/hosts?index=1&wait=1");
  EXPECT_EQ(source.calls()[1].target, "/discovery/hosts?index=1&wait=300");
}

// The address changes twice, while a call is pending or during the backoff after a failure.
TEST(DiscoveryLoop, TwoAddressChangesInOneTurnFollowTheLastOnly) {
  for (const bool on_request : {false, true}) {
    for (const bool outage : {false, true}) {
      Source first;
      Source second;
      Source third;
      third.Publish(3);
      if (outage) first.AnswerWith("", 1000);
      LoopUnderTest loop(discovery::PollPolicy::For(MakeRules(on_request, kDrain)), first.endpoint());
      loop.discovery.Start();
      ASSERT_TRUE(
          loop.RunUntil([&] { return outage ? loop.discovery.counts().failed > 0 : loop.lists > 0; }));
      loop.discovery.SetEndpoint(second.endpoint());
      loop.discovery.SetEndpoint(third.endpoint());
      const std::size_t before = first.calls().size();
      ASSERT_TRUE(loop.RunUntil([&] { return loop.revision == 3; }));
      loop.RunFor(milliseconds(300));
      EXPECT_EQ(first.calls().size(), before) << on_request << outage;
      EXPECT_EQ(second.calls().size(), 0U) << on_request << outage;
    }
  }
}

// An agent that takes longer for each full list than the timeout of the first call, or than that of any call.
// The same holds for the list after an unanswered watch.
TEST(DiscoveryLoop, ListOfASlowAgentIsAcceptedInTime) {
  for (const int delay_ms : {200, 500, 2000}) {
    for (const int drain_ms : {100, 500}) {
      Source source;
      source.DelayLists(milliseconds(delay_ms));
      LoopUnderTest loop(discovery::PollPolicy::For(MakeRules(false, milliseconds(drain_ms))),
                         source.endpoint());
      const runtime::TimePoint started = runtime::Now();
      loop.discovery.Start();
      ASSERT_TRUE(loop.RunUntil([&] { return loop.lists >= 1; })) << delay_ms << ' ' << drain_ms;
      EXPECT_LE(runtime::Now() - started, milliseconds(delay_ms + 2 * drain_ms) + kSlack)
          << delay_ms << ' ' << drain_ms;
      EXPECT_GT(loop.discovery.counts().failed, 0U);
      source.StopAnswering(StopPoint::kBeforeHeader, 1);
      ASSERT_TRUE(loop.RunUntil([&] { return source.unanswered() == 1; }));
      // The next list has been begun, so it does not contain the change that is published now.
      const std::size_t calls = source.calls().size();
      ASSERT_TRUE(loop.RunUntil([&] { return source.calls().size() > calls; }));
      source.Publish(2);
      const runtime::TimePoint published = runtime::Now();
      ASSERT_TRUE(loop.RunUntil([&] { return loop.revision == 2; })) << delay_ms << ' ' << drain_ms;
      EXPECT_LE(runtime::Now() - published, seconds(6) + kSlack) << delay_ms << ' ' << drain_ms;
    }
  }
}

// Two calls are pending. The one that timed out is answered first; its connection is used from then on, and
// the other one is dropped.
TEST(DiscoveryLoop, AnswerToATimedOutCallIsAcceptedAndItsConnectionReused) {
  const discovery::PollPolicy policy = discovery::PollPolicy::For(MakeRules(false, kDrain));
  const runtime::Duration delay = policy.list_timeout + policy.retry_timeout * 5 / 6;
  Source source;
  source.DelayLists(delay);
  LoopUnderTest loop(policy, source.endpoint());
  const runtime::TimePoint started = runtime::Now();
  loop.discovery.Start();
  ASSERT_TRUE(loop.RunUntil([&] { return loop.lists >= 3; }));
  // Had the other call been answered too, there would be one more list between two watches.
  EXPECT_GE(runtime::Now() - started, delay + 2 * policy.watch_wait - milliseconds(20));
  EXPECT_EQ(loop.LogLines(), 2);
  for (std::size_t i = 3; i < source.calls().size(); ++i) {
    EXPECT_NE(source.calls()[i].target.find("wait="), std::string::npos) << i;  // only watches from then on
  }
}

TEST(DiscoveryLoop, UnresponsiveOrBrokenAgentIsNotPolledInABusyLoop) {
  const discovery::PollPolicy policy = discovery::PollPolicy::For(MakeRules(false, kDrain));
  const runtime::Duration time = seconds(2);
  testing::BlackHole hole;
  testing::RefusingAddress refusing;
  Source malformed;
  malformed.AnswerWith(OkResponse(R"({"rev":99,"all":true,"targets":[{"uid":7}]})"), 100000);
  Source broken;
  broken.AnswerWith("", 100000);
  Source unresponsive;
  unresponsive.StopAnswering(StopPoint::kBeforeHeader, 100000);
  struct Row {
    runtime::Endpoint endpoint;
    runtime::Duration first, each;  // duration of the first call with its backoff, and of each later one
  };
  for (const Row& row :
       {Row{*runtime::ParseEndpoint(hole.address()), policy.list_timeout, policy.retry_timeout},
        Row{*runtime::ParseEndpoint(refusing.address()), policy.fault_backoff, policy.fault_backoff},
        Row{malformed.endpoint(), policy.fault_backoff, policy.fault_backoff},
        Row{broken.endpoint(), policy.fault_backoff, policy.fault_backoff},
        Row{unresponsive.endpoint(), policy.list_timeout, policy.retry_timeout}}) {
    LoopUnderTest loop(policy, row.endpoint);
    loop.discovery.Start();
    loop.RunFor(time);
    EXPECT_LE(loop.discovery.counts().calls, static_cast<std::uint64_t>((time - row.first) / row.each) + 2);
    EXPECT_GE(loop.discovery.counts().calls, static_cast<std::uint64_t>(time / row.each) / 2);
    EXPECT_EQ(loop.LogLines(), 1);
  }
}

TEST(DiscoveryLoop, ChangesOlderThanTheCurrentRevisionAreRejected) {
  const auto changes = [](int revision) {
    return OkResponse(
        json{{"rev", revision}, {"all", false}, {"targets", json::array({Target("u1", "", "left")})}}.dump());
  };
  Source source;
  source.Publish(5);
  LoopUnderTest loop(discovery::PollPolicy::For(MakeRules(false, kDrain)), source.endpoint());
  loop.discovery.Start();
  ASSERT_TRUE(loop.RunUntil([&] { return loop.lists >= 1; }));
  source.AnswerWith(changes(4), 1);
  ASSERT_TRUE(loop.RunUntil([&] { return loop.discovery.counts().failed == 1; }));
  EXPECT_EQ(loop.revision, 5);
  ASSERT_TRUE(loop.RunUntil([&] { return loop.discovery.counts().full_lists == 2; }, seconds(5)));
  EXPECT_EQ(loop.discovery.counts().change_lists, 0U);
  EXPECT_EQ(loop.discovery.counts().full_list_calls, 2U);
}

}  // namespace
}  // namespace mothrack
