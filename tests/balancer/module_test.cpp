// The decision module through its events: one small test for each requirement of the design or of a past
// failure.
#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <stdexcept>

#include "balancer/helpers.h"

namespace mothrack::balancer::testing {
namespace {

// ---- Ejection and rotation ----

TEST(Ejection, FiveConsecutiveFailuresEject) {
  for (const Outcome o : {Outcome::kError, Outcome::kTimeout, Outcome::kConnectFailed, Outcome::kReset}) {
    World w;
    w.List(4);
    w.FailRun("b", 4, o);
    EXPECT_FALSE(w.Logged("ejected b")) << static_cast<int>(o);
    w.FailRun("b", 1, o);
    EXPECT_TRUE(w.Logged("ejected b")) << static_cast<int>(o);
    EXPECT_EQ(w.Spread(40)["b"], 0);
  }
}

TEST(Ejection, ASuccessResetsTheFailureCount) {
  World w;
  w.List(4);
  w.FailRun("b", 4);
  w.Advance(2s);
  w.Spread(40);  // a half-open probe among them
  w.FailRun("b", 4);
  EXPECT_FALSE(w.Logged("ejected"));
}

TEST(Ejection, FullAndCancelledAttemptsLeaveTheFailureCountUnchanged) {
  for (const Outcome o : {Outcome::kFull, Outcome::kCancelled, Outcome::kNotSent}) {
    World w;
    w.List(4);
    w.FailRun("b", 4);
    w.FailRun("b", 3, o);
    EXPECT_FALSE(w.Logged("ejected"));
    w.FailRun("b", 1);
    EXPECT_TRUE(w.Logged("ejected b"));
  }
}

TEST(Ejection, RepeatedEjectionsDoubleUpToTheMaximumAndABaseTimeWithoutOneResets) {
  World w;
  w.List(4);
  const auto eject_and_return = [&w] {
    w.logs.clear();
    w.FailRun("b", 5);
    EXPECT_FALSE(w.logs.empty());
    const std::string line = w.logs.empty() ? "" : w.logs.front();
    w.Advance(1500ms);
    w.Spread(5);  // two half-open probes among them
    EXPECT_TRUE(w.Logged("returned b"));
    return line;
  };
  EXPECT_NE(eject_and_return().find("ejected b for 60000 ms"), std::string::npos);
  EXPECT_NE(eject_and_return().find("ejected b for 120000 ms"), std::string::npos);
  EXPECT_NE(eject_and_return().find("ejected b for 120000 ms"), std::string::npos);
  w.Advance(61s);
  EXPECT_NE(eject_and_return().find("ejected b for 60000 ms"), std::string::npos);
}

TEST(Ejection, ARestartedProcessHasACleanRecord) {
  World w;
  w.List(4);
  w.FailRun("b", 5);
  ASSERT_TRUE(w.Logged("ejected b"));
  UpstreamInfo b = Up("b");
  b.started = w.now - 1h;  // unknown to this sidecar, but past slow start
  w.Change(b);
  EXPECT_GT(w.Spread(40)["b"], 0);
}

// A removed upstream is forgotten, so that records do not accumulate; a returning id inherits nothing.
TEST(Ejection, ARemovedUpstreamReturnsWithACleanRecord) {
  World w;
  w.List(4);
  const std::size_t before = w.sent.size();
  w.Arrive(kUnsafe, 100s);
  const Sent in_flight = w.sent[before];
  w.FailRun(in_flight.upstream, 5);
  ASSERT_TRUE(w.Logged("ejected " + in_flight.upstream));
  w.Change(Up(in_flight.upstream, UpstreamState::kGone));
  w.Change(Up(in_flight.upstream));
  EXPECT_GT(w.Spread(40)[in_flight.upstream], 0);
  w.Finish(in_flight, Outcome::kServed);  // of the earlier process
  EXPECT_GT(w.Spread(40)[in_flight.upstream], 0);
}

TEST(Rotation, EqualUpstreamsTakeEqualTurns) {
  World w;
  w.List(4);
  for (const auto& [id, calls] : w.Spread(400)) EXPECT_NEAR(calls, 100, 3) << id;
}

TEST(Rotation, TurnsFollowTheWeightsSmoothly) {
  World w;
  UpstreamInfo heavy = Up("heavy");
  heavy.weight = 3;
  w.Full({heavy, Up("a")});
  int in_a_row = 0, most = 0, calls = 0;
  for (int i = 0; i < 400; ++i) {
    const bool hit = w.Serve() == "heavy";
    calls += hit;
    in_a_row = hit ? in_a_row + 1 : 0;
    most = std::max(most, in_a_row);
  }
  EXPECT_NEAR(calls, 300, 6);
  EXPECT_LE(most, 4);
}

TEST(Rotation, ANewUpstreamStartsWithoutCredit) {
  World w;
  w.List(4);
  w.Spread(200);
  w.Change(Up("z"));
  int in_a_row = 0;
  for (int i = 0; i < 20; ++i) {
    in_a_row = w.Serve() == "z" ? in_a_row + 1 : 0;
    EXPECT_LE(in_a_row, 1);
  }
}

// ---- Failure modes ----

TEST(FleetWideTimeouts, DoNotEjectHealthyUpstreams) {
  World w;
  w.List(6);
  // Half of all requests fail everywhere: five consecutive failures happen by chance.
  std::uint64_t coin = 12345;
  int ejections = 0;
  for (int i = 0; i < 1500; ++i) {
    const std::size_t before = w.sent.size();
    w.Arrive(kUnsafe);
    w.now += 20ms;
    coin = coin * 6364136223846793005u + 1442695040888963407u;
    for (std::size_t k = before; k < w.sent.size(); ++k) {
      w.Finish(w.sent[k], (coin >> 40) % 2 == 0 ? Outcome::kTimeout : Outcome::kServed, true);
    }
  }
  for (const std::string& line : w.logs) ejections += line.find("ejected ") == 0;
  EXPECT_LE(ejections, 3);
}

TEST(EjectedUpstream, IsProbedByHedgesAndReturnsOnceItAnswers) {
  World w;
  w.List(4);
  w.FailRun("b", 5);
  ASSERT_TRUE(w.Logged("ejected b"));
  w.Advance(1500ms);
  const std::size_t before = w.sent.size();
  w.Arrive(kSafe);
  ASSERT_EQ(w.sent.size(), before + 2) << "the call and the copy that is the trial";
  EXPECT_NE(w.sent[before].upstream, "b");
  EXPECT_EQ(w.sent[before + 1].upstream, "b");
  w.now += 10ms;
  w.Answer(before);
  w.Serve();
  EXPECT_TRUE(w.Logged("returned b after it served on trial"));
}

TEST(EjectedUpstream, IsNotProbedByUnsafeRequests) {
  World w;
  w.List(4);
  w.FailRun("b", 5);
  w.Advance(1500ms);
  const std::size_t before = w.sent.size();
  w.Arrive(kUnsafe);
  EXPECT_EQ(w.sent.size(), before + 1);
}

TEST(EjectedUpstream, IsProbedLessOftenAfterEachFailure) {
  World w;
  w.List(3);
  w.FailRun("b", 5);
  int probes = 0;
  for (int i = 0; i < 300; ++i) {  // 30 s: after 1, 2, 4 and 8 s, then every 8
    const std::size_t before = w.sent.size();
    w.Arrive(kSafe);
    w.now += 10ms;
    probes += w.Answer(before, "b", Outcome::kTimeout);
    w.Advance(90ms);
  }
  EXPECT_GE(probes, 4);
  EXPECT_LE(probes, 6);
}

TEST(EjectedUpstream, IsUsedAsALastResortRatherThanRejectingAll) {
  World w;
  w.List(1);
  w.FailRun("a", 5);
  ASSERT_TRUE(w.Logged("ejected a"));
  w.Advance(1500ms);
  EXPECT_EQ(w.Serve(), "a");
}

TEST(AllEjected, RejectsWithRetryAfterAndLogsIt) {
  World w;
  w.List(1);
  w.FailRun("a", 5);
  const std::size_t refused = w.refused.size();
  w.Arrive(kUnsafe);
  EXPECT_EQ(w.refused.size(), refused + 1);
  EXPECT_GT(w.last_retry_after, 0ms);
  EXPECT_TRUE(w.Logged("refusing: no upstream can take a call"));
  w.Advance(70s);
  EXPECT_TRUE(w.Logged("taking calls again"));
  EXPECT_TRUE(w.Logged("returned a after its ejection"));
}

// With one value for all, rejected clients would retry together. One site allows 2 s, another deployment 200
// ms.
TEST(AllEjected, RetryAfterIsJitteredWithinItsSettings) {
  for (const auto longest : {20ms, 200ms, 1500ms, 2000ms, 20000ms}) {
    Settings settings = DefaultSettings();
    settings.limits.max_retry_after = longest;
    World w(settings);
    w.List(1);
    w.FailRun("a", 5);
    std::set<Duration> retry_afters;
    for (int i = 0; i < 40; ++i) {
      const std::size_t refused = w.refused.size();
      w.Arrive(kUnsafe);
      ASSERT_EQ(w.refused.size(), refused + 1);
      EXPECT_LE(w.last_retry_after, longest);
      EXPECT_GE(w.last_retry_after, std::min<Duration>(longest * 3 / 4, 1500ms));
      retry_afters.insert(w.last_retry_after);
    }
    EXPECT_GT(retry_afters.size(), 8U) << longest / 1ms;
  }
}

TEST(UnresponsiveUpstream, IsAvoidedBeforeFiveTimeouts) {
  World w;
  w.List(4);
  w.Spread(100);  // about 10 ms each
  for (int i = 0; i < 40; ++i) {
    const std::size_t before = w.sent.size();
    w.Arrive(kUnsafe);
    w.now += 10ms;
    for (std::size_t k = before; k < w.sent.size(); ++k) {
      if (w.sent[k].upstream != "c") w.Finish(w.sent[k], Outcome::kServed);
    }
  }
  int unresponsive = 0;
  for (std::size_t k = w.sent.size() - 40; k < w.sent.size(); ++k) unresponsive += w.sent[k].upstream == "c";
  EXPECT_LE(unresponsive, 2);
  EXPECT_FALSE(w.Logged("ejected"));
}

TEST(ArrivingRequest, CountsNoLatencyBeforeItIsComplete) {
  World w;
  w.List(3);
  w.Spread(60);
  RequestArrived e;
  e.request = RequestId{1000000};
  e.request_class = kUnsafe;
  e.deadline = w.now + 2s;
  e.arriving = true;
  const std::size_t before = w.sent.size();
  w.Do(e);
  ASSERT_EQ(w.sent.size(), before + 1);
  const Sent call = w.sent[before];
  EXPECT_EQ(call.timeout, Duration(2s));
  // No latency is counted yet: its upstream keeps its share and the request is not given up.
  const auto spread = w.Spread(60);
  EXPECT_GT(spread.at(call.upstream), 10);
  w.Advance(30s);
  EXPECT_GT(w.Spread(60)[call.upstream], 10);
  EXPECT_TRUE(w.failed.empty() && w.refused.empty());
  w.Do(RequestComplete{e.request, w.now + 2s});
  w.Advance(1900ms);
  EXPECT_TRUE(w.failed.empty());
  w.Advance(200ms);
  EXPECT_EQ(w.failed.size(), 1U);  // unsafe, and it may have run
}

TEST(ArrivingRequest, IsRetriedElsewhereWhenNothingRan) {
  World w;
  w.List(2);
  RequestArrived e;
  e.request = RequestId{1000000};
  e.request_class = kUnsafe;
  e.deadline = w.now + 2s;
  e.arriving = true;
  w.Do(e);
  ASSERT_EQ(w.sent.size(), 1U);
  w.Advance(5s);
  w.Finish(w.sent[0], Outcome::kFull);
  ASSERT_EQ(w.sent.size(), 2U);
  EXPECT_NE(w.sent[1].upstream, w.sent[0].upstream);
  // Its body is no longer buffered: further attempts prove that nothing has run.
  for (std::size_t i = 1; i < w.sent.size(); ++i) w.Finish(w.sent[i], Outcome::kNotSent);
  EXPECT_EQ(w.refused.size(), 1U);
  EXPECT_TRUE(w.failed.empty());
}

TEST(StartedAnswer, IsNotCountedInFlightAtItsUpstream) {
  World w;
  w.List(3);
  w.Spread(60);
  const std::size_t before = w.sent.size();
  w.Arrive(kSafe);
  const Sent call = w.sent[before];
  w.now += 10ms;
  w.Do(AnswerStarted{call.request, call.attempt});
  w.Advance(30s);  // the body still comes
  EXPECT_GT(w.Spread(60)[call.upstream], 10);
  const std::size_t sent = w.sent.size();
  w.Finish(call, Outcome::kReset, true);
  EXPECT_EQ(w.sent.size(), sent);  // the client has some of it
}

TEST(StartedAnswer, SurvivesTheCancelledHedges) {
  Settings settings = DefaultSettings();
  settings.limits.hedging = true;
  World w(settings);
  w.List(3);
  w.Spread(60);
  const std::size_t before = w.sent.size();
  const RequestId id = w.Arrive(kSafe);
  w.Advance(300ms);
  ASSERT_GE(w.sent.size(), before + 2);
  const Sent first = w.sent[before];
  const Sent hedge = w.sent[before + 1];
  w.Do(AnswerStarted{id, hedge.attempt});
  const std::vector<std::pair<RequestId, AttemptId>> called_off = {{id, first.attempt}};
  EXPECT_EQ(w.cancelled, called_off);
  w.Finish(first, Outcome::kCancelled, true);
  EXPECT_EQ(w.cancelled, called_off);
  // Its client disconnects: the remaining attempt is cancelled.
  w.Do(ClientDisconnected{id});
  EXPECT_EQ(w.cancelled.size(), 2U);
}

TEST(SlowUpstream, GetsFewerRequests) {
  World w;
  w.List(4);
  std::map<std::string, int> spread;
  for (int i = 0; i < 600; ++i) {
    const std::size_t before = w.sent.size();
    w.Arrive(kUnsafe);
    const Sent call = w.sent[before];
    w.now += call.upstream == "d" ? 40ms : 10ms;
    w.Finish(call, Outcome::kServed);
    if (i >= 200) ++spread[call.upstream];
  }
  EXPECT_LT(spread["d"], spread["a"] * 2 / 3);
  EXPECT_GT(spread["d"], 0);
}

// Half of its requests are never answered, the others fast: it has headroom, and the others cannot serve its
// whole share.
TEST(UnreliableUpstream, KeepsAShareByItsSuccessRate) {
  World w;
  w.List(4);
  int at_b = 0;
  for (int i = 0; i < 400; ++i) {
    const std::size_t before = w.sent.size();
    w.Arrive(kUnsafe);
    w.now += 10ms;
    ASSERT_EQ(w.sent.size(), before + 1);
    const bool b = w.sent[before].upstream == "b";
    w.Finish(w.sent[before], b && ++at_b % 2 == 0 ? Outcome::kTimeout : Outcome::kServed);
  }
  EXPECT_GT(at_b, 400 / 12);
  EXPECT_LT(at_b, 400 / 5);
  EXPECT_FALSE(w.Logged("refusing"));
}

TEST(FullUpstream, IsAvoidedBriefly) {
  World w;
  w.List(3);
  w.Spread(30);
  const std::size_t before = w.sent.size();
  w.Arrive(kUnsafe);
  const std::string full = w.sent[before].upstream;
  w.Finish(w.sent[before], Outcome::kFull);
  w.Answer(before + 1);
  for (int i = 0; i < 6; ++i) {
    w.Arrive(kUnsafe);
    EXPECT_NE(w.sent.back().upstream, full);
  }
}

TEST(LateRequest, IsHedgedToAnotherUpstream) {
  World w;
  w.List(4);
  w.Spread(100);
  const std::size_t before = w.sent.size();
  w.Arrive(kSafe);
  w.Advance(100ms);
  ASSERT_EQ(w.sent.size(), before + 2);
  EXPECT_NE(w.sent[before].upstream, w.sent[before + 1].upstream);
  w.Finish(w.sent[before + 1], Outcome::kServed);
  EXPECT_EQ(w.cancelled.back().second, AttemptId{0}) << "the loser is called off";
}

TEST(RetryBudget, BoundsFurtherAttempts) {
  World w;
  w.List(4);
  for (int i = 0; i < 500; ++i) {
    const std::size_t before = w.sent.size();
    w.Arrive(kSafe);
    w.now += 10ms;
    for (std::size_t k = before; k < w.sent.size(); ++k) w.Finish(w.sent[k], Outcome::kError);
  }
  EXPECT_LE(w.sent.size(), 500u + 150u + 10u + 50u) << "first tries, three tenths, the burst, and trials";
}

// Unsafe requests, one each `gap`, whose attempts end `time` after they were sent with `outcome`.
struct Load {
  // How many of them were admitted.
  std::size_t Run(
      int calls, Duration gap, Duration time,
      const std::function<Outcome(const Sent&)>& outcome = [](const Sent&) { return Outcome::kServed; }) {
    std::size_t admitted = 0;
    for (int i = 0; i < calls; ++i) {
      const std::size_t before = w.sent.size();
      w.Arrive(kUnsafe);
      admitted += w.sent.size() - before;
      for (std::size_t k = before; k < w.sent.size(); ++k) out.push_back(w.sent[k]);
      w.Advance(gap);
      while (!out.empty() && w.now - out.front().at >= time) {
        const Outcome end = outcome(out.front());
        w.Finish(out.front(), end, end != Outcome::kServed);
        out.pop_front();
      }
    }
    return admitted;
  }

