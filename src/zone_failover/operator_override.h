// What operators want of a zone, as their agents spread it by gossip. Pure; any thread.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "zone_failover/types.h"

namespace mothrack::zone_failover {

// Rising priority among overrides of one number. The page calls them stay, return, leave.
enum class OverrideKind {
  kHold,     // don't change the zone's phase by evidence
  kRecover,  // begin a recovery now, once
  kDrain,    // move the zone's traffic away, though it answers
};

struct OperatorOverride {
  std::string zone;
  OverrideKind kind = OverrideKind::kHold;
  std::uint64_t number = 0;  // greater than that of any override that the operator's agent knew
  std::string owner, why;
  TimePoint until;  // of this machine's clock
  bool operator==(const OperatorOverride&) const = default;
};

// The override that counts for a zone, or null: of those that have not expired the greatest number; of one
// number the kind with the highest priority, then the owner that sorts first. Points into `overrides`.
const OperatorOverride* EffectiveOverride(const std::string& zone,
                                          const std::vector<OperatorOverride>& overrides, TimePoint now);

}  // namespace mothrack::zone_failover
