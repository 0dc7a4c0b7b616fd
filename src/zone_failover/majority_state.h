// How a member that was cut off, or starts, catches up with the state of the others. Pure; any thread.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "zone_failover/evidence.h"
#include "zone_failover/zone_state.h"

namespace mothrack::zone_failover {

// The latest state that more than half of so many members have reached, or nothing where too few report one:
// a minority that lies moves nobody. Later is: a higher generation; of one generation the state that is more
// against the zone.
std::optional<ReportedState> MajorityState(const std::vector<Observation>& observations, std::size_t members);

// True where the reported state is later than the zone's own.
bool IsLater(const ReportedState& reported, const ZoneState& zone);

// Takes over a reported state.
void Adopt(ZoneState& zone, const ReportedState& reported, TimePoint now);

}  // namespace mothrack::zone_failover
