// Histories of evidence drawn from seeds, against rules that must hold whatever is reported; and faults
// planted in the configuration, that must be found. HISTORIES sets how many, HISTORIES_FROM the first seed
// (1).
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "zone_failover/decision.h"
#include "zone_failover/zone_fixtures.h"

namespace mothrack::zone_failover {
namespace {

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
