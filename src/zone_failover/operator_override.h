// Operators' commands for a zone, which their agents disseminate by gossip. Pure functions; any thread.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "zone_failover/types.h"

namespace mothrack::zone_failover {

// The kinds of overrides, in ascending priority among those with the same number.
// docs/design/zone_failover.md calls them stay, return, leave.
enum class OverrideKind {
  kHold,     // do not change the zone's phase because of evidence
  kRecover,  // start a recovery now, once
  kDrain,    // move the zone's traffic away although it responds
};

// An operator's command for one zone.
struct OperatorOverride {
  std::string zone;
  OverrideKind kind = OverrideKind::kHold;
  std::uint64_t number = 0;  // greater than that of every override known to the operator's agent
  std::string owner, why;
  TimePoint until;  // expiry, on this machine's clock
  bool operator==(const OperatorOverride&) const = default;
};

// The effective override of a zone, or null. Among those that have not expired, the one with the greatest
// number; then the kind with the highest priority; then the first owner by name. Points into `overrides`.
const OperatorOverride* EffectiveOverride(const std::string& zone,
                                          const std::vector<OperatorOverride>& overrides, TimePoint now);

}  // namespace mothrack::zone_failover
