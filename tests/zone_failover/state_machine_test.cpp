// The table "Rules of a zone" of docs/design/zone_failover.md row by row: as it stands in the code, and as
// evidence plays it through the whole decision.
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

const std::vector<std::string> kPhases = {"in", "suspect", "leaving", "left", "returning"};
const std::vector<std::string> kConditions = {"alone", "leave", "stay",    "return", "last", "late",
                                              "lost",  "doubt", "unknown", "proved", "well"};
const std::vector<std::string> kActions = {"keep",   "watch",   "leave",     "move",    "try",
                                           "return", "step on", "step back", "put back"};

template <typename T>
T Named(const std::vector<std::string>& names, const std::string& name) {
  const auto it = std::find(names.begin(), names.end(), name);
  if (it == names.end()) throw std::runtime_error("no " + name);
  return static_cast<T>(it - names.begin());
}

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

}  // namespace
}  // namespace mothrack::zone_failover