  World& w;
  std::deque<Sent> out{};
};

TEST(Overload, LateAnswersShedAShareOfRequestsUntilAnswersAreInTimeAgain) {
  World w;
  w.List(4);
  Load load{w};
  const auto run = [&load](int calls, Duration time) { return load.Run(calls, 10ms, time); };
  EXPECT_EQ(run(300, 100ms), 300u);
  run(300, 390ms);  // the latency objective is 400 ms
  EXPECT_TRUE(w.Logged("refusing: overload"));
  EXPECT_LT(load.out.size(), 30u);
  run(600, 50ms);
  EXPECT_EQ(run(100, 50ms), 100u);
  EXPECT_TRUE(w.Logged("taking calls again"));
}

// After an overload the warm upstreams have almost no weight, so the few admitted requests go to upstreams in
// slow start, whose late answers do not count; their timely ones must.
TEST(Overload, EndsWhenAdmittedRequestsGoToWarmingUpstreams) {
  Settings s = DefaultSettings();
  s.rules = {.slow_start_initial_share = 0.5, .slow_start_duration = 1000s, .overload_multiple = 30};
  World w(s);
  std::vector<UpstreamInfo> list;
  for (const char* id : {"a", "b", "c", "d", "e", "f"}) {
    list.push_back(Up(id));
    list.back().zone = id;  // so that no zone becomes unavailable
  }
  w.Full(list);
  Load load{w};
  int jam = 0;  // of so many answers of a warm upstream one comes, late; the others never
  std::map<std::string, int> answers;
  const auto run = [&](int calls) {
    return load.Run(calls, 50ms, jam > 0 ? 390ms : 50ms, [&](const Sent& sent) {
      const bool times_out = jam > 0 && sent.upstream < "x" && ++answers[sent.upstream] % jam != 0;
      return times_out ? Outcome::kTimeout : Outcome::kServed;
    });
  };
  EXPECT_EQ(run(500), 500u);
  for (const char* id : {"x", "y"}) {
    list.push_back(Up(id));
    list.back().zone = id;
    list.back().started = w.now;
  }
  w.Full(list);
  for (jam = 2; jam < 5; ++jam) run(200);
  jam = 0;
  ASSERT_TRUE(w.Logged("refusing: overload"));
  run(10);
  const std::size_t first = w.sent.size();
  ASSERT_LT(run(100), 50u) << "most are refused";
  const auto warming_up = std::count_if(w.sent.begin() + static_cast<std::ptrdiff_t>(first), w.sent.end(),
                                        [](const Sent& sent) { return sent.upstream >= "x"; });
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
    World w(s);
    w.List(4);
    RequestArrived e;
    e.request = RequestId{1};
    e.deadline = w.now + 2s;
    e.work = work;
    w.Do(e);
    // Past the latency objective of 400 ms there is no further attempt, unless the objective has grown.
    w.Advance(500ms);
    const Sent first = w.sent.front();
    w.Finish(first, Outcome::kConnectFailed);
    return std::pair(first.timeout, w.refused.empty());
  };
  EXPECT_EQ(timeout(std::nullopt), std::pair(Duration(400ms), false));
  EXPECT_EQ(timeout(100ms), std::pair(Duration(600ms), true));
  EXPECT_EQ(timeout(10s), std::pair(Duration(2s), true))
      << "no call is worth waiting for beyond its deadline";
}

TEST(Discovery, IsSubscribedToAndAgainAfterAFailure) {
  Settings s = DefaultSettings();
  s.membership_on_request = true;
  World w(s);
  w.List(2);
  EXPECT_EQ(w.subscribed, 1);
  w.Do(MembershipUpdate{MembershipUpdate::Kind::kFailed, {}});
  EXPECT_EQ(w.subscribed, 1) << "not at once";
  w.Advance(s.rules.poll_within / 5 + 250ms);  // as src/discovery/news.cpp counts on
  EXPECT_EQ(w.subscribed, 2);
  EXPECT_GT(w.Spread(10)["a"], 0) << "the old list holds";
}

TEST(Settings, InvalidValuesAreNamed) {
  const auto named = [](auto change, const std::string& name) {
    Settings s = DefaultSettings();
    change(s);
    try {
      Balancer balancer(s, 1);
    } catch (const std::invalid_argument& e) {
      return std::string(e.what()).find(name) != std::string::npos;
    }
    return false;
  };
  EXPECT_TRUE(named([](Settings& s) { s.classes.clear(); }, "classes"));
  EXPECT_TRUE(named([](Settings& s) { s.classes[0].latency_objective = 0ms; }, "aim"));
  EXPECT_TRUE(named([](Settings& s) { s.classes[0].deadline = -1ms; }, "deadline"));
  EXPECT_TRUE(named([](Settings& s) { s.classes[2].key_window = 0ms; }, "key_window"));
  EXPECT_TRUE(named([](Settings& s) { s.limits.max_attempts = 0; }, "max_attempts"));
  EXPECT_TRUE(named([](Settings& s) { s.rules.slow_start_initial_share = 0; }, "cold_from"));
  EXPECT_TRUE(named([](Settings& s) { s.rules.slow_start_initial_share = 1.5; }, "cold_from"));
  EXPECT_TRUE(named([](Settings& s) { s.rules.slow_start_duration = 0ms; }, "cold_time"));
  EXPECT_TRUE(named([](Settings& s) { s.rules.overload_window = 0ms; }, "fall_window"));
  EXPECT_TRUE(named([](Settings& s) { s.rules.overload_multiple = 0; }, "fall_multiple"));
}

TEST(Determinism, SameEventsSameActions) {
  World a, b;
  for (World* w : {&a, &b}) {
    w->List(5);
    w->Spread(50);
    w->FailRun("c", 5);
    w->Spread(50);
    w->Advance(3s);
  }
  ASSERT_EQ(a.sent.size(), b.sent.size());
  for (std::size_t i = 0; i < a.sent.size(); ++i) EXPECT_EQ(a.sent[i].upstream, b.sent[i].upstream);
  EXPECT_EQ(a.logs, b.logs);
}

}  // namespace
}  // namespace mothrack::balancer::testing
