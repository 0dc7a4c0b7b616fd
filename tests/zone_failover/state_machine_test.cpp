// Each row of the table "Rules of a zone" of docs/design/zone_failover.md: compared with the table in the
// code, and with the result of Decide() for evidence that leads to the row's condition.
#include "zone_failover/state_machine.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "support/tables.h"
#include "zone_failover/decision.h"
#include "zone_failover/zone_fixtures.h"

namespace mothrack::zone_failover {
namespace {

using testing::Row;
using testing::TableOf;

// The page's names, in the order of the enums.
const std::vector<std::string> kPhases = {"in", "suspect", "leaving", "left", "returning"};
const std::vector<std::string> kConditions = {"alone", "leave", "stay",    "return", "last", "late",
                                              "lost",  "doubt", "unknown", "proved", "well"};
const std::vector<std::string> kActions = {"keep",   "watch",   "leave",     "move",    "try",
                                           "return", "step on", "step back", "put back"};

template <typename T>
T EnumNamed(const std::vector<std::string>& names, const std::string& name) {
  const auto it = std::find(names.begin(), names.end(), name);
  if (it == names.end()) throw std::runtime_error("unknown name: " + name);
  return static_cast<T>(it - names.begin());
}

TEST(ZoneTables, PageHasEachTransitionOnceAndAgreesWithTheCode) {
  std::set<std::pair<std::string, std::string>> seen;
  for (const Row& row : TableOf(MOTHRACK_ZONES_PAGE, "Rules of a zone")) {
    EXPECT_TRUE(seen.emplace(row.at("state"), row.at("condition")).second)
        << row.at("state") << row.at("condition");
    const Transition transition = TransitionFor(EnumNamed<Phase>(kPhases, row.at("state")),
                                                EnumNamed<Condition>(kConditions, row.at("condition")));
    EXPECT_EQ(transition.to, EnumNamed<Phase>(kPhases, row.at("becomes")))
        << row.at("state") << ' ' << row.at("condition");
    EXPECT_EQ(transition.action, EnumNamed<Action>(kActions, row.at("action")))
        << row.at("state") << ' ' << row.at("condition");
  }
  EXPECT_EQ(seen.size(), kPhases.size() * kConditions.size());
}

// Runs Decide() for each row with evidence that leads to the row's condition.
TEST(ZoneTables, EvidenceLeadsToTheTransitionOfEachRow) {
  for (const Row& row : TableOf(MOTHRACK_ZONES_PAGE, "Rules of a zone")) {
    const std::string condition = row.at("condition");
    Fleet fleet;
    ZoneStates before;
    for (const std::string& name : kZoneNames)
      before[name].share_updated = At(-60'000), before[name].since = At(-60'000);
    ZoneState& zone_a = before["a"];
    zone_a.phase = EnumNamed<Phase>(kPhases, row.at("state"));
    zone_a.step = zone_a.phase == Phase::kRecovering ? 2 : zone_a.phase == Phase::kDraining ? 1 : 0;
    zone_a.generation = 7;
    zone_a.baseline_load = 100;
    zone_a.shifted = 250;
    zone_a.drain_started = At(-60'000);
    if (condition == "doubt" || condition == "late") zone_a.share = 500;
    std::vector<OperatorOverride> overrides;
    if (condition == "leave" || condition == "stay" || condition == "return") {
      const std::map<std::string, OverrideKind> override_kinds{
          {"leave", OverrideKind::kDrain}, {"stay", OverrideKind::kHold}, {"return", OverrideKind::kRecover}};
      overrides.push_back({"a", override_kinds.at(condition), 1, "ann", "a test", At(60'000)});
    }
    fleet.Report("www", 8, "www");
    if (condition == "alone") fleet.members.known_members = 100;
    if (condition == "lost") fleet.Report("sww", 8, "www");
    if (condition == "last") fleet.Report("ssw", 8, "www"), before["c"].phase = Phase::kDrained;
    if (condition == "late") fleet.Report("sll", 6, "lll");
    if (condition == "doubt") fleet.Report("sww", 4, "www");
    if (condition == "unknown") fleet.Report("-ww", 8, "-ww");
    if (condition == "well")
      fleet.Report("lww", 0, "lww"), zone_a.since = At(-1000), zone_a.drain_started = At(-1000);
    const ZoneStates after = Decide(before, kZoneNames, fleet.reports, overrides, fleet.members, {}, At(0));
    const ZoneState& zone = after.at("a");
    EXPECT_EQ(kPhases[static_cast<std::size_t>(zone.phase)], row.at("becomes"))
        << row.at("state") << ' ' << condition;
    const std::string& action = row.at("action");
    if (action == "step on") {
      EXPECT_EQ(zone.step, 3);
    }
    if (action == "step back") {
      EXPECT_EQ(zone.step, 1);
    }
    if (action == "move") {
      EXPECT_EQ(zone.shifted, 500) << condition;
    }
    if (action == "return") {
      EXPECT_EQ(zone.step, 1);
    }
    if (action == "put back") {
      EXPECT_EQ(zone.share, 0);
    }
    if (action == "leave" && condition == "lost") {
      EXPECT_EQ(zone.share, 0);
    }
    if (action == "keep" && row.at("state") == row.at("becomes")) {
      EXPECT_EQ(zone.generation, 7U);
    }
  }
}

}  // namespace
}  // namespace mothrack::zone_failover
