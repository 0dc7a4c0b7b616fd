// Many sidecars with a trickle of calls each: what they do in sum, and what one can know from so few calls.
#include <algorithm>
#include <memory>
#include <set>

#include "balancer/helpers.h"

namespace mothrack::balancer::testing {
namespace {

// `count` sidecars that share nothing but the list they are told.
std::vector<std::unique_ptr<World>> Fleet(int count, const Settings& settings = DefaultSettings()) {
  std::vector<std::unique_ptr<World>> fleet;
  for (int i = 0; i < count; ++i)
    fleet.push_back(std::make_unique<World>(settings, 1000 + static_cast<std::uint64_t>(i)));
  return fleet;
}

TEST(RushAtStart, FirstCallsOfAFleetSpreadOverTheWholeList) {
  std::map<std::string, int> spread;
  for (const auto& w : Fleet(500)) {
    w->List(20);
    ++spread[w->Serve()];
  }
  EXPECT_EQ(spread.size(), 20u);
  for (const auto& [id, calls] : spread) EXPECT_LT(calls, 60) << id << ", 25 are its share";
}

// A trickle: a call served every second, after the first seconds in which the rate is not known yet.
std::map<std::string, int> Trickle(World& w, int calls) {
  std::map<std::string, int> spread;
  for (int i = 0; i < calls; ++i) {
    w.Advance(1s);
    ++spread[w.Serve()];
  }
  return spread;
}

TEST(ColdConnections, ATrickleKeepsToAFewUpstreams) {
  std::map<std::string, int> fleet;
  for (std::size_t self = 0; self < 100; ++self) {
    Settings settings = DefaultSettings();
    settings.sidecar_count = 100;
    settings.sidecar_index = self;
    World w(settings, 100 + self);
    w.List(20);
    Trickle(w, 4);
    const std::map<std::string, int> own = Trickle(w, 20);
    EXPECT_LE(own.size(), 6u);
    EXPECT_GE(own.size(), 3u);
    for (const auto& [id, calls] : own) fleet[id] += calls;
  }
  ASSERT_EQ(fleet.size(), 20u);
  for (const auto& [id, calls] : fleet) EXPECT_LT(calls, 200) << id << ", 100 are its share";
}

TEST(ColdConnections, AChangeOfTheListLeavesTheRestOfTheSubset) {
  World w;
  w.List(20);
  Trickle(w, 5);
  const std::map<std::string, int> before = Trickle(w, 20);
  UpstreamInfo gone = Up(before.begin()->first, UpstreamState::kGone);
  w.Change(gone);
  const std::map<std::string, int> after = Trickle(w, 20);
  int kept = 0;
  for (const auto& [id, calls] : before) kept += static_cast<int>(after.count(id));
  EXPECT_GE(kept, static_cast<int>(before.size()) - 2);
  EXPECT_EQ(after.count(gone.id.value), 0u);
}

TEST(ColdConnections, WithCallsEnoughItIsTheWholeList) {
  World w;
  w.List(20);
  for (int i = 0; i < 300; ++i) {
    w.Advance(10ms);
    w.Serve();
  }
  EXPECT_EQ(w.Spread(200).size(), 20u);
}

// What a hundred sidecars with a trickle each may send a cold upstream is, in sum, a flow from its first
// second on: a budget that is a fraction of a call for each must not make all of them wait until it is a
// whole one.
TEST(SlowStartOfAFleet, ATrickleFromEachAddsUpToTheBudgetFromTheFirstSecondOn) {
  constexpr int kSidecars = 100, kUpstreams = 20, kSeconds = 4;
  const auto calls = [](World& w, Duration time) {
    int cold = 0;
    for (const TimePoint end = w.now + time; w.now < end;) {
      w.Advance(50ms);
      cold += w.Serve(kUnsafe) == "z";  // some 16 a second
    }
    return cold;
  };
  int sent = 0;
  for (const auto& w : Fleet(kSidecars)) {
    w->List(kUpstreams);
    calls(*w, 10s);
    UpstreamInfo cold = Up("z");
    cold.started = w->now;
    w->Change(cold);
    sent += calls(*w, Duration(1s) * kSeconds);
  }
  // Warm it would take a 21st of all; cold it can take a tenth to a quarter of that, and is owed no more.
  // Where each waits for a whole call of its budget first, or its turn stands still meanwhile, it is sent a
  // third of this.
  const double share = kSidecars * 16.5 * kSeconds / (kUpstreams + 1);
  EXPECT_GT(sent, 0.045 * share);
  EXPECT_LT(sent, 0.45 * share);
}

// The list tells the least that a cold upstream can; its answers tell what it can.
TEST(SlowStartOfAFleet, ColdUpstreamsThatAnswerLikeWarmOnesGetMoreThanTheirLeast) {
  const auto cold_calls = [](Duration cold_time) {
    World w;
    w.List(6);
    for (int i = 0; i < 400; ++i) {
      w.Advance(15ms);
      w.Serve(kUnsafe);
    }
    for (const char* id : {"x", "y", "z"}) {
      UpstreamInfo cold = Up(id);
      cold.started = w.now - 2s;
      w.Change(cold);
    }
    int cold = 0;
    for (int i = 0; i < 300; ++i) {
      w.Advance(15ms);
      const std::size_t before = w.sent.size();
      w.Arrive(kUnsafe);
      if (w.sent.size() == before) continue;
      const bool to_cold = w.sent[before].upstream >= "x";
      cold += to_cold;
      w.now += to_cold ? cold_time : Duration(10ms);
      w.Finish(w.sent[before], Outcome::kServed);
    }
    return cold;
  };
  const int slow = cold_calls(40ms), fast = cold_calls(10ms);
  EXPECT_GT(slow, 20);
  EXPECT_GT(fast, 1.25 * slow);
}

// Machines that are gone fill a sidecar's memory with failures to connect; those that replace them have no
// connection.
TEST(SlowStartOfAFleet, FailuresToConnectElsewhereKeepNobodyFromNewUpstreams) {
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
        const bool gone = id >= "e" && id < "x";
        w.Finish(w.sent[k], gone ? Outcome::kConnectFailed : Outcome::kServed);
      }
      w.Advance(20ms);
    }
    return to_new;
  };
  serve(100);
  for (const char* id : {"x", "y", "z"}) {
    UpstreamInfo fresh = Up(id);
    fresh.started = w.now - 4s;
    w.Change(fresh);
  }
  EXPECT_GT(serve(200), 12);
}

