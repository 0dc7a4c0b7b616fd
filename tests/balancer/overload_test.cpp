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

// Unsafe requests, one each `gap`, whose attempts end `time` after they were sent with `outcome`.
struct Load {
  // How many of them were admitted.
  std::size_t Run(
      int calls, Duration gap, Duration time,
      const std::function<Outcome(const SentAttempt&)>& outcome = [](const SentAttempt&) {
        return Outcome::kServed;
      }) {
    std::size_t admitted = 0;
    for (int i = 0; i < calls; ++i) {
      const std::size_t before = w.sent.size();
      w.Arrive(kUnsafe);
      admitted += w.sent.size() - before;
      for (std::size_t k = before; k < w.sent.size(); ++k) out.push_back(w.sent[k]);
      w.Advance(gap);
      while (!out.empty() && w.now - out.front().at >= time) {
        const Outcome end = outcome(out.front());
        w.EndAttempt(out.front(), end, end != Outcome::kServed);
        out.pop_front();
      }
    }
    return admitted;
  }

  TestSidecar& w;
  std::deque<SentAttempt> out{};
};

TEST(Overload, LateAnswersShedAShareOfRequestsUntilAnswersAreInTimeAgain) {
  TestSidecar w;
  w.ListUpstreams(4);
  Load load{w};
  const auto run = [&load](int calls, Duration time) { return load.Run(calls, 10ms, time); };
  EXPECT_EQ(run(300, 100ms), 300u);
  run(300, 390ms);  // the latency objective is 400 ms
  EXPECT_TRUE(w.HasLogged("refusing: overload"));
  EXPECT_LT(load.out.size(), 30u);
  run(600, 50ms);
  EXPECT_EQ(run(100, 50ms), 100u);
  EXPECT_TRUE(w.HasLogged("taking calls again"));
}

// After an overload the warm upstreams have almost no weight, so the few admitted requests go to upstreams in
// slow start, whose late answers do not count; their timely ones must.
TEST(Overload, EndsWhenAdmittedRequestsGoToWarmingUpstreams) {
  Settings s = DefaultSettings();
  s.rules = {.slow_start_initial_share = 0.5, .slow_start_duration = 1000s, .overload_multiple = 30};
  TestSidecar w(s);
  std::vector<UpstreamInfo> list;
  for (const char* id : {"a", "b", "c", "d", "e", "f"}) {
    list.push_back(MakeUpstream(id));
    list.back().zone = id;  // so that no zone becomes unavailable
  }
  w.ReplaceList(list);
  Load load{w};
  int jam = 0;  // of so many answers of a warm upstream one comes, late; the others never
  std::map<std::string, int> answers;
  const auto run = [&](int calls) {
    return load.Run(calls, 50ms, jam > 0 ? 390ms : 50ms, [&](const SentAttempt& sent) {
      const bool times_out = jam > 0 && sent.upstream < "x" && ++answers[sent.upstream] % jam != 0;
      return times_out ? Outcome::kTimeout : Outcome::kServed;
    });
  };
  EXPECT_EQ(run(500), 500u);
  for (const char* id : {"x", "y"}) {
    list.push_back(MakeUpstream(id));
    list.back().zone = id;
    list.back().started = w.now;
  }
  w.ReplaceList(list);
  for (jam = 2; jam < 5; ++jam) run(200);
  jam = 0;
  ASSERT_TRUE(w.HasLogged("refusing: overload"));
  run(10);
  const std::size_t first = w.sent.size();
  ASSERT_LT(run(100), 50u) << "most are refused";
  const auto warming_up = std::count_if(w.sent.begin() + static_cast<std::ptrdiff_t>(first), w.sent.end(),
                                        [](const SentAttempt& sent) { return sent.upstream >= "x"; });
  EXPECT_GT(2 * warming_up, static_cast<std::ptrdiff_t>(w.sent.size() - first))
      << "the warm ones are still avoided";
  run(40);
  EXPECT_EQ(run(40), 40u) << "7 s after the jam";
}

TEST(LatencyObjective, GrowsWithTheWorkOfARequestUpToItsDeadline) {
  Settings s = DefaultSettings();
  s.classes[0].latency_objective_stretch = 2;
  s.limits.hedging = false;
  const auto timeout = [&](std::optional<Duration> work) {
    TestSidecar w(s);
    w.ListUpstreams(4);
    RequestArrived e;
    e.request = RequestId{1};
    e.deadline = w.now + 2s;
    e.work = work;
    w.Handle(e);
    // Past the latency objective of 400 ms there is no further attempt, unless the objective has grown.
    w.Advance(500ms);
    const SentAttempt first = w.sent.front();
    w.EndAttempt(first, Outcome::kConnectFailed);
    return std::pair(first.timeout, w.rejected.empty());
  };
  EXPECT_EQ(timeout(std::nullopt), std::pair(Duration(400ms), false));
  EXPECT_EQ(timeout(100ms), std::pair(Duration(600ms), true));
  EXPECT_EQ(timeout(10s), std::pair(Duration(2s), true))
      << "no call is worth waiting for beyond its deadline";
}

TEST(OverloadedFleet, AnUnsafeRequestTimesOutAtItsLatencyObjectiveOnlyUnderOverload) {
  TestSidecar w;
  w.ListUpstreams(4);
  w.Arrive(kUnsafe);
  EXPECT_EQ(w.sent.back().timeout, Duration(2s));
  w.EndAttempt(w.sent.back(), Outcome::kServed);
  for (int i = 0; i < 40; ++i) {  // answers past their latency objective of 400 ms
    const std::size_t before = w.sent.size();
    w.Arrive(kUnsafe);
    w.Advance(500ms);
    if (w.sent.size() > before) w.EndAttempt(w.sent[before], Outcome::kServed);
  }
  const std::size_t before = w.sent.size();
  for (int i = 0; i < 10 && w.sent.size() == before; ++i) w.Arrive(kUnsafe);
  ASSERT_GT(w.sent.size(), before);
  EXPECT_EQ(w.sent.back().timeout, Duration(400ms));
}

}  // namespace
}  // namespace mothrack::balancer::testing
