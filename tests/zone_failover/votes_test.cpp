// Each row of the table "Quorum" of docs/design/zone_failover.md, and the caps of the judges' weights.
#include "zone_failover/votes.h"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "support/tables.h"
#include "zone_failover/fair_share.h"
#include "zone_failover/zone_fixtures.h"

namespace mothrack::zone_failover {
namespace {

using testing::Row;
using testing::TableOf;

// Reads the numbers of members by zone from a cell such as "a3 b2".
std::map<std::string, int> CountsByZone(const std::string& cell) {
  std::map<std::string, int> members;
  std::istringstream tokens(cell);
  for (std::string token; tokens >> token;) members[token.substr(0, 1)] = std::stoi(token.substr(1));
  return members;
}

TEST(ZoneTables, Quorum) {
  for (const Row& row : TableOf(MOTHRACK_ZONES_PAGE, "Quorum")) {
    MemberList members;
    members.known_members = std::stoul(row.at("known"));
    for (const auto& [zone, count] : CountsByZone(row.at("live"))) {
      for (int i = 0; i < count; ++i) members.live.push_back({zone + std::to_string(i), zone});
    }
    members.local = members.live.front();
    const bool has_two_zones = members.known_members == 40 || members.known_members == 30;
    members.zones = members.known_members == 1 ? std::set<std::string>{"a"}
                    : has_two_zones            ? std::set<std::string>{"a", "b"}
                                               : std::set<std::string>{"a", "b", "c"};
    std::vector<EvidenceReport> reports;
    for (const std::string column : {"silent", "well"}) {
      bool is_first = true;
      for (const auto& [zone, count] : CountsByZone(row.at(column))) {
        for (int i = 0; i < count; ++i) {
          const bool is_busy = is_first && row.at("busy") == column;
          is_first = false;
          reports.push_back(ReportOf({zone + column + std::to_string(i), zone},
                                     column == "silent" ? "sww" : "www", is_busy ? 10'000 : 10));
        }
      }
    }
    EXPECT_EQ(HasQuorum(CountVotes("a", reports, members, {}), {}) ? "lost" : "no", row.at("verdict"))
        << row.at("live") << " | " << row.at("silent") << " | " << row.at("well");
  }
}

TEST(ZoneDecision, WeightCapAndFairShareLevelAreExact) {
  EXPECT_EQ(WeightCap({10, 10, 10, 10, 1000}, 5), 10U);
  EXPECT_EQ(WeightCap({1, 1, 1}, 5), 0U);
  EXPECT_EQ(FairShareLevel({1, 2, 100, 100}, 43), 20U);
  EXPECT_EQ(FairShareLevel({1, 2}, 43), 2U);
}

}  // namespace
}  // namespace mothrack::zone_failover