// Two halls of six; `calls` calls 20 ms apart, those to a silent hall time out. How many went to "there", and
// how many were refused.
struct Halls {
  Halls() {
    std::vector<UpstreamInfo> list;
    for (char id = 'a'; id < 'm'; ++id) {
      list.push_back(Up(std::string(1, id)));
      list.back().zone = id < 'g' ? "here" : "there";
    }
    w.Full(list);
  }
  std::pair<int, int> Call(int calls, bool silent, ClassId cls = kUnsafe) {
    int there = 0;
    const std::size_t refused = w.refused.size();
    for (int i = 0; i < calls; ++i) {
      const std::size_t before = w.sent.size();
      w.Arrive(cls);
      w.now += 10ms;
      for (std::size_t k = before; k < w.sent.size(); ++k) {
        const bool far = w.sent[k].upstream >= "g";
        there += far;
        w.Finish(w.sent[k], far && silent ? Outcome::kTimeout : Outcome::kServed);
      }
      w.Advance(10ms);
    }
    return {there, static_cast<int>(w.refused.size() - refused)};
  }
  World w;
};

TEST(LostZone, IsPassedOverOnceThreeOfItSayNothingAndBackWithItsFirstAnswer) {
  Halls halls;
  EXPECT_GT(halls.Call(200, false).first, 80);
  EXPECT_LE(halls.Call(100, true).first, 4) << "not each of the six, twice";
  EXPECT_EQ(halls.Call(100, true).first, 0);
  // Calls that may be repeated try it out, one in half a second at least.
  const int trials = halls.Call(150, true, kSafe).first;
  EXPECT_GE(trials, 1);
  EXPECT_LE(trials, 8);
  halls.Call(150, false, kSafe);
  EXPECT_GT(halls.Call(200, false).first, 60);
}

TEST(LostZone, OneSilentUpstreamLosesNoZone) {
  Halls halls;
  halls.Call(200, false);
  for (int i = 0; i < 100; ++i) {
    const std::size_t before = halls.w.sent.size();
    halls.w.Arrive(kUnsafe);
    halls.w.now += 10ms;
    halls.w.Answer(before, "g", Outcome::kTimeout);
    halls.w.Advance(10ms);
  }
  EXPECT_GT(halls.Call(100, false).first, 25);
}

TEST(LostZone, TheRestIsSparedBeforeItsAnswersAreLateAndServesAllOnceItCan) {
  Halls halls;
  EXPECT_EQ(halls.Call(400, false).second, 0);
  EXPECT_GE(halls.Call(60, true).second, 1) << "half of it is gone, and nothing is late yet";
  halls.Call(400, true);
  EXPECT_LE(halls.Call(100, true).second, 2);
}

