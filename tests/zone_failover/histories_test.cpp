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

struct HistoryResult {
  std::string violation;
  int drains = 0, recoveries = 0, isolated = 0;
};

// One member among twelve; zones fail and evidence arrives at random, with up to three members that report
// the same falsehood.
HistoryResult Play(std::uint64_t seed, const FailoverConfig& config) {
  std::mt19937_64 random(seed);
  Fleet fleet;
  HistoryResult result;
  ZoneStates state;
  std::string actual = "www";
  const bool has_false_reporters = random() % 2 == 0;
  std::map<std::string, TimePoint> last_drain;
  std::map<std::string, int> losses;
  const auto all_members = fleet.members.live;
  for (int now = 0; now < 90'000; now += 100) {
    if (random() % 60 == 0) actual[random() % 3] = "wwwssl"[random() % 6];
    if (random() % 100 == 0) {
      fleet.members.live = all_members;
      if (random() % 3 == 0)
        std::erase_if(fleet.members.live,
                      [&](const MemberId& member) { return member.zone != "b" && random() % 4; });
    }
    fleet.reports.clear();
    for (const MemberId& member : fleet.members.live) {
      std::string verdicts = actual;
      if (random() % 12 == 0) verdicts[random() % 3] = "ws-"[random() % 3];
      // Those of one zone, and a busy one.
      const bool reports_falsely = has_false_reporters && member.zone == "c" && member.name != "c3";
      if (reports_falsely) verdicts = "sww";
      const std::uint16_t sent = reports_falsely ? 5000 : 20;
      const ReportedState false_state{Phase::kDrained, 0, 9, 1'000'000, 1};
      std::vector<ReportedState> reported;
      for (const std::string& z : kNames)
        reported.push_back(reports_falsely     ? false_state
                           : state.contains(z) ? ReportedStateOf(state[z], At(now))
                                               : ReportedState{});
      EvidenceReport report = ReportOf(member, verdicts, sent, reported);
      report.age = Duration(random() % 3500);
      if (random() % 5 != 0) fleet.reports.push_back(report);
    }
    const ZoneStates next = Decide(state, kNames, fleet.reports, {}, fleet.members, config, At(now));
    const bool isolated = fleet.members.live.size() * 2 < fleet.members.known_members;
    result.isolated += isolated ? 1 : 0;
    int in_use = 0;
    for (const auto& [name, z] : next) {
      const ZoneState before = state.contains(name) ? state[name] : ZoneState{};
      const auto is_out = [](const ZoneState& s) {
        return s.phase == Phase::kDraining || s.phase == Phase::kDrained;
      };
      in_use += z.phase == Phase::kActive || z.phase == Phase::kSuspect ? 1 : 0;
      const auto violate = [&](const std::string& what) {
        result.violation = what + " (zone " + name + ", " + std::to_string(now) + " ms)";
      };
      if (is_out(z) && !is_out(before)) {
        // Counted anew, and not by the code that decided it.
        std::set<std::string> zones;
        const auto count = [&](const std::string& of, Verdict what) {
          std::size_t members = 0;
          for (const EvidenceReport& report : fleet.reports) {
            if (report.age >= Duration(3000) || report.owner.zone == of ||
                VerdictOf(*report.evidence->Find(IdOf(of))) != what)
              continue;
            ++members;
            if (of == name && what == Verdict::kUnresponsive) zones.insert(report.owner.zone);
          }
          return members;
        };
        const std::size_t unresponsive = count(name, Verdict::kUnresponsive),
                          responsive = count(name, Verdict::kResponsive);
        const bool has_alternative = std::any_of(next.begin(), next.end(), [&](const auto& o) {
          return o.first != name && (o.second.phase == Phase::kActive || o.second.phase == Phase::kSuspect) &&
                 count(o.first, Verdict::kResponsive) > count(o.first, Verdict::kUnresponsive);
        });
        const bool back = before.phase == Phase::kRecovering;
        if (!back && !has_alternative) violate("left for nowhere");
        // With weights cut to a fifth the three that lie have less than what the others have together.
        if (!back && unresponsive < responsive) violate("left against most");
        const std::size_t outside =
            std::count_if(fleet.members.live.begin(), fleet.members.live.end(),
                          [&](const MemberId& member) { return member.zone != name; });
        if (!back && (unresponsive < std::clamp<std::size_t>(outside, 2, 3) || zones.size() < 2))
          violate("left without a quorum");
        const int times = ++losses[name];
        if (times > 1 && At(now) - last_drain[name] < Duration(5000)) violate("flaps");
        last_drain[name] = At(now);
        ++result.drains;
      }
      if (before.phase == Phase::kDrained && z.phase == Phase::kRecovering) {
        ++result.recoveries;
        if (At(now) - last_drain[name] < Duration(5000)) violate("came back too soon");
      }
      if (isolated && z.generation != before.generation) violate("decided alone");
      if (z.generation < before.generation) violate("generation fell");
      const int moved = z.share - before.share;
      if (moved > 26 || (moved < -26 && !(is_out(z) && z.generation != before.generation))) violate("jumped");
    }
    if (in_use == 0) result.violation = "all zones left at " + std::to_string(now);
    if (!result.violation.empty()) return result;
    state = next;
  }
  return result;
}

TEST(ZoneHistories, KeepTheRules) {
  const char* set = std::getenv("HISTORIES");
  const std::uint64_t count = set == nullptr ? 1000 : std::strtoull(set, nullptr, 10);
  const char* from = std::getenv("HISTORIES_FROM");
  const std::uint64_t begin = from == nullptr ? 1 : std::strtoull(from, nullptr, 10);
  HistoryResult all;
  for (std::uint64_t seed = begin; seed < begin + count; ++seed) {
    const HistoryResult result = Play(seed, {});
    ASSERT_EQ(result.violation, "") << "seed " << seed;
    all.drains += result.drains, all.recoveries += result.recoveries, all.isolated += result.isolated;
  }
  std::printf("%d leaves, %d returns, %d turns alone\n", all.drains, all.recoveries, all.isolated);
  EXPECT_GT(all.drains, 0);
  EXPECT_GT(all.recoveries, 0);
  EXPECT_GT(all.isolated, 0);
}

TEST(ZoneHistories, FindEachInjectedFault) {
  const auto found = [](const std::function<void(FailoverConfig&)>& plant) {
    FailoverConfig config;
    plant(config);
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
      const HistoryResult result = Play(seed, config);
      if (!result.violation.empty()) return result.violation.substr(0, result.violation.find(" ("));
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
