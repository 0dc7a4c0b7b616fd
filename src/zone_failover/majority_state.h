// How a member that was cut off, or is starting, catches up with the state of the others. Pure functions; any
// thread.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "zone_failover/evidence.h"
#include "zone_failover/zone_state.h"

namespace mothrack::zone_failover {

// The latest state that more than half of `members` have reached, or nothing if too few report one. So a
// minority with wrong reports cannot change the state of any other member. A higher generation is later;
// within one generation, the state that is less favourable to the zone.
std::optional<ReportedState> MajorityState(const std::vector<Observation>& observations, std::size_t members);

// Whether the reported state is later than the zone's own.
bool IsLater(const ReportedState& reported, const ZoneState& zone);

// Replaces the zone's phase, step, generation, losses and times by the reported ones. kSuspect becomes
// kActive, because suspicion is each member's own.
void AdoptState(ZoneState& zone, const ReportedState& reported, TimePoint now);

}  // namespace mothrack::zone_failover
