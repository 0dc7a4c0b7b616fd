// Many sidecars with a low request rate each: their aggregate behaviour, and what one can infer from few
// requests.
#include <algorithm>
#include <memory>
#include <set>

#include "balancer/helpers.h"

namespace mothrack::balancer::testing {
namespace {

// `count` sidecars that share nothing but their endpoint list.
std::vector<std::unique_ptr<World>> Fleet(int count, const Settings& settings = DefaultSettings()) {
  std::vector<std::unique_ptr<World>> fleet;
  for (int i = 0; i < count; ++i)
    fleet.push_back(std::make_unique<World>(settings, 1000 + static_cast<std::uint64_t>(i)));
  return fleet;
}

TEST(FleetStart, FirstRequestsSpreadOverTheWholeList) {
  std::map<std::string, int> spread;
  for (const auto& w : Fleet(500)) {
    w->List(20);
    ++spread[w->Serve()];
  }
  EXPECT_EQ(spread.size(), 20u);
  for (const auto& [id, calls] : spread) EXPECT_LT(calls, 60) << id << ", 25 are its share";
}

// One request served each second: the upstreams that served them. The rate is unknown during the first
// seconds.
std::map<std::string, int> ServeAtLowRate(World& w, int calls) {
  std::map<std::string, int> spread;
  for (int i = 0; i < calls; ++i) {
    w.Advance(1s);
    ++spread[w.Serve()];
  }
  return spread;
}

TEST(Subsetting, ALowRequestRateUsesFewUpstreams) {
  std::map<std::string, int> fleet;
  for (std::size_t sidecar_index = 0; sidecar_index < 100; ++sidecar_index) {
    Settings settings = DefaultSettings();
    settings.sidecar_count = 100;
    settings.sidecar_index = sidecar_index;
    World w(settings, 100 + sidecar_index);
    w.List(20);
    ServeAtLowRate(w, 4);
    const std::map<std::string, int> own = ServeAtLowRate(w, 20);
    EXPECT_LE(own.size(), 6u);
    EXPECT_GE(own.size(), 3u);
    for (const auto& [id, calls] : own) fleet[id] += calls;
  }
  ASSERT_EQ(fleet.size(), 20u);
  for (const auto& [id, calls] : fleet) EXPECT_LT(calls, 200) << id << ", 100 are its share";
}

TEST(Subsetting, AListChangeKeepsTheOtherMembersOfTheSubset) {
  World w;
  w.List(20);
  ServeAtLowRate(w, 5);
  const std::map<std::string, int> before = ServeAtLowRate(w, 20);
  UpstreamInfo removed = Up(before.begin()->first, UpstreamState::kGone);
  w.Change(removed);
  const std::map<std::string, int> after = ServeAtLowRate(w, 20);
  int retained = 0;
  for (const auto& [id, calls] : before) retained += static_cast<int>(after.count(id));
  EXPECT_GE(retained, static_cast<int>(before.size()) - 2);
  EXPECT_EQ(after.count(removed.id.value), 0u);
}

TEST(Subsetting, AHighRequestRateUsesTheWholeList) {
  World w;
  w.List(20);
  for (int i = 0; i < 300; ++i) {
    w.Advance(10ms);
    w.Serve();
  }
  EXPECT_EQ(w.Spread(200).size(), 20u);
}

// A hundred sidecars with a low rate each send an upstream in slow start a steady aggregate rate from its
// first second: a budget of a fraction of a request each must not make all of them wait until it is a whole
// one.
TEST(FleetSlowStart, LowRatesAddUpToTheBudgetFromTheFirstSecond) {
  constexpr int kSidecars = 100, kUpstreams = 20, kSeconds = 4;
  const auto calls = [](World& w, Duration time) {
    int to_new = 0;
    for (const TimePoint end = w.now + time; w.now < end;) {
      w.Advance(50ms);
      to_new += w.Serve(kUnsafe) == "z";  // some 16 a second
    }
    return to_new;
  };
  int sent = 0;
  for (const auto& w : Fleet(kSidecars)) {
    w->List(kUpstreams);
    calls(*w, 10s);
    UpstreamInfo warming_up = Up("z");
    warming_up.started = w->now;
    w->Change(warming_up);
    sent += calls(*w, Duration(1s) * kSeconds);
  }
  // Warm, it would get a 21st of all requests; in slow start it may get a tenth to a quarter of that. If each
  // sidecar waited for a budget of one whole request, or kept its turn meanwhile, it would get a third of
  // this.
  const double share = kSidecars * 16.5 * kSeconds / (kUpstreams + 1);
  EXPECT_GT(sent, 0.045 * share);
  EXPECT_LT(sent, 0.45 * share);
}

// The endpoint list states the minimum capacity of an upstream in slow start; its answers show the real one.
TEST(FleetSlowStart, WarmingUpstreamsOfUsualLatencyGetMoreThanTheMinimum) {
  const auto slow_start_requests = [](Duration warming_up_latency) {
    World w;
    w.List(6);
    for (int i = 0; i < 400; ++i) {
      w.Advance(15ms);
      w.Serve(kUnsafe);
    }
    for (const char* id : {"x", "y", "z"}) {
      UpstreamInfo warming_up = Up(id);
      warming_up.started = w.now - 2s;
      w.Change(warming_up);
    }
    int to_new = 0;
    for (int i = 0; i < 300; ++i) {
      w.Advance(15ms);
      const std::size_t before = w.sent.size();
      w.Arrive(kUnsafe);
      if (w.sent.size() == before) continue;
      const bool is_new = w.sent[before].upstream >= "x";
      to_new += is_new;
      w.now += is_new ? warming_up_latency : Duration(10ms);
      w.Finish(w.sent[before], Outcome::kServed);
    }
    return to_new;
  };
  const int slow = slow_start_requests(40ms), fast = slow_start_requests(10ms);
  EXPECT_GT(slow, 20);
  EXPECT_GT(fast, 1.25 * slow);
}

// Removed machines leave a record of connect failures; the machines that replace them have no connection yet.
TEST(FleetSlowStart, ConnectFailuresElsewhereDoNotDivertRequestsFromNewUpstreams) {
  World w;
  w.List(8);
  const auto serve = [&w](int calls) {
    int to_new = 0;
    for (int i = 0; i < calls; ++i) {
      const std::size_t before = w.sent.size();
      w.Arrive(kUnsafe);
      for (std::size_t k = before; k < w.sent.size(); ++k) {
        const std::string id = w.sent[k].upstream;
        to_new += id >= "x";
        w.now += 5ms;
        const bool removed = id >= "e" && id < "x";
        w.Finish(w.sent[k], removed ? Outcome::kConnectFailed : Outcome::kServed);
      }
      w.Advance(20ms);
    }
    return to_new;
  };
  serve(100);
  for (const char* id : {"x", "y", "z"}) {
    UpstreamInfo added = Up(id);
    added.started = w.now - 4s;
    w.Change(added);
  }
  EXPECT_GT(serve(200), 12);
}

// Two zones of six upstreams; `calls` requests 20 ms apart, those to an unresponsive zone time out. Returns
// how many went to "there", and how many were rejected.
struct TwoZones {
  TwoZones() {
    std::vector<UpstreamInfo> list;
    for (char id = 'a'; id < 'm'; ++id) {
      list.push_back(Up(std::string(1, id)));
      list.back().zone = id < 'g' ? "here" : "there";
    }
    w.Full(list);
  }
  std::pair<int, int> Call(int calls, bool unresponsive, ClassId cls = kUnsafe) {
    int there = 0;
    const std::size_t refused = w.refused.size();
    for (int i = 0; i < calls; ++i) {
      const std::size_t before = w.sent.size();
      w.Arrive(cls);
      w.now += 10ms;
      for (std::size_t k = before; k < w.sent.size(); ++k) {
        const bool far = w.sent[k].upstream >= "g";
        there += far;
        w.Finish(w.sent[k], far && unresponsive ? Outcome::kTimeout : Outcome::kServed);
      }
      w.Advance(10ms);
    }
    return {there, static_cast<int>(w.refused.size() - refused)};
  }
  World w;
};

TEST(UnavailableZone, IsAvoidedAfterThreeUnresponsiveUpstreamsUntilItsFirstAnswer) {
  TwoZones zones;
  EXPECT_GT(zones.Call(200, false).first, 80);
  EXPECT_LE(zones.Call(100, true).first, 4) << "not each of the six, twice";
  EXPECT_EQ(zones.Call(100, true).first, 0);
  // Safe requests probe it, at least one each half second.
  const int probes = zones.Call(150, true, kSafe).first;
  EXPECT_GE(probes, 1);
  EXPECT_LE(probes, 8);
  zones.Call(150, false, kSafe);
  EXPECT_GT(zones.Call(200, false).first, 60);
}

TEST(UnavailableZone, IsNotInferredFromOneUnresponsiveUpstream) {
  TwoZones zones;
  zones.Call(200, false);
  for (int i = 0; i < 100; ++i) {
    const std::size_t before = zones.w.sent.size();
    zones.w.Arrive(kUnsafe);
    zones.w.now += 10ms;
    zones.w.Answer(before, "g", Outcome::kTimeout);
    zones.w.Advance(10ms);
  }
  EXPECT_GT(zones.Call(100, false).first, 25);
}

TEST(UnavailableZone, LoadOnTheOtherZoneIsShedBeforeAnswersAreLateUntilItCopes) {
  TwoZones zones;
  EXPECT_EQ(zones.Call(400, false).second, 0);
  EXPECT_GE(zones.Call(60, true).second, 1) << "half of it is gone, and nothing is late yet";
  zones.Call(400, true);
  EXPECT_LE(zones.Call(100, true).second, 2);
}

TEST(HeterogeneousUpstreams, RegisteredWeightsAreNotCountedTwice) {
  World w;
  std::vector<UpstreamInfo> list;
  for (const char id : {'a', 'b', 'c', 'd'}) {
    list.push_back(Up(std::string(1, id)));
    list.back().kind = id < 'c' ? "slow" : "fast";
    list.back().weight = id < 'c' ? 1 : 2;
  }
  w.Full(list);
  std::map<std::string, int> calls;
  for (int i = 0; i < 600; ++i) {
    const std::size_t before = w.sent.size();
    w.Arrive(kUnsafe);
    const bool slow = w.sent[before].upstream < "c";
    if (i >= 200) ++calls[slow ? "slow" : "fast"];
    w.now += slow ? 40ms : 20ms;
    w.Finish(w.sent[before], Outcome::kServed);
  }
  EXPECT_NEAR(calls["fast"], 2 * calls["slow"], 60) << "as their sizes say, though one answers twice as fast";
}

TEST(HeterogeneousUpstreams, ANewUpstreamStartsWithTheLatencyOfItsKind) {
  World w;
  std::vector<UpstreamInfo> list;
  for (const char id : {'a', 'b', 'c', 'd', 'e', 'f'}) {
    list.push_back(Up(std::string(1, id)));
    list.back().kind = id < 'd' ? "slow" : "fast";
  }
  w.Full(list);
  const auto serve = [&w] {
    const std::size_t before = w.sent.size();
    w.Arrive(kUnsafe);
    const bool slow = w.sent[before].upstream < "d";
    w.now += slow ? 60ms : 20ms;
    w.Finish(w.sent[before], Outcome::kServed);
  };
  for (int i = 0; i < 60; ++i) serve();
  // Six more, three of each kind; none has answered yet.
  for (const char id : {'u', 'v', 'w', 'x', 'y', 'z'}) {
    UpstreamInfo info = Up(std::string(1, id));
    info.kind = id < 'x' ? "slow" : "fast";
    w.Change(info);
  }
  int fast = 0, slow = 0;
  for (int i = 0; i < 200; ++i) {
    const std::size_t before = w.sent.size();
    w.Arrive(kUnsafe);
    const std::string& id = w.sent[before].upstream;
    fast += id >= "x";
    slow += id >= "u" && id < "x";
    w.now += 1ms;
    w.Finish(w.sent[before], Outcome::kCancelled);  // teaches nothing
  }
  EXPECT_GT(fast, 2 * slow);
}

// ---- Load probes ----

Settings Reporting() {
  Settings settings = DefaultSettings();
  settings.load_by_probe = settings.limits.probes = true;
  settings.prices.probe = 0.002;
  return settings;
}

void Report(World& w, const std::string& id, double in_flight, double rate = 0) {
  LoadReport load;
  load.in_flight = in_flight;
  load.rate = rate;
  w.Do(ProbeEnded{{id}, Outcome::kServed, 1ms, load});
}

TEST(LoadProbing, TheLeastLoadedCandidateGetsTheRequest) {
  World w(Reporting());
  w.List(6);
  for (int i = 0; i < 12; ++i) {
    w.probed.clear();
    const std::size_t before = w.sent.size();
    w.Arrive(kUnsafe);
    ASSERT_EQ(w.probed.size(), 3u);
    ASSERT_EQ(w.sent.size(), before) << "waits for the reports";
    const std::vector<std::string> probed = w.probed;
    Report(w, probed[0], 9);
    Report(w, probed[1], 2);
    Report(w, probed[2], 5);
    ASSERT_EQ(w.sent.size(), before + 1);
    EXPECT_EQ(w.sent.back().upstream, probed[1]);
    w.now += 10ms;
    w.Finish(w.sent.back(), Outcome::kServed);
  }
}

TEST(LoadProbing, AnUnansweredProbeDelaysTheRequestBrieflyAndIsAFailure) {
  World w(Reporting());
  w.List(6);
  w.Arrive(kUnsafe);
  const std::string unresponsive = w.probed[0], answering = w.probed[1];
  Report(w, answering, 50);
  EXPECT_TRUE(w.sent.empty());
  w.Advance(30ms);
  ASSERT_EQ(w.sent.size(), 1u) << "one attempt, no copy of a call that is not late";
  EXPECT_EQ(w.sent.back().upstream, answering) << "of those that answered";
  w.Finish(w.sent.back(), Outcome::kServed);
  for (int i = 0; i < 2; ++i) w.Do(ProbeEnded{{unresponsive}, Outcome::kTimeout, 400ms, {}});
  w.probed.clear();
  for (int i = 0; i < 5; ++i) w.Arrive(kUnsafe);
  EXPECT_EQ(std::count(w.probed.begin(), w.probed.end(), unresponsive), 0) << "a suspect now";
}

TEST(LoadProbing, ARequestThatEndsWhileItWaitsIsNotSent) {
  World w(Reporting());
  w.List(6);
  const RequestId cancelled = w.Arrive(kUnsafe);
  w.Do(ClientDisconnected{cancelled});
  for (const std::string& id : std::vector<std::string>(w.probed)) Report(w, id, 1);
  w.Advance(3s);
  EXPECT_TRUE(w.sent.empty());
  EXPECT_TRUE(w.refused.empty());
}

TEST(OverloadedFleet, ARequestIsRejectedWhenAllProbedUpstreamsAreOverloaded) {
  World w(Reporting());
  w.List(6);
  const RequestId late = w.Arrive(kUnsafe);  // its latency objective is 400 ms
  for (const std::string& id : std::vector<std::string>(w.probed)) Report(w, id, 40, 50);
  EXPECT_TRUE(w.sent.empty());
  ASSERT_EQ(w.refused.size(), 1u);
  EXPECT_EQ(w.refused.back(), late);
  EXPECT_TRUE(w.Logged("refusing: overload, upstreams hold more than they can serve in time"));
  w.probed.clear();
  w.Arrive(kUnsafe);
  const std::vector<std::string> probed = w.probed;
  for (const std::string& id : probed) Report(w, id, id == probed[2] ? 10 : 40, 50);
  ASSERT_EQ(w.sent.size(), 1u);
  EXPECT_EQ(w.sent.back().upstream, probed[2]);
}

TEST(OverloadedFleet, AnUnsafeRequestTimesOutAtItsLatencyObjectiveOnlyUnderOverload) {
  World w;
  w.List(4);
  w.Arrive(kUnsafe);
  EXPECT_EQ(w.sent.back().timeout, Duration(2s));
  w.Finish(w.sent.back(), Outcome::kServed);
  for (int i = 0; i < 40; ++i) {  // answers past their latency objective of 400 ms
    const std::size_t before = w.sent.size();
    w.Arrive(kUnsafe);
    w.Advance(500ms);
    if (w.sent.size() > before) w.Finish(w.sent[before], Outcome::kServed);
  }
  const std::size_t before = w.sent.size();
  for (int i = 0; i < 10 && w.sent.size() == before; ++i) w.Arrive(kUnsafe);
  ASSERT_GT(w.sent.size(), before);
  EXPECT_EQ(w.sent.back().timeout, Duration(400ms));
}

TEST(ConnectFailures, RequestsPreferOpenConnectionsWhileConnectingFails) {
  World w;
  w.List(6);
  std::set<std::string> connected;
  for (int i = 0; i < 3; ++i) connected.insert(w.Serve(kUnsafe));
  // Connecting to any other upstream fails.
  for (int i = 0; i < 60; ++i) {
    const std::size_t before = w.sent.size();
    w.Arrive(kUnsafe);
    for (std::size_t k = before; k < w.sent.size(); ++k) {
      w.now += 5ms;
      const bool has = connected.count(w.sent[k].upstream) > 0;
      w.Finish(w.sent[k], has ? Outcome::kServed : Outcome::kConnectFailed);
    }
    w.Advance(20ms);
  }
  int elsewhere = 0;
  for (int i = 0; i < 30; ++i) elsewhere += connected.count(w.Serve(kUnsafe)) == 0;
  EXPECT_EQ(elsewhere, 0);
}

TEST(StaleIdleConnections, AreClosedBeforeTheAgeAtWhichOneWasFoundDropped) {
  World w;
  w.List(1);
  w.Serve(kUnsafe);
  w.Advance(2s);
  EXPECT_EQ(w.Serve(kUnsafe), "a");
  EXPECT_TRUE(w.closed.empty()) << "trusted until one is found dropped";
  w.Advance(2s);
  w.Arrive(kUnsafe);
  w.now += 1ms;
  w.Finish(w.sent.back(), Outcome::kReset);
  w.Serve(kUnsafe);
  w.Advance(1500ms);
  w.Serve(kUnsafe);
  EXPECT_EQ(w.closed, std::vector<std::string>{"a"}) << "idle for longer than half of that";
  w.Advance(500ms);
  w.Serve(kUnsafe);
  EXPECT_EQ(w.closed.size(), 1u) << "used not long ago";
  w.Advance(90s);
  w.Serve(kUnsafe);
  w.closed.clear();
  w.Advance(10s);
  w.Serve(kUnsafe);
  EXPECT_TRUE(w.closed.empty()) << "trusted again with time";
}

TEST(StaleIdleConnections, AreNotInferredFromAResetDuringARequest) {
  World w;
  w.List(1);
  w.Serve(kUnsafe);
  w.Advance(2s);
  w.Arrive(kUnsafe);
  w.now += 200ms;
  w.Finish(w.sent.back(), Outcome::kReset);
  w.Serve(kUnsafe);
  w.Advance(1500ms);
  w.Serve(kUnsafe);
  EXPECT_TRUE(w.closed.empty());
}

}  // namespace
}  // namespace mothrack::balancer::testing
