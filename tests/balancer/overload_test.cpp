// Load shedding, and the latency objective under overload.
#include <algorithm>
#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "balancer/helpers.h"

namespace mothrack::balancer::testing {
namespace {

// Sends unsafe requests, one each `gap`, whose attempts end with `outcome` when `time` has passed.
struct LoadGenerator {
  // Returns the number of requests that were admitted.
  std::size_t Run(
      int requests, Duration gap, Duration time,
      const std::function<Outcome(const SentAttempt&)>& outcome = [](const SentAttempt&) {
        return Outcome::kServed;
      }) {
    std::size_t admitted = 0;
    for (int i = 0; i < requests; ++i) {
      const std::size_t before = sidecar.sent.size();
      sidecar.Arrive(kUnsafe);
      admitted += sidecar.sent.size() - before;
      for (std::size_t k = before; k < sidecar.sent.size(); ++k) pending.push_back(sidecar.sent[k]);
      sidecar.Advance(gap);
      while (!pending.empty() && sidecar.now - pending.front().at >= time) {
        const Outcome end = outcome(pending.front());
        sidecar.EndAttempt(pending.front(), end, end != Outcome::kServed, answer_time);
        pending.pop_front();
      }
    }
    return admitted;
  }

  TestSidecar& sidecar;
  std::deque<SentAttempt> pending{};
  std::optional<Duration> answer_time{};  // when answers begin; absent: when they end
};

TEST(Overload, LateAnswersShedAShareOfRequestsUntilAnswersAreInTimeAgain) {
  TestSidecar sidecar;
  sidecar.ListUpstreams(4);
  LoadGenerator load{sidecar};
  const auto run = [&load](int requests, Duration time) { return load.Run(requests, 10ms, time); };
  EXPECT_EQ(run(300, 100ms), 300u);
  run(300, 390ms);  // the latency objective is 400 ms
  EXPECT_TRUE(sidecar.HasLogged("refusing: overload"));
  EXPECT_LT(load.pending.size(), 30u);
  run(600, 50ms);
  EXPECT_EQ(run(100, 50ms), 100u);
  EXPECT_TRUE(sidecar.HasLogged("taking calls again"));
}

// Guards against this failure: long answers were taken for late ones, and most requests were rejected while
// no upstream was busy.
TEST(Overload, LongAnswersThatBeginInTimeAreNoOverload) {
  for (const Outcome outcome : {Outcome::kServed, Outcome::kTimeout}) {
    TestSidecar sidecar;
    sidecar.ListUpstreams(4);
    LoadGenerator load{sidecar};
    load.Run(300, 10ms, 100ms);
    load.answer_time = 100ms;
    const auto ends_long_answers = [outcome](const SentAttempt&) { return outcome; };
    // Few enough time-outs that no upstream is ejected.
    EXPECT_EQ(load.Run(outcome == Outcome::kServed ? 600 : 3, 10ms, 1500ms, ends_long_answers),
              outcome == Outcome::kServed ? 600u : 3u);
    EXPECT_FALSE(sidecar.HasLogged("refusing: overload"));
  }
}

// After an overload the upstreams past slow start have almost no weight, so the few admitted requests go to
// upstreams in slow start. Their late answers do not count, but their answers in time must.
TEST(Overload, EndsWhenAdmittedRequestsGoToUpstreamsInSlowStart) {
  Settings settings = DefaultSettings();
  settings.rules = {.slow_start_initial_share = 0.5, .slow_start_duration = 1000s, .overload_multiple = 30};
  TestSidecar sidecar(settings);
  std::vector<UpstreamInfo> list;
  for (const char* id : {"a", "b", "c", "d", "e", "f"}) {
    list.push_back(MakeUpstream(id));
    list.back().zone = id;  // so that no zone becomes unavailable
  }
  sidecar.ReplaceList(list);
  LoadGenerator load{sidecar};
  // If this is positive, each upstream past slow start answers only one of this many requests, and that one
  // late. The others time out.
  int requests_per_answer = 0;
  std::map<std::string, int> answers;
  const auto run = [&](int requests) {
    return load.Run(requests, 50ms, requests_per_answer > 0 ? 390ms : 50ms, [&](const SentAttempt& sent) {
      const bool times_out = requests_per_answer > 0 && sent.upstream < "x" &&
                             ++answers[sent.upstream] % requests_per_answer != 0;
      return times_out ? Outcome::kTimeout : Outcome::kServed;
    });
  };
  EXPECT_EQ(run(500), 500u);
  for (const char* id : {"x", "y"}) {
    list.push_back(MakeUpstream(id));
    list.back().zone = id;
    list.back().started = sidecar.now;
  }
  sidecar.ReplaceList(list);
  for (requests_per_answer = 2; requests_per_answer < 5; ++requests_per_answer) run(200);
  requests_per_answer = 0;
  ASSERT_TRUE(sidecar.HasLogged("refusing: overload"));
  run(10);
  const std::size_t first = sidecar.sent.size();
  ASSERT_LT(run(100), 50u) << "most requests must still be rejected at this point";
  const auto in_slow_start =
      std::count_if(sidecar.sent.begin() + static_cast<std::ptrdiff_t>(first), sidecar.sent.end(),
                    [](const SentAttempt& sent) { return sent.upstream >= "x"; });
  EXPECT_GT(2 * in_slow_start, static_cast<std::ptrdiff_t>(sidecar.sent.size() - first))
      << "upstreams past slow start must still be avoided at this point";
  run(40);
  EXPECT_EQ(run(40), 40u) << "requests are still rejected 7 s after the overload";
}

TEST(LatencyObjective, GrowsWithTheWorkOfARequestUpToItsDeadline) {
  Settings settings = DefaultSettings();
  settings.classes[0].latency_objective_stretch = 2;
  settings.limits.hedging = false;
  const auto timeout = [&](std::optional<Duration> work) {
    TestSidecar sidecar(settings);
    sidecar.ListUpstreams(4);
    RequestArrived arrival;
    arrival.request = RequestId{1};
    arrival.deadline = sidecar.now + 2s;
    arrival.work = work;
    sidecar.Handle(arrival);
    // Past the latency objective of 400 ms there is no further attempt, unless the objective has grown.
    sidecar.Advance(500ms);
    const SentAttempt first = sidecar.sent.front();
    sidecar.EndAttempt(first, Outcome::kConnectFailed);
    return std::pair(first.timeout, sidecar.rejected.empty());
  };
  EXPECT_EQ(timeout(std::nullopt), std::pair(Duration(400ms), false));
  EXPECT_EQ(timeout(100ms), std::pair(Duration(600ms), true));
  EXPECT_EQ(timeout(10s), std::pair(Duration(2s), true)) << "the objective must not grow past the deadline";
}

TEST(OverloadedFleet, AnUnsafeRequestTimesOutAtItsLatencyObjectiveOnlyUnderOverload) {
  TestSidecar sidecar;
  sidecar.ListUpstreams(4);
  sidecar.Arrive(kUnsafe);
  EXPECT_EQ(sidecar.sent.back().timeout, Duration(2s));
  sidecar.EndAttempt(sidecar.sent.back(), Outcome::kServed);
  for (int i = 0; i < 40; ++i) {  // answers past their latency objective of 400 ms
    const std::size_t before = sidecar.sent.size();
    sidecar.Arrive(kUnsafe);
    sidecar.Advance(500ms);
    if (sidecar.sent.size() > before) sidecar.EndAttempt(sidecar.sent[before], Outcome::kServed);
  }
  const std::size_t before = sidecar.sent.size();
  for (int i = 0; i < 10 && sidecar.sent.size() == before; ++i) sidecar.Arrive(kUnsafe);
  ASSERT_GT(sidecar.sent.size(), before);
  EXPECT_EQ(sidecar.sent.back().timeout, Duration(400ms));
}

}  // namespace
}  // namespace mothrack::balancer::testing
