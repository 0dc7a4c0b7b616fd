// Determines the condition of a zone: one function per rule, evaluated in a fixed order. Pure functions; any
// thread.
#pragma once

#include <cstddef>

#include "zone_failover/config.h"
#include "zone_failover/operator_override.h"
#include "zone_failover/state_machine.h"
#include "zone_failover/votes.h"
#include "zone_failover/zone_state.h"

namespace mothrack::zone_failover {

// The input of the rules.
struct ConditionInput {
  const ZoneState& zone;
  const VoteCounts& votes;
  const OperatorOverride* effective_override = nullptr;  // null if there is none
  bool isolated = false;
  bool has_alternative = false;  // another zone in use can take the load
  bool others_late = false;      // the other zones answer late
  std::size_t live_members = 0;
  TimePoint now;
};

// Returns the first condition that holds, in the order of docs/design/zone_failover.md: isolation, overrides,
// quorum, doubt, no evidence, proof of recovery; otherwise kHealthy.
Condition ConditionOf(const ConditionInput& input, const FailoverConfig& config);

}  // namespace mothrack::zone_failover
