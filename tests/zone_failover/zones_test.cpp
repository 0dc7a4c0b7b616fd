// The tables of docs/design/zones.md row by row, and histories of evidence drawn from seeds against config
// that must hold whatever is told. HISTORIES sets how many, HISTORIES_FROM the first seed (1).
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <random>
#include <sstream>

#include "support/tables.h"
#include "zone_failover/decision.h"
#include "zone_failover/evidence_codec.h"
#include "zone_failover/fair_share.h"
#include "zone_failover/observer.h"
#include "zone_failover/state_machine.h"
#include "zone_failover/traffic_plan.h"
#include "zone_failover/votes.h"

namespace mothrack::zone_failover {
namespace {

using std::chrono::milliseconds;
using testing::Row;
using testing::TableOf;

const std::vector<std::string> kNames = {"a", "b", "c"};
const std::vector<std::string> kPhases = {"in", "suspect", "leaving", "left", "returning"};
const std::vector<std::string> kConditions = {"alone", "leave", "stay",    "return", "last", "late",
                                              "lost",  "doubt", "unknown", "proved", "well"};
const std::vector<std::string> kActions = {"keep",   "watch",   "leave",     "move",    "try",
                                           "return", "step on", "step back", "put back"};
TimePoint At(int ms) { return TimePoint(milliseconds(1'000'000 + ms)); }

template <typename T>
T Named(const std::vector<std::string>& names, const std::string& name) {
  const auto it = std::find(names.begin(), names.end(), name);
  if (it == names.end()) throw std::runtime_error("no " + name);
  return static_cast<T>(it - names.begin());
}

// What a member says of each zone: w(ell), s(ilent), l(ate), or nothing.
EvidenceReport ReportOf(const MemberId& owner, const std::string& verdicts, std::uint16_t sent = 10,
                        const std::vector<ReportedState>& reported = {}) {
  auto evidence = std::make_shared<Evidence>();
  evidence->own_zone = IdOf(owner.zone);
  for (std::size_t i = 0; i < kNames.size(); ++i) {
    ZoneEvidence z;
    z.zone = IdOf(kNames[i]);
    z.upstreams = 10;
    if (i < reported.size()) z.reported = reported[i];
    if (verdicts[i] == 'w' || verdicts[i] == 'l')
      z.sent = z.answered = sent, z.in_time = verdicts[i] == 'w' ? sent : 0;
    if (verdicts[i] == 's') z.sent = z.unanswered = z.unanswered_run = sent, z.run_upstreams = 9;
    evidence->zones.push_back(z);
  }
  return {owner, Duration(100), evidence};
}

struct Fleet {
  MemberList members;
  std::vector<EvidenceReport> reports;
  explicit Fleet(std::size_t each = 4) : members{{"b0", "b"}, {}, {"a", "b", "c"}, 3 * each} {
    for (const std::string& zone : kNames) {
      for (std::size_t i = 0; i < each; ++i) members.live.push_back({zone + std::to_string(i), zone});
    }
  }
  // `outside`: how many of those outside `a` say the first thing, the rest says the other.
  void Report(const std::string& some, std::size_t outside, const std::string& rest) {
    reports.clear();
    std::size_t i = 0;
    for (const MemberId& p : members.live)
      reports.push_back(ReportOf(p, p.zone != "a" && i++ < outside ? some : rest));
  }
};

// ---- Tables ----

TEST(ZoneTables, EveryStateAndConditionIsOnceInThePageAndAsInTheCode) {
  std::set<std::pair<std::string, std::string>> seen;
  for (const Row& row : TableOf(MOTHRACK_ZONES_PAGE, "Rules of a zone")) {
    EXPECT_TRUE(seen.emplace(row.at("state"), row.at("condition")).second)
        << row.at("state") << row.at("condition");
    const Transition transition = TransitionFor(Named<Phase>(kPhases, row.at("state")),
                                                Named<Condition>(kConditions, row.at("condition")));
    EXPECT_EQ(transition.to, Named<Phase>(kPhases, row.at("becomes")))
        << row.at("state") << ' ' << row.at("condition");
    EXPECT_EQ(transition.action, Named<Action>(kActions, row.at("action")))
        << row.at("state") << ' ' << row.at("condition");
  }
  EXPECT_EQ(seen.size(), kPhases.size() * kConditions.size());
}

// The same rows by evidence that gives the condition, through the whole decision.
TEST(ZoneTables, EveryRowIsWhatEvidenceDoes) {
  for (const Row& row : TableOf(MOTHRACK_ZONES_PAGE, "Rules of a zone")) {
    const std::string condition = row.at("condition");
    Fleet fleet;
    ZoneStates before;
    for (const std::string& name : kNames)
      before[name].share_updated = At(-60'000), before[name].since = At(-60'000);
    ZoneState& a = before["a"];
    a.phase = Named<Phase>(kPhases, row.at("state"));
    a.step = a.phase == Phase::kRecovering ? 2 : a.phase == Phase::kDraining ? 1 : 0;
    a.generation = 7;
    a.baseline_load = 100;
    a.shifted = 250;
    a.drain_started = At(-60'000);
    if (condition == "doubt" || condition == "late") a.share = 500;
    std::vector<OperatorOverride> overrides;
    if (condition == "leave" || condition == "stay" || condition == "return") {
      const std::map<std::string, OverrideKind> kinds{
          {"leave", OverrideKind::kDrain}, {"stay", OverrideKind::kHold}, {"return", OverrideKind::kRecover}};
      overrides.push_back({"a", kinds.at(condition), 1, "ann", "a test", At(60'000)});
    }
    fleet.Report("www", 8, "www");
    if (condition == "alone") fleet.members.known_members = 100;
    if (condition == "lost") fleet.Report("sww", 8, "www");
    if (condition == "last") fleet.Report("ssw", 8, "www"), before["c"].phase = Phase::kDrained;
    if (condition == "late") fleet.Report("sll", 6, "lll");
    if (condition == "doubt") fleet.Report("sww", 4, "www");
    if (condition == "unknown") fleet.Report("-ww", 8, "-ww");
    if (condition == "well") fleet.Report("lww", 0, "lww"), a.since = At(-1000), a.drain_started = At(-1000);
    const ZoneStates after = Decide(before, kNames, fleet.reports, overrides, fleet.members, {}, At(0));
    const ZoneState& z = after.at("a");
    EXPECT_EQ(kPhases[static_cast<std::size_t>(z.phase)], row.at("becomes"))
        << row.at("state") << ' ' << condition;
    const std::string& action = row.at("action");
    if (action == "step on") {
      EXPECT_EQ(z.step, 3);
    }
    if (action == "step back") {
      EXPECT_EQ(z.step, 1);
    }
    if (action == "move") {
      EXPECT_EQ(z.shifted, 500) << condition;
    }
    if (action == "return") {
      EXPECT_EQ(z.step, 1);
    }
    if (action == "put back") {
      EXPECT_EQ(z.share, 0);
    }
    if (action == "leave" && condition == "lost") {
      EXPECT_EQ(z.share, 0);
    }
    if (action == "keep" && row.at("state") == row.at("becomes")) {
      EXPECT_EQ(z.generation, 7U);
    }
  }
}

std::map<std::string, int> ByZone(const std::string& cell) {
  std::map<std::string, int> members;
  std::istringstream in(cell);
  for (std::string word; in >> word;) members[word.substr(0, 1)] = std::stoi(word.substr(1));
  return members;
}

TEST(ZoneTables, Quorum) {
  for (const Row& row : TableOf(MOTHRACK_ZONES_PAGE, "Quorum")) {
    MemberList members;
    members.known_members = std::stoul(row.at("known"));
    for (const auto& [zone, count] : ByZone(row.at("live"))) {
      for (int i = 0; i < count; ++i) members.live.push_back({zone + std::to_string(i), zone});
    }
    members.local = members.live.front();
    const bool two = members.known_members == 40 || members.known_members == 30;
    members.zones = members.known_members == 1 ? std::set<std::string>{"a"}
                    : two                      ? std::set<std::string>{"a", "b"}
                                               : std::set<std::string>{"a", "b", "c"};
    std::vector<EvidenceReport> reports;
    for (const std::string say : {"silent", "well"}) {
      bool first = true;
      for (const auto& [zone, count] : ByZone(row.at(say))) {
        for (int i = 0; i < count; ++i) {
          const bool busy = first && row.at("busy") == say;
          first = false;
          reports.push_back(ReportOf({zone + say + std::to_string(i), zone}, say == "silent" ? "sww" : "www",
                                     busy ? 10'000 : 10));
        }
      }
    }
    EXPECT_EQ(HasQuorum(CountVotes("a", reports, members, {}), {}) ? "lost" : "no", row.at("verdict"))
        << row.at("live") << " | " << row.at("silent") << " | " << row.at("well");
  }
}

TEST(ZoneTables, WordsOfOperators) {
  for (const Row& row : TableOf(MOTHRACK_ZONES_PAGE, "Words of operators")) {
    std::vector<OperatorOverride> overrides;
    std::istringstream in(row.at("words"));
    for (std::string one; std::getline(in, one, ',');) {
      std::istringstream of(one);
      std::string owner, kind, over;
      std::uint64_t number = 0;
      of >> owner >> kind >> number >> over;
      const OverrideKind k = kind == "leave"    ? OverrideKind::kDrain
                             : kind == "return" ? OverrideKind::kRecover
                                                : OverrideKind::kHold;
      overrides.push_back({"a", k, number, owner, "", At(over.empty() ? 1 : 0)});
    }
    for (int turn = 0; turn < 2; ++turn) {
      const OperatorOverride* effective = EffectiveOverride("a", overrides, At(0));
      const std::vector<std::string> kinds{"stay", "return", "leave"};
      EXPECT_EQ(effective == nullptr
                    ? "none"
                    : effective->owner + ' ' + kinds[static_cast<std::size_t>(effective->kind)],
                row.at("counts"));
      std::reverse(overrides.begin(), overrides.end());
    }
  }
}

// ---- Evidence ----

TEST(ZoneEvidence, FitsAndReadsBackAndGarbageIsRefused) {
  Evidence most;
  for (ZoneId id = 1; id <= kMaxZones; ++id) {
    ZoneEvidence z{id,
                   kMaxCount,
                   kMaxCount,
                   kMaxCount,
                   kMaxCount,
                   kMaxCount,
                   kMaxCount,
                   kMaxCount,
                   kMaxCount,
                   kMaxCount,
                   kMaxCount,
                   kMaxCount,
                   {Phase::kRecovering, 15, 255, UINT32_MAX, kMaxCount}};
    most.zones.push_back(z);
  }
  const std::string bytes = Encode(most);
  EXPECT_LE(bytes.size(), kMaxEvidenceBytes);
  EXPECT_EQ(Decode(bytes), most);
  for (std::size_t cut = 0; cut < bytes.size(); ++cut) EXPECT_FALSE(Decode(bytes.substr(0, cut))) << cut;
  EXPECT_FALSE(Decode(bytes + '\0'));
  std::mt19937_64 random(1);
  for (int i = 0; i < 200'000; ++i) {
    std::string changed = i % 2 == 0 ? bytes : Encode(*ReportOf({"b0", "b"}, "wsw").evidence);
    for (std::size_t n = 1 + random() % 3; n > 0; --n)
      changed[random() % changed.size()] ^= static_cast<char>(1 << random() % 8);
    // Whatever is taken is what Write gives: there is one way to say a thing.
    const auto read = Decode(changed);
    ASSERT_TRUE(!read || Encode(*read) == changed) << i;
  }
}

TEST(ZoneEvidence, ObserverCountsUnsafeOnceAndTellsWhatChanged) {
  Observer observer("b");
  observer.SetUpstreams("a", 4, At(0));
  EXPECT_TRUE(observer.NextReport(At(0)));
  const auto end = [&](const char* upstream, std::uint64_t id, Outcome outcome, bool final, int at) {
    observer.OnAttemptEnd({"a", upstream, id, outcome, Duration(10), true, true, final}, At(at));
  };
  end("u1", 1, Outcome::kNoResponse, false, 100);
  end("u1", 1, Outcome::kNoResponse, true, 110);
  end("u1", 1, Outcome::kNoResponse, true, 120);
  EXPECT_EQ(observer.Snapshot(At(120)).zones.at(0).unanswered, 1);
  EXPECT_FALSE(observer.NextReport(At(200))) << "one proves nothing";
  end("u1", 2, Outcome::kNoResponse, true, 220);
  EXPECT_EQ(VerdictOf(observer.Snapshot(At(220)).zones.at(0)), Verdict::kNone)
      << "one upstream is not the zone";
  end("u2", 3, Outcome::kNoResponse, true, 230);
  EXPECT_TRUE(observer.NextReport(At(250))) << "silent: at once";
  end("u3", 4, Outcome::kRejected, true, 260);
  EXPECT_EQ(VerdictOf(observer.Snapshot(At(260)).zones.at(0)), Verdict::kResponsive);
  EXPECT_FALSE(observer.NextReport(At(300))) << "ten a second at most";
  EXPECT_TRUE(observer.NextReport(At(350)));
  EXPECT_EQ(observer.Snapshot(At(5000)).zones.at(0).unanswered, 0);
}

// ---- Decision ----

TEST(ZoneDecision, DoesNotGoByTheOrder) {
  std::mt19937_64 random(7);
  for (int i = 0; i < 300; ++i) {
    Fleet fleet;
    for (const MemberId& p : fleet.members.live) {
      std::string verdicts = "www";
      for (char& c : verdicts) c = "wwsl-"[random() % 5];
      const ReportedState reported{static_cast<Phase>(random() % 5), 1, 1,
                                   static_cast<std::uint32_t>(random() % 4), 20};
      fleet.reports.push_back(ReportOf(p, verdicts, static_cast<std::uint16_t>(1 + random() % 1000),
                                       {reported, reported, reported}));
    }
    std::vector<OperatorOverride> overrides{{"a", OverrideKind::kDrain, 1, "x", "", At(9)},
                                            {"a", OverrideKind::kHold, random() % 3, "y", "", At(9)}};
    std::optional<std::vector<ReportedState>> first;
    for (int turn = 0; turn < 5; ++turn) {
      const ZoneStates s = Decide({}, kNames, fleet.reports, overrides, fleet.members, {}, At(0));
      std::vector<ReportedState> reported;
      for (const auto& [name, zone] : s) reported.push_back(ReportedStateOf(zone, At(0)));
      if (!first) first = reported;
      ASSERT_EQ(reported, *first) << i;
      std::shuffle(fleet.reports.begin(), fleet.reports.end(), random);
      std::shuffle(overrides.begin(), overrides.end(), random);
      std::shuffle(fleet.members.live.begin(), fleet.members.live.end(), random);
    }
  }
}

TEST(ZoneDecision, CapsAndLevelsAreExact) {
  EXPECT_EQ(WeightCap({10, 10, 10, 10, 1000}, 5), 10U);
  EXPECT_EQ(WeightCap({1, 1, 1}, 5), 0U);
  EXPECT_EQ(FairShareLevel({1, 2, 100, 100}, 43), 20U);
  EXPECT_EQ(FairShareLevel({1, 2}, 43), 2U);
}

TEST(ZoneDecision, NewMemberStartsFromItsPeersOrCarefully) {
  const ReportedState left{Phase::kDrained, 0, 1, 5, 8};
  const ZoneStates reported = InitialState(kNames, {ReportOf({"c1", "c"}, "-ww", 10, {left})}, At(0));
  EXPECT_EQ(reported.at("a").phase, Phase::kDrained);
  EXPECT_EQ(reported.at("a").share, 0);
  EXPECT_EQ(reported.at("a").since, At(-2000));
  const ZoneStates none = InitialState(kNames, {}, At(0));
  const TrafficPlan cautious = TrafficPlanFor(none, {}, Fleet().members, {}, At(100), At(0));
  EXPECT_EQ(cautious.zones.at(0).share, 0);
  EXPECT_GT(cautious.zones.at(0).probes_per_1000s, 0U);
  EXPECT_EQ(cautious.zones.at(1).share, 1000) << "its own";
  EXPECT_EQ(TrafficPlanFor(none, {}, Fleet().members, {}, At(2000), At(0)).zones.at(0).share, 1000);
}

TEST(ZoneDecision, ColdAllowanceIsSharedAndWhatOneDoesNotNeedIsLent) {
  Fleet fleet;
  std::uint64_t sum = 0;
  ZoneStates state;
  for (const std::string& name : kNames) state[name].peak_per_1000s = 400 * 1000;
  for (const MemberId& p : fleet.members.live)
    fleet.reports.push_back(ReportOf(p, "www", p.name == "a0" ? 1 : 100));
  for (const MemberId& p : fleet.members.live) {
    fleet.members.local = p;
    const auto mine =
        TrafficPlanFor(state, fleet.reports, fleet.members, {}, At(0)).zones.at(0).slow_start_per_1000s;
    EXPECT_EQ(mine, p.name == "a0" ? 1500U : (60'000U - 1500U) / 11);
    sum += mine;
  }
  EXPECT_LE(sum, 60'000U);
}

// ---- Histories ----

struct Sums {
  std::string violation;
  int left = 0, returned = 0, alone = 0;
};

// One member among twelve; the world turns at random and tells at random, with up to three that lie as one.
Sums Play(std::uint64_t seed, const FailoverConfig& config) {
  std::mt19937_64 random(seed);
  Fleet fleet;
  Sums sums;
  ZoneStates state;
  std::string truth = "www";
  const bool liars = random() % 2 == 0;
  std::map<std::string, TimePoint> last_left;
  std::map<std::string, int> losses;
  const auto everybody = fleet.members.live;
  for (int now = 0; now < 90'000; now += 100) {
    if (random() % 60 == 0) truth[random() % 3] = "wwwssl"[random() % 6];
    if (random() % 100 == 0) {
      fleet.members.live = everybody;
      if (random() % 3 == 0)
        std::erase_if(fleet.members.live, [&](const MemberId& p) { return p.zone != "b" && random() % 4; });
    }
    fleet.reports.clear();
    for (const MemberId& p : fleet.members.live) {
      std::string verdicts = truth;
      if (random() % 12 == 0) verdicts[random() % 3] = "ws-"[random() % 3];
      // Those of one zone, and a busy one.
      const bool lies = liars && p.zone == "c" && p.name != "c3";
      if (lies) verdicts = "sww";
      const std::uint16_t sent = lies ? 5000 : 20;
      const ReportedState mad{Phase::kDrained, 0, 9, 1'000'000, 1};
      std::vector<ReportedState> reported;
      for (const std::string& z : kNames)
        reported.push_back(lies                ? mad
                           : state.contains(z) ? ReportedStateOf(state[z], At(now))
                                               : ReportedState{});
      EvidenceReport h = ReportOf(p, verdicts, sent, reported);
      h.age = Duration(random() % 3500);
      if (random() % 5 != 0) fleet.reports.push_back(h);
    }
    const ZoneStates next = Decide(state, kNames, fleet.reports, {}, fleet.members, config, At(now));
    const bool alone = fleet.members.live.size() * 2 < fleet.members.known_members;
    sums.alone += alone ? 1 : 0;
    int in_use = 0;
    for (const auto& [name, z] : next) {
      const ZoneState was = state.contains(name) ? state[name] : ZoneState{};
      const auto out = [](const ZoneState& s) {
        return s.phase == Phase::kDraining || s.phase == Phase::kDrained;
      };
      in_use += z.phase == Phase::kActive || z.phase == Phase::kSuspect ? 1 : 0;
      const auto fault = [&](const std::string& what) {
        sums.violation = what + " (zone " + name + ", " + std::to_string(now) + " ms)";
      };
      if (out(z) && !out(was)) {
        // Counted anew, and not by the code that decided it.
        std::set<std::string> zones;
        const auto count = [&](const std::string& of, Verdict what) {
          std::size_t members = 0;
          for (const EvidenceReport& h : fleet.reports) {
            if (h.age >= Duration(3000) || h.owner.zone == of ||
                VerdictOf(*h.evidence->Find(IdOf(of))) != what)
              continue;
            ++members;
            if (of == name && what == Verdict::kUnresponsive) zones.insert(h.owner.zone);
          }
          return members;
        };
        const std::size_t unresponsive = count(name, Verdict::kUnresponsive),
                          responsive = count(name, Verdict::kResponsive);
        const bool refuge = std::any_of(next.begin(), next.end(), [&](const auto& o) {
          return o.first != name && (o.second.phase == Phase::kActive || o.second.phase == Phase::kSuspect) &&
                 count(o.first, Verdict::kResponsive) > count(o.first, Verdict::kUnresponsive);
        });
        const bool back = was.phase == Phase::kRecovering;
        if (!back && !refuge) fault("left for nowhere");
        // With weights cut to a fifth the three that lie have less than what the others have together.
        if (!back && unresponsive < responsive) fault("left against most");
        const std::size_t there = std::count_if(fleet.members.live.begin(), fleet.members.live.end(),
                                                [&](const MemberId& p) { return p.zone != name; });
        if (!back && (unresponsive < std::clamp<std::size_t>(there, 2, 3) || zones.size() < 2))
          fault("left without a quorum");
        const int times = ++losses[name];
        if (times > 1 && At(now) - last_left[name] < Duration(5000)) fault("flaps");
        last_left[name] = At(now);
        ++sums.left;
      }
      if (was.phase == Phase::kDrained && z.phase == Phase::kRecovering) {
        ++sums.returned;
        if (At(now) - last_left[name] < Duration(5000)) fault("came back too soon");
      }
      if (alone && z.generation != was.generation) fault("decided alone");
      if (z.generation < was.generation) fault("generation fell");
      const int moved = z.share - was.share;
      if (moved > 26 || (moved < -26 && !(out(z) && z.generation != was.generation))) fault("jumped");
    }
    if (in_use == 0) sums.violation = "all zones left at " + std::to_string(now);
    if (!sums.violation.empty()) return sums;
    state = next;
  }
  return sums;
}

TEST(ZoneHistories, KeepTheRules) {
  const char* set = std::getenv("HISTORIES");
  const std::uint64_t count = set == nullptr ? 1000 : std::strtoull(set, nullptr, 10);
  const char* from = std::getenv("HISTORIES_FROM");
  const std::uint64_t begin = from == nullptr ? 1 : std::strtoull(from, nullptr, 10);
  Sums all;
  for (std::uint64_t seed = begin; seed < begin + count; ++seed) {
    const Sums sums = Play(seed, {});
    ASSERT_EQ(sums.violation, "") << "seed " << seed;
    all.left += sums.left, all.returned += sums.returned, all.alone += sums.alone;
  }
  std::printf("%d leaves, %d returns, %d turns alone\n", all.left, all.returned, all.alone);
  EXPECT_GT(all.left, 0);
  EXPECT_GT(all.returned, 0);
  EXPECT_GT(all.alone, 0);
}

TEST(ZoneHistories, FindEachPlantedFault) {
  const auto found = [](const std::function<void(FailoverConfig&)>& plant) {
    FailoverConfig config;
    plant(config);
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
      const Sums sums = Play(seed, config);
      if (!sums.violation.empty()) return sums.violation.substr(0, sums.violation.find(" ("));
    }
    return std::string("nothing");
  };
  EXPECT_EQ(found([](FailoverConfig& r) {
              r.min_judges = 1, r.min_judge_zones = 1, r.unavailable_threshold = 200;
            }),
            "left without a quorum");
  EXPECT_EQ(found([](FailoverConfig& r) { r.min_judge_zones = 1, r.judge_weight_divisor = 1; }),
            "left without a quorum");
  EXPECT_EQ(found([](FailoverConfig& r) { r.unavailable_threshold = 100; }), "left against most");
  EXPECT_EQ(found([](FailoverConfig& r) { r.min_drain_time = Duration(500); }), "came back too soon");
  EXPECT_EQ(found([](FailoverConfig& r) { r.share_ramp = 2000; }), "jumped");
  EXPECT_EQ(found([](FailoverConfig& r) { r.alternative_threshold = 1000; }), "left for nowhere");
}

}  // namespace
}  // namespace mothrack::zone_failover
