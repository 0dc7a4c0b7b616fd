// The recovery ramp: when a drained zone may return, what proves a step, and how fast a zone's share changes.
// Pure functions; any thread.
#pragma once

#include <cstddef>

#include "zone_failover/config.h"
#include "zone_failover/votes.h"
#include "zone_failover/zone_state.h"

namespace mothrack::zone_failover {

// Minimum time for which a zone stays drained; longer with each loss after the second.
Duration DrainTimeOf(const ZoneState& zone, const FailoverConfig& config);

// Whether the drain or the recovery step has lasted long enough, and enough calls by enough members were
// answered.
bool IsRecoveryProven(const ZoneState& zone, const VoteCounts& votes, std::size_t live_members,
                      const FailoverConfig& config, TimePoint now);

// The share that the zone's phase allows. `use_own_view` is true if this member is isolated, receives no
// evidence from other members, or retains the zone. Then the target is the full share, and the balancer
// relies on its own attempts.
int TargetShare(const ZoneState& zone, bool use_own_view, const FailoverConfig& config);

// Moves the zone's share towards the target by at most what FailoverConfig::share_ramp allows since the last
// change.
void RampShare(ZoneState& zone, int target, const FailoverConfig& config, TimePoint now);

}  // namespace mothrack::zone_failover
