// The discovery loop in this process, against scripted sources that leave calls unanswered, reject them or
// answer late.
#include "discovery/discovery.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "discovery/endpoint_staleness.h"
#include "standins/peers.h"

namespace mothrack {
namespace {

using balancer::UpstreamState;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::Peer;
using testing::Target;
using testing::Wire;

discovery::StalenessRules Rules(bool on_request, runtime::Duration drain) {
  return {on_request, drain, seconds(10)};
}

// ---- Lists ----

dispatch::MembershipList Parsed(const json& targets) {
  return discovery::ParseList(json{{"rev", 1}, {"all", true}, {"targets", targets}});
}

TEST(EndpointList, LastEntryOfAnIdCountsOnce) {
  const auto list = Parsed({Target("u1", "127.0.0.1:1", "active", 5), Target("u2", "127.0.0.1:2"),
                            Target("u1", "127.0.0.1:3", "leaving", 9)});
  ASSERT_EQ(list.update.upstreams.size(), 2U);
  EXPECT_EQ(list.update.upstreams[0].id.value, "u1");
  EXPECT_EQ(list.update.upstreams[0].state, UpstreamState::kDraining);
  EXPECT_EQ(list.locations.at("u1").state, UpstreamState::kDraining);
  EXPECT_EQ(list.locations.at("u1").endpoint.port(), 3);
  EXPECT_EQ(list.locations.at("u1").boot_ms, 9);
  EXPECT_EQ(list.update.upstreams[1].id.value, "u2");
}

// ---- The loop ----

// Where in a call the source stops to answer.
enum class StopPoint { kBeforeItIsRead, kBeforeTheHead, kInTheHead, kInTheBody };
constexpr StopPoint kStopPoints[] = {StopPoint::kBeforeItIsRead, StopPoint::kBeforeTheHead,
                                     StopPoint::kInTheHead, StopPoint::kInTheBody};

std::string OkResponse(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string ListText(int revision) {
  return json{{"rev", revision}, {"all", true}, {"targets", json::array({Target("u1", "127.0.0.1:1")})}}.dump(
      2);
}

// A source of lists of one upstream, at a revision that the test sets. It holds watches until their wait is
// over or there is a newer revision; of the next calls it leaves some unanswered, or answers them with a
// text.
class Source {
 public:
  struct Seen {
    std::string target;
    runtime::TimePoint at;
  };
  Source() : peer_([this](Wire& wire, int) { Serve(wire); }) {}

  runtime::Endpoint endpoint() const { return *runtime::ParseEndpoint(peer_.address()); }
  void StopAnswering(StopPoint stop_point, int calls) {
    const std::lock_guard lock(mutex_);
    stop_point_ = stop_point;
    unanswered_left_ = calls;
  }
  void AnswerWith(std::string text, int calls) {
    const std::lock_guard lock(mutex_);
    text_ = std::move(text);
    scripted_left_ = calls;
  }
  // Before the first call.
  void DelayLists(runtime::Duration delay) { list_delay_ = delay; }
  void Publish(int revision) { revision_ = revision; }
  int unanswered() const { return unanswered_; }
  std::vector<Seen> seen() const {
    const std::lock_guard lock(mutex_);
    return seen_;
  }

 private:
  enum class Reply { kAnswer, kNoAnswer, kScripted };

  Reply Next(const std::string& target) {
    const std::lock_guard lock(mutex_);
    seen_.push_back({target, runtime::Now()});
    if (unanswered_left_ > 0) return --unanswered_left_, Reply::kNoAnswer;
    if (scripted_left_ > 0) return --scripted_left_, Reply::kScripted;
    return Reply::kAnswer;
  }

  void Serve(Wire& wire) {
    while (const auto request = wire.ReadRequest()) {
      const std::string target(request->target());
      const Reply reply = Next(target);
      if (reply == Reply::kNoAnswer) return LeaveUnanswered(wire);
      if (reply == Reply::kScripted) {
        wire.Write(text_);
        return;
      }
      if (const auto at = target.find("index="); at != std::string::npos) {
        const int index = std::stoi(target.substr(at + 6));
        const auto until = runtime::Now() + milliseconds(std::stoi(target.substr(target.find("wait=") + 5)));
        while (revision_ <= index && runtime::Now() < until) std::this_thread::sleep_for(milliseconds(2));
      }
      const std::string list = OkResponse(ListText(revision_));
      // A full list says what was so when it was begun: the worst case.
      if (target.find("index=") == std::string::npos) std::this_thread::sleep_for(list_delay_);
      if (!wire.Write(list)) return;
    }
  }

  void LeaveUnanswered(Wire& wire) {
    const std::string text = OkResponse(ListText(revision_));
    const std::size_t head = text.find("\r\n\r\n") + 4;
    if (stop_point_ == StopPoint::kInTheHead) wire.Write(text.substr(0, head / 2));
    if (stop_point_ == StopPoint::kInTheBody) wire.Write(text.substr(0, head + 10));
    ++unanswered_;
    wire.ReadsEnd();
  }

  mutable std::mutex mutex_;
  std::vector<Seen> seen_;
  StopPoint stop_point_ = StopPoint::kBeforeTheHead;
  std::string text_;
  runtime::Duration list_delay_{};
  int unanswered_left_ = 0;
  int scripted_left_ = 0;
  std::atomic<int> revision_{1};
  std::atomic<int> unanswered_{0};
  Peer peer_;
};

// The loop under test, run in this thread.
class LoopUnderTest {
 public:
  LoopUnderTest(const discovery::PollPolicy& policy, const runtime::Endpoint& endpoint)
      : discovery(io, endpoint, policy, 7, start_times_, log_, [this](dispatch::MembershipList list) {
          revision = static_cast<int>(list.revision);
          ++lists;
        }) {}

  bool Until(const std::function<bool()>& condition, runtime::Duration timeout = seconds(20)) {
    const runtime::TimePoint end = runtime::Now() + timeout;
    while (!condition()) {
      if (runtime::Now() > end) return false;
      io.restart();
      io.run_one_for(milliseconds(2));
    }
    return true;
  }
  void For(runtime::Duration time) {
    Until([] { return false; }, time);
  }
  int LogLines() const {
    const std::string text = text_.str();
    return static_cast<int>(std::count(text.begin(), text.end(), '\n'));
  }

  int revision = 0;
  int lists = 0;
  boost::asio::io_context io;

 private:
  dispatch::StartTimes start_times_{runtime::ReadClocks()};
  std::ostringstream text_;
  runtime::Logger log_{"test", text_};

 public:
  discovery::Discovery discovery;
};

// Beyond the bound, for a machine that is busy with other tests and sanitizers.
constexpr runtime::Duration kSlack = milliseconds(300);
constexpr runtime::Duration kDrain = milliseconds(500);

discovery::PollPolicy ShortOnRequestPolicy() {
  discovery::PollPolicy policy = discovery::PollPolicy::For(Rules(true, kDrain));
  policy.watch_wait = milliseconds(300);
  policy.watch_timeout = milliseconds(100);
  policy.list_timeout = policy.retry_timeout = milliseconds(300);
  policy.fault_backoff = milliseconds(50);
  policy.max_retry_interval = milliseconds(500);
  policy.min_fault_interval = milliseconds(300);
  policy.answer_time = milliseconds(200);
  return policy;
}

// From call `from` on the intervals between calls are those that the policy has for a run of failures.
void ExpectRetryIntervals(const discovery::PollPolicy& policy, const std::vector<Source::Seen>& seen,
                          std::size_t from) {
  for (std::size_t i = from; i < seen.size(); ++i) {
    const runtime::Duration gap = seen[i].at - seen[i - 1].at;
    EXPECT_GE(gap, policy.retry_timeout - milliseconds(50)) << i;  // the source notes the time a little late
    EXPECT_LE(gap, policy.max_retry_interval + kSlack) << i;
    EXPECT_EQ(seen[i].target, "/discovery/hosts?index=1&wait=1") << i;  // of the held revision, and no watch
  }
}

class UnansweredCall : public ::testing::TestWithParam<StopPoint> {};

// The change comes just after the last unanswered call has begun: the worst case.
TEST_P(UnansweredCall, ToAnAgentKeepsTheBoundForTheNextChange) {
  const discovery::StalenessRules rules = Rules(false, kDrain);
  for (const int calls : {1, 2, 3}) {
    Source source;
    LoopUnderTest loop(discovery::PollPolicy::For(rules), source.endpoint());
    loop.discovery.Start();
    ASSERT_TRUE(loop.Until([&] { return loop.lists >= 2; }));  // a watch has been over
    source.StopAnswering(GetParam(), calls);
    ASSERT_TRUE(loop.Until([&] { return source.unanswered() == calls; }));
    const runtime::TimePoint published = runtime::Now();
    source.Publish(2);
    ASSERT_TRUE(loop.Until([&] { return loop.revision == 2; }));
    const discovery::StalenessCase staleness_case =
        calls == 1 ? discovery::StalenessCase::kWatchTimeout : discovery::StalenessCase::kAfterOutage;
    EXPECT_LE(runtime::Now() - published, discovery::StalenessBound(rules, staleness_case) + kSlack) << calls;
    EXPECT_EQ(loop.LogLines(), 2) << calls;  // the first failure, and the answer after it
  }
}

TEST_P(UnansweredCall, ToANewAgentOrOfANewProcessKeepsTheBound) {
  const discovery::StalenessRules rules = Rules(false, kDrain);
  for (const bool address_changed : {false, true}) {
    Source first;
    Source source;
    source.StopAnswering(GetParam(), 1);
    LoopUnderTest loop(discovery::PollPolicy::For(rules),
                       address_changed ? first.endpoint() : source.endpoint());
    loop.discovery.Start();
    if (address_changed) {
      ASSERT_TRUE(loop.Until([&] { return loop.lists >= 1; }));
      loop.discovery.SetEndpoint(source.endpoint());
    }
    source.Publish(7);
    const runtime::TimePoint published = runtime::Now();
    ASSERT_TRUE(loop.Until([&] { return loop.revision == 7; }));
    EXPECT_LE(runtime::Now() - published, kDrain + kSlack) << address_changed;
  }
}

TEST_P(UnansweredCall, WatchAtTheServiceIsRetriedAtOnce) {
  const discovery::PollPolicy policy = ShortOnRequestPolicy();
  Source source;
  LoopUnderTest loop(policy, source.endpoint());
  loop.discovery.Start();
  ASSERT_TRUE(loop.Until([&] { return loop.lists >= 2; }));
  source.StopAnswering(GetParam(), 1);
  ASSERT_TRUE(loop.Until([&] { return source.unanswered() == 1; }));
  const runtime::TimePoint started = runtime::Now();
  source.Publish(2);
  ASSERT_TRUE(loop.Until([&] { return loop.revision == 2; }));
  EXPECT_LE(runtime::Now() - started,
            discovery::WorstCaseStaleness(policy, discovery::StalenessCase::kWatchTimeout) + kSlack);
  for (const auto& call : source.seen()) {
    if (call.at > started) {
      EXPECT_NE(call.target.find("?index=1&wait=1"), std::string::npos)
          << call.target;  // of the held revision
      break;
    }
  }
}

TEST_P(UnansweredCall, CallsAfterAWatchAtTheServiceAreRetriedAtIntervals) {
  const discovery::PollPolicy policy = ShortOnRequestPolicy();
  Source source;
  LoopUnderTest loop(policy, source.endpoint());
  loop.discovery.Start();
  ASSERT_TRUE(loop.Until([&] { return loop.lists >= 2; }));
  source.StopAnswering(GetParam(), 1000);
  ASSERT_TRUE(loop.Until([&] { return source.unanswered() == 1; }));
  const std::size_t watch = source.seen().size() - 1;
  ASSERT_TRUE(loop.Until([&] { return source.unanswered() == 6; }));
  ExpectRetryIntervals(policy, source.seen(), watch + 2);
  source.StopAnswering(GetParam(), 0);
  source.Publish(2);
  const runtime::TimePoint back = runtime::Now();
  ASSERT_TRUE(loop.Until([&] { return loop.revision == 2; }));
  EXPECT_LE(runtime::Now() - back,
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
  ASSERT_TRUE(loop.Until([&] { return loop.revision == 1; }));
  EXPECT_LE(runtime::Now() - started,
            discovery::WorstCaseStaleness(policy, discovery::StalenessCase::kListTimeout) + kSlack);
  EXPECT_EQ(loop.discovery.counts().full_list_calls, 2U);
}

INSTANTIATE_TEST_SUITE_P(Points, UnansweredCall, ::testing::ValuesIn(kStopPoints));

TEST(DiscoveryLoop, ServiceThatRejectsCallsIsRetriedAtTheSameIntervals) {
  for (const std::string text : {"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", ""}) {
    const discovery::PollPolicy policy = ShortOnRequestPolicy();
    Source source;
    LoopUnderTest loop(policy, source.endpoint());
    loop.discovery.Start();
    ASSERT_TRUE(loop.Until([&] { return loop.lists >= 2; }));
    source.AnswerWith(text, 1000);
    ASSERT_TRUE(loop.Until([&] { return loop.discovery.counts().failed >= 1; }));
    const std::size_t rejected = source.seen().size();
    const runtime::TimePoint at = runtime::Now();
    ASSERT_TRUE(loop.Until([&] { return source.seen().size() >= rejected + 4; }));
    EXPECT_GE(source.seen()[rejected].at - at, policy.fault_backoff - milliseconds(10)) << text;
    EXPECT_LE(source.seen()[rejected].at - at, policy.max_retry_interval + kSlack) << text;
    ExpectRetryIntervals(policy, source.seen(), rejected + 1);
    EXPECT_EQ(loop.LogLines(), 1);
  }
}

// All processes of a fleet may have started together: their watches would time out together, and late.
TEST(DiscoveryLoop, FirstCallOfAProcessThatHoldsAListIsNoWatch) {
  Source source;
  LoopUnderTest loop(ShortOnRequestPolicy(), source.endpoint());
  loop.discovery.SetKnownRevision(1);
  loop.discovery.Start();
  ASSERT_TRUE(loop.Until([&] { return loop.lists >= 2; }));
  EXPECT_EQ(source.seen()[0].target, "/discovery/hosts?index=1&wait=1");
  EXPECT_EQ(source.seen()[1].target, "/discovery/hosts?index=1&wait=300");
}

// In the turn of the first move its call is out; and during the backoff after a failure.
TEST(DiscoveryLoop, TwoAddressChangesInOneTurnFollowTheLastOnly) {
  for (const bool on_request : {false, true}) {
    for (const bool outage : {false, true}) {
      Source first;
      Source second;
      Source third;
      third.Publish(3);
      if (outage) first.AnswerWith("", 1000);
      LoopUnderTest loop(discovery::PollPolicy::For(Rules(on_request, kDrain)), first.endpoint());
      loop.discovery.Start();
      ASSERT_TRUE(loop.Until([&] { return outage ? loop.discovery.counts().failed > 0 : loop.lists > 0; }));
      loop.discovery.SetEndpoint(second.endpoint());
      loop.discovery.SetEndpoint(third.endpoint());
      const std::size_t before = first.seen().size();
      ASSERT_TRUE(loop.Until([&] { return loop.revision == 3; }));
      loop.For(milliseconds(300));
      EXPECT_EQ(first.seen().size(), before) << on_request << outage;
      EXPECT_EQ(second.seen().size(), 0U) << on_request << outage;
    }
  }
}

// A full list takes the agent longer than the timeout of the first call, or of any, each time; and so does
// the next list after a watch without an answer.
TEST(DiscoveryLoop, ListOfASlowAgentIsAcceptedInTime) {
  for (const int delay_ms : {200, 500, 2000}) {
    for (const int drain_ms : {100, 500}) {
      Source source;
      source.DelayLists(milliseconds(delay_ms));
      LoopUnderTest loop(discovery::PollPolicy::For(Rules(false, milliseconds(drain_ms))), source.endpoint());
      const runtime::TimePoint started = runtime::Now();
      loop.discovery.Start();
      ASSERT_TRUE(loop.Until([&] { return loop.lists >= 1; })) << delay_ms << ' ' << drain_ms;
      EXPECT_LE(runtime::Now() - started, milliseconds(delay_ms + 2 * drain_ms) + kSlack)
          << delay_ms << ' ' << drain_ms;
      EXPECT_GT(loop.discovery.counts().failed, 0U);
      source.StopAnswering(StopPoint::kBeforeTheHead, 1);
      ASSERT_TRUE(loop.Until([&] { return source.unanswered() == 1; }));
      // The next list is begun, and says nothing of what comes now.
      const std::size_t calls = source.seen().size();
      ASSERT_TRUE(loop.Until([&] { return source.seen().size() > calls; }));
      source.Publish(2);
      const runtime::TimePoint published = runtime::Now();
      ASSERT_TRUE(loop.Until([&] { return loop.revision == 2; })) << delay_ms << ' ' << drain_ms;
      EXPECT_LE(runtime::Now() - published, seconds(6) + kSlack) << delay_ms << ' ' << drain_ms;
    }
  }
}

// Two calls are out: the one that timed out is answered first, its connection is used from then on, and the
// other is dropped.
TEST(DiscoveryLoop, AnswerToATimedOutCallIsAcceptedAndItsConnectionReused) {
  const discovery::PollPolicy policy = discovery::PollPolicy::For(Rules(false, kDrain));
  const runtime::Duration delay = policy.list_timeout + policy.retry_timeout * 5 / 6;
  Source source;
  source.DelayLists(delay);
  LoopUnderTest loop(policy, source.endpoint());
  const runtime::TimePoint started = runtime::Now();
  loop.discovery.Start();
  ASSERT_TRUE(loop.Until([&] { return loop.lists >= 3; }));
  // The one beside it would have been a list more, between two watches.
  EXPECT_GE(runtime::Now() - started, delay + 2 * policy.watch_wait - milliseconds(20));
  EXPECT_EQ(loop.LogLines(), 2);
  for (std::size_t i = 3; i < source.seen().size(); ++i) {
    EXPECT_NE(source.seen()[i].target.find("wait="), std::string::npos) << i;  // only watches from then on
  }
}

TEST(DiscoveryLoop, UnresponsiveOrBrokenAgentIsNotPolledInABusyLoop) {
  const discovery::PollPolicy policy = discovery::PollPolicy::For(Rules(false, kDrain));
  const runtime::Duration time = seconds(2);
  testing::BlackHole hole;
  testing::Refusing refusing;
  Source malformed;
  malformed.AnswerWith(OkResponse(R"({"rev":99,"all":true,"targets":[{"uid":7}]})"), 100000);
  Source broken;
  broken.AnswerWith("", 100000);
  Source unresponsive;
  unresponsive.StopAnswering(StopPoint::kBeforeTheHead, 100000);
  struct Row {
    runtime::Endpoint endpoint;
    runtime::Duration first, each;  // time of the first call with its backoff, and of each further one
  };
  for (const Row& row :
       {Row{*runtime::ParseEndpoint(hole.address()), policy.list_timeout, policy.retry_timeout},
        Row{*runtime::ParseEndpoint(refusing.address()), policy.fault_backoff, policy.fault_backoff},
        Row{malformed.endpoint(), policy.fault_backoff, policy.fault_backoff},
        Row{broken.endpoint(), policy.fault_backoff, policy.fault_backoff},
        Row{unresponsive.endpoint(), policy.list_timeout, policy.retry_timeout}}) {
    LoopUnderTest loop(policy, row.endpoint);
    loop.discovery.Start();
    loop.For(time);
    EXPECT_LE(loop.discovery.counts().calls, static_cast<std::uint64_t>((time - row.first) / row.each) + 2);
    EXPECT_GE(loop.discovery.counts().calls, static_cast<std::uint64_t>(time / row.each) / 2);
    EXPECT_EQ(loop.LogLines(), 1);
  }
}

TEST(DiscoveryLoop, ChangesOlderThanTheHeldRevisionAreRejected) {
  const auto changes = [](int revision) {
    return OkResponse(
        json{{"rev", revision}, {"all", false}, {"targets", json::array({Target("u1", "", "left")})}}.dump());
  };
  Source source;
  source.Publish(5);
  LoopUnderTest loop(discovery::PollPolicy::For(Rules(false, kDrain)), source.endpoint());
  loop.discovery.Start();
  ASSERT_TRUE(loop.Until([&] { return loop.lists >= 1; }));
  source.AnswerWith(changes(4), 1);
  ASSERT_TRUE(loop.Until([&] { return loop.discovery.counts().failed == 1; }));
  EXPECT_EQ(loop.revision, 5);
  ASSERT_TRUE(loop.Until([&] { return loop.discovery.counts().whole == 2; }, seconds(5)));
  EXPECT_EQ(loop.discovery.counts().changes, 0U);
  EXPECT_EQ(loop.discovery.counts().full_list_calls, 2U);
}

}  // namespace
}  // namespace mothrack
