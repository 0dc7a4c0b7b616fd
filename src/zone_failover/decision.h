// Zone failover: which zones the fleet sends to. READ THIS FIRST.
//
// Each member counts how its attempts end by zone (observer.h) and sends that as evidence to all others
// (evidence.h, evidence_codec.h). Each decides by itself, by one pure function of everybody's evidence: whole
// numbers and sorted names only, so that the same evidence gives the same state on every machine and in
// whatever order it came. Nobody leads.
//
// A decision on one zone, in this order:
//   votes.h              how many judges, by weight, find the zone unresponsive; the quorum
//   majority_state.h     a member that fell behind takes over what most others decided
//   operator_override.h  the operator's override that counts, if any
//   conditions.h         the rules, in their order: the first condition that holds
//   state_machine.h      phase x condition -> phase and action, the table, and the actions
//   recovery.h           the proof of a recovery step; the ramp of the zone's share
// and for the balancer, from the state: traffic_plan.h.
//
// State belongs to the caller; nothing here does I/O, reads a clock, draws randomness or throws of its own
// accord. All functions are safe on any thread; Observer is for one thread. Reasons and tables:
// docs/design/zone_failover.md.
#pragma once

#include <string>
#include <vector>

#include "zone_failover/config.h"
#include "zone_failover/evidence.h"
#include "zone_failover/operator_override.h"
#include "zone_failover/types.h"
#include "zone_failover/zone_state.h"

namespace mothrack::zone_failover {

// Decide() is to be called at least this often.
constexpr Duration kDecisionInterval{100};

// The states that follow `previous`. `zones`: all zones that have upstreams; the state of another is dropped,
// one without a state begins active. `reports`: the latest of each member, this one's own included. `now`
// must not go back.
ZoneStates Decide(const ZoneStates& previous, const std::vector<std::string>& zones,
                  const std::vector<EvidenceReport>& reports, const std::vector<OperatorOverride>& overrides,
                  const MemberList& members, const FailoverConfig& config, TimePoint now);

// The states of a new member: what most of the peers that answered report, of any age. Zones of which no
// majority reports begin active; see TrafficPlanFor() for how such a member begins.
ZoneStates InitialState(const std::vector<std::string>& zones, const std::vector<EvidenceReport>& reports,
                        TimePoint now);

}  // namespace mothrack::zone_failover