TEST(UnequalMachines, RegisteredSizesAreNotCountedTwice) {
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

TEST(UnequalMachines, AnUpstreamNeverMetIsTakenForItsKind) {
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
  // Six more, three of each kind; none of them has answered anything yet.
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

// ---- Where upstreams tell their load when probed ----

Settings Reporting() {
  Settings settings = DefaultSettings();
  settings.load_by_probe = settings.limits.probes = true;
  settings.prices.probe = 0.002;
  return settings;
}

void Report(World& w, const std::string& id, double held, double rate = 0) {
  LoadReport load;
  load.in_flight = held;
  load.rate = rate;
  w.Do(ProbeEnded{{id}, Outcome::kServed, 1ms, load});
}

TEST(OtherSidecarsQueues, TheLeastLoadedOfTheNextInTurnTakesTheCall) {
  World w(Reporting());
  w.List(6);
  for (int i = 0; i < 12; ++i) {
    w.probed.clear();
    const std::size_t before = w.sent.size();
    w.Arrive(kUnsafe);
    ASSERT_EQ(w.probed.size(), 3u);
    ASSERT_EQ(w.sent.size(), before) << "waits for the reports";
    const std::vector<std::string> asked = w.probed;
    Report(w, asked[0], 9);
    Report(w, asked[1], 2);
    Report(w, asked[2], 5);
    ASSERT_EQ(w.sent.size(), before + 1);
    EXPECT_EQ(w.sent.back().upstream, asked[1]);
    w.now += 10ms;
    w.Finish(w.sent.back(), Outcome::kServed);
  }
}

TEST(OtherSidecarsQueues, ASilentProbeHoldsACallForAMomentAndIsAFailure) {
  World w(Reporting());
  w.List(6);
  w.Arrive(kUnsafe);
  const std::string silent = w.probed[0], well = w.probed[1];
  Report(w, well, 50);
  EXPECT_TRUE(w.sent.empty());
  w.Advance(30ms);
  ASSERT_EQ(w.sent.size(), 1u) << "one attempt, no copy of a call that is not late";
  EXPECT_EQ(w.sent.back().upstream, well) << "of those that answered";
  w.Finish(w.sent.back(), Outcome::kServed);
  for (int i = 0; i < 2; ++i) w.Do(ProbeEnded{{silent}, Outcome::kTimeout, 400ms, {}});
  w.probed.clear();
  for (int i = 0; i < 5; ++i) w.Arrive(kUnsafe);
  EXPECT_EQ(std::count(w.probed.begin(), w.probed.end(), silent), 0) << "a suspect now";
}

TEST(OtherSidecarsQueues, ACallThatEndsWhileItWaitsIsNotSent) {
  World w(Reporting());
  w.List(6);
  const RequestId gone = w.Arrive(kUnsafe);
  w.Do(ClientDisconnected{gone});
  for (const std::string& id : std::vector<std::string>(w.probed)) Report(w, id, 1);
  w.Advance(3s);
  EXPECT_TRUE(w.sent.empty());
  EXPECT_TRUE(w.refused.empty());
}

TEST(JammedFleet, ACallIsRefusedWhereAllThatWereAskedHoldTooMuch) {
  World w(Reporting());
  w.List(6);
  const RequestId late = w.Arrive(kUnsafe);  // its aim is 400 ms
  for (const std::string& id : std::vector<std::string>(w.probed)) Report(w, id, 40, 50);
  EXPECT_TRUE(w.sent.empty());
  ASSERT_EQ(w.refused.size(), 1u);
  EXPECT_EQ(w.refused.back(), late);
  EXPECT_TRUE(w.Logged("refusing: overload, upstreams hold more than they can serve in time"));
  w.probed.clear();
  w.Arrive(kUnsafe);
  const std::vector<std::string> asked = w.probed;
  for (const std::string& id : asked) Report(w, id, id == asked[2] ? 10 : 40, 50);
  ASSERT_EQ(w.sent.size(), 1u);
  EXPECT_EQ(w.sent.back().upstream, asked[2]);
}

TEST(JammedFleet, ACallThatMayNotBeRepeatedIsGivenUpAtItsAimUnderOverloadOnly) {
  World w;
  w.List(4);
  w.Arrive(kUnsafe);
  EXPECT_EQ(w.sent.back().timeout, Duration(2s));
  w.Finish(w.sent.back(), Outcome::kServed);
  for (int i = 0; i < 40; ++i) {  // answers past their aim of 400 ms
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

TEST(SlowHandshakes, CallsKeepToConnectionsWhileConnectingFails) {
  World w;
  w.List(6);
  std::set<std::string> connected;
  for (int i = 0; i < 3; ++i) connected.insert(w.Serve(kUnsafe));
  // Whoever else is called gets no connection.
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

TEST(ConnectionsDroppedUnseen, IdleOnesAreClosedBeforeTheAgeAtWhichOneWasFoundDropped) {
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

TEST(ConnectionsDroppedUnseen, AResetInTheMiddleOfACallSaysNothingOfIdleOnes) {
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
