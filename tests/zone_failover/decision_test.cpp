// Decisions do not depend on the order of their input, new members start cautiously, and the slow start
// allowance is shared among members.
#include "zone_failover/decision.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "zone_failover/traffic_plan.h"
#include "zone_failover/zone_fixtures.h"

namespace mothrack::zone_failover {
namespace {

TEST(ZoneDecision, DoesNotDependOnTheOrderOfItsInput) {
  std::mt19937_64 random(7);
  for (int i = 0; i < 300; ++i) {
    Fleet fleet;
    for (const MemberId& member : fleet.members.live) {
      std::string verdicts = "www";
      for (char& verdict : verdicts) verdict = "wwsl-"[random() % 5];
      const ReportedState reported{static_cast<Phase>(random() % 5), 1, 1,
                                   static_cast<std::uint32_t>(random() % 4), 20};
      fleet.reports.push_back(ReportOf(member, verdicts, static_cast<std::uint16_t>(1 + random() % 1000),
                                       {reported, reported, reported}));
    }
    std::vector<OperatorOverride> overrides{{"a", OverrideKind::kDrain, 1, "x", "", At(9)},
                                            {"a", OverrideKind::kHold, random() % 3, "y", "", At(9)}};
    std::optional<std::vector<ReportedState>> first;
    for (int repetition = 0; repetition < 5; ++repetition) {
      const ZoneStates states = Decide({}, kZoneNames, fleet.reports, overrides, fleet.members, {}, At(0));
      std::vector<ReportedState> reported;
      for (const auto& [name, zone] : states) reported.push_back(ReportedStateOf(zone, At(0)));
      if (!first) first = reported;
      ASSERT_EQ(reported, *first) << i;
      std::shuffle(fleet.reports.begin(), fleet.reports.end(), random);
      std::shuffle(overrides.begin(), overrides.end(), random);
      std::shuffle(fleet.members.live.begin(), fleet.members.live.end(), random);
    }
  }
}

TEST(ZoneDecision, NewMemberStartsFromItsPeersOrConservatively) {
  const ReportedState drained{Phase::kDrained, 0, 1, 5, 8};
  const ZoneStates from_peers =
      InitialState(kZoneNames, {ReportOf({"c1", "c"}, "-ww", 10, {drained})}, At(0));
  EXPECT_EQ(from_peers.at("a").phase, Phase::kDrained);
  EXPECT_EQ(from_peers.at("a").share, 0);
  EXPECT_EQ(from_peers.at("a").since, At(-2000));
  const ZoneStates without_peers = InitialState(kZoneNames, {}, At(0));
  const TrafficPlan cautious = TrafficPlanFor(without_peers, {}, Fleet().members, {}, At(100), At(0));
  EXPECT_EQ(cautious.zones.at(0).share, 0);
  EXPECT_GT(cautious.zones.at(0).probes_per_1000s, 0U);
  EXPECT_EQ(cautious.zones.at(1).share, 1000) << "the member's own zone";
  EXPECT_EQ(TrafficPlanFor(without_peers, {}, Fleet().members, {}, At(2000), At(0)).zones.at(0).share, 1000);
}

TEST(ZoneDecision, SlowStartAllowanceIsSharedAndUnusedPartsGoToOthers) {
  Fleet fleet;
  std::uint64_t sum = 0;
  ZoneStates states;
  for (const std::string& name : kZoneNames) states[name].peak_per_1000s = 400 * 1000;
  for (const MemberId& member : fleet.members.live)
    fleet.reports.push_back(ReportOf(member, "www", member.name == "a0" ? 1 : 100));
  for (const MemberId& member : fleet.members.live) {
    fleet.members.local = member;
    const auto allowance =
        TrafficPlanFor(states, fleet.reports, fleet.members, {}, At(0)).zones.at(0).slow_start_per_1000s;
    EXPECT_EQ(allowance, member.name == "a0" ? 1500U : (60'000U - 1500U) / 11);
    sum += allowance;
  }
  EXPECT_LE(sum, 60'000U);
}

}  // namespace
}  // namespace mothrack::zone_failover
