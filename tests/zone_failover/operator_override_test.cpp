// The table "Words of operators" of docs/design/zone_failover.md row by row.
#include "zone_failover/operator_override.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <sstream>
#include <string>
#include <vector>

#include "support/tables.h"
#include "zone_failover/zone_fixtures.h"

namespace mothrack::zone_failover {
namespace {

using testing::Row;
using testing::TableOf;

TEST(ZoneTables, OperatorOverrides) {
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

}  // namespace
}  // namespace mothrack::zone_failover
