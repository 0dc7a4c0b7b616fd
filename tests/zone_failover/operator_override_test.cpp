// Each row of the table "Words of operators" of docs/design/zone_failover.md.
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
    std::istringstream commands(row.at("words"));
    for (std::string command; std::getline(commands, command, ',');) {
      std::istringstream fields(command);
      std::string owner, kind_name, expired;
      std::uint64_t number = 0;
      fields >> owner >> kind_name >> number >> expired;
      const OverrideKind kind = kind_name == "leave"    ? OverrideKind::kDrain
                                : kind_name == "return" ? OverrideKind::kRecover
                                                        : OverrideKind::kHold;
      overrides.push_back({"a", kind, number, owner, "", At(expired.empty() ? 1 : 0)});
    }
    // The order of the overrides must not matter.
    for (int order = 0; order < 2; ++order) {
      const OperatorOverride* effective = EffectiveOverride("a", overrides, At(0));
      const std::vector<std::string> kind_names{"stay", "return", "leave"};
      EXPECT_EQ(effective == nullptr
                    ? "none"
                    : effective->owner + ' ' + kind_names[static_cast<std::size_t>(effective->kind)],
                row.at("counts"));
      std::reverse(overrides.begin(), overrides.end());
    }
  }
}

}  // namespace
}  // namespace mothrack::zone_failover
