// Random histories of evidence, checked against rules that must hold whatever is reported. The same checks
// must find each fault that is injected as a wrong configuration value. The environment variable HISTORIES
// sets the number of histories, HISTORIES_FROM the first seed (by default 1).
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
  std::string violation;  // empty if there was none
  int drains = 0, recoveries = 0, isolated_rounds = 0;
};

// Simulates the decisions of one member among twelve until a rule is violated or 90 s have passed. Zones fail
// and evidence arrives at random. In half of the histories, up to three members report the same false
// evidence.
HistoryResult SimulateHistory(std::uint64_t seed, const FailoverConfig& config) {
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
      // All members of one zone but one report falsely, with many more attempts than the others.
      const bool reports_falsely = has_false_reporters && member.zone == "c" && member.name != "c3";
      if (reports_falsely) verdicts = "sww";
      const std::uint16_t sent = reports_falsely ? 5000 : 20;
      const ReportedState false_state{Phase::kDrained, 0, 9, 1'000'000, 1};
      std::vector<ReportedState> reported;
      for (const std::string& name : kZoneNames)
        reported.push_back(reports_falsely        ? false_state
                           : state.contains(name) ? ReportedStateOf(state[name], At(now))
                                                  : ReportedState{});
      EvidenceReport report = ReportOf(member, verdicts, sent, reported);
      report.age = Duration(random() % 3500);
      if (random() % 5 != 0) fleet.reports.push_back(report);
    }
    const ZoneStates next = Decide(state, kZoneNames, fleet.reports, {}, fleet.members, config, At(now));
    const bool isolated = fleet.members.live.size() * 2 < fleet.members.known_members;
    result.isolated_rounds += isolated ? 1 : 0;
    int in_use = 0;
    for (const auto& [name, zone] : next) {
      const ZoneState before = state.contains(name) ? state[name] : ZoneState{};
      const auto is_draining_or_drained = [](const ZoneState& candidate) {
        return candidate.phase == Phase::kDraining || candidate.phase == Phase::kDrained;
      };
      in_use += zone.phase == Phase::kActive || zone.phase == Phase::kSuspect ? 1 : 0;
      const auto violate = [&](const std::string& what) {
        result.violation = what + " (zone " + name + ", " + std::to_string(now) + " ms)";
      };
      if (is_draining_or_drained(zone) && !is_draining_or_drained(before)) {
        // Counts the votes independently of the code under test.
        std::set<std::string> unresponsive_judge_zones;
        const auto count = [&](const std::string& zone_name, Verdict verdict) {
          std::size_t members = 0;
          for (const EvidenceReport& report : fleet.reports) {
            if (report.age >= Duration(3000) || report.owner.zone == zone_name ||
                VerdictOf(*report.evidence->Find(IdOf(zone_name))) != verdict)
              continue;
            ++members;
            if (zone_name == name && verdict == Verdict::kUnresponsive)
              unresponsive_judge_zones.insert(report.owner.zone);
          }
          return members;
        };
        const std::size_t unresponsive = count(name, Verdict::kUnresponsive),
                          responsive = count(name, Verdict::kResponsive);
        const bool has_alternative = std::any_of(next.begin(), next.end(), [&](const auto& other) {
          return other.first != name &&
                 (other.second.phase == Phase::kActive || other.second.phase == Phase::kSuspect) &&
                 count(other.first, Verdict::kResponsive) > count(other.first, Verdict::kUnresponsive);
        });
        const bool recovery_aborted = before.phase == Phase::kRecovering;
        if (!recovery_aborted && !has_alternative) violate("drained without an alternative");
        // Each weight is capped at a fifth of the total, so the members with false reports cannot outweigh
        // the others.
        if (!recovery_aborted && unresponsive < responsive) violate("drained against the majority");
        const std::size_t members_outside =
            std::count_if(fleet.members.live.begin(), fleet.members.live.end(),
                          [&](const MemberId& member) { return member.zone != name; });
        if (!recovery_aborted && (unresponsive < std::clamp<std::size_t>(members_outside, 2, 3) ||
                                  unresponsive_judge_zones.size() < 2))
          violate("drained without a quorum");
        const int loss = ++losses[name];
        if (loss > 1 && At(now) - last_drain[name] < Duration(5000)) violate("drained again too soon");
        last_drain[name] = At(now);
        ++result.drains;
      }
      if (before.phase == Phase::kDrained && zone.phase == Phase::kRecovering) {
        ++result.recoveries;
        if (At(now) - last_drain[name] < Duration(5000)) violate("recovered too soon");
      }
      if (isolated && zone.generation != before.generation) violate("decided while isolated");
      if (zone.generation < before.generation) violate("generation decreased");
      const int share_change = zone.share - before.share;
      if (share_change > 26 ||
          (share_change < -26 && !(is_draining_or_drained(zone) && zone.generation != before.generation)))
        violate("share changed too fast");
    }
    if (in_use == 0) result.violation = "no zone in use (" + std::to_string(now) + " ms)";
    if (!result.violation.empty()) return result;
    state = next;
  }
  return result;
}

TEST(ZoneHistories, KeepTheRules) {
  const char* count_text = std::getenv("HISTORIES");
  const std::uint64_t count = count_text == nullptr ? 1000 : std::strtoull(count_text, nullptr, 10);
  const char* first_text = std::getenv("HISTORIES_FROM");
  const std::uint64_t first_seed = first_text == nullptr ? 1 : std::strtoull(first_text, nullptr, 10);
  HistoryResult total;
  for (std::uint64_t seed = first_seed; seed < first_seed + count; ++seed) {
    const HistoryResult result = SimulateHistory(seed, {});
    ASSERT_EQ(result.violation, "") << "seed " << seed;
    total.drains += result.drains, total.recoveries += result.recoveries,
        total.isolated_rounds += result.isolated_rounds;
  }
  std::printf("%d drains, %d recoveries, %d rounds while isolated\n", total.drains, total.recoveries,
              total.isolated_rounds);
  EXPECT_GT(total.drains, 0);
  EXPECT_GT(total.recoveries, 0);
  EXPECT_GT(total.isolated_rounds, 0);
}

TEST(ZoneHistories, FindEachInjectedFault) {
  const auto first_violation = [](const std::function<void(FailoverConfig&)>& inject_fault) {
    FailoverConfig config;
    inject_fault(config);
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
      const HistoryResult result = SimulateHistory(seed, config);
      if (!result.violation.empty()) return result.violation.substr(0, result.violation.find(" ("));
    }
    return std::string("nothing");
  };
  EXPECT_EQ(first_violation([](FailoverConfig& config) {
              config.min_judges = 1, config.min_judge_zones = 1, config.unavailable_threshold = 200;
            }),
            "drained without a quorum");
  EXPECT_EQ(first_violation(
                [](FailoverConfig& config) { config.min_judge_zones = 1, config.judge_weight_divisor = 1; }),
            "drained without a quorum");
  EXPECT_EQ(first_violation([](FailoverConfig& config) { config.unavailable_threshold = 100; }),
            "drained against the majority");
  EXPECT_EQ(first_violation([](FailoverConfig& config) { config.min_drain_time = Duration(500); }),
            "recovered too soon");
  EXPECT_EQ(first_violation([](FailoverConfig& config) { config.share_ramp = 2000; }),
            "share changed too fast");
  EXPECT_EQ(first_violation([](FailoverConfig& config) { config.alternative_threshold = 1000; }),
            "drained without an alternative");
}

}  // namespace
}  // namespace mothrack::zone_failover
