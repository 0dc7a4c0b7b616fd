// Zone failover: decides which zones the fleet sends to. READ THIS FIRST.
//
// Each member counts by zone how its attempts end (observer.h) and sends the counts as evidence to all others
// (evidence.h, evidence_codec.h). Each member decides for itself, by one pure function of all evidence. The
// function uses only integers and sorted names, so that the same evidence gives the same state on every
// machine, in whatever order it arrived. There is no leader.
//
// A decision on one zone, in this order:
//   votes.h              how many judges, by weight, find the zone unresponsive; the quorum
//   majority_state.h     a member that fell behind adopts what most others decided
//   operator_override.h  the effective operator override, if any
//   conditions.h         the rules, in their order: the first condition that holds
//   state_machine.h      phase x condition -> phase and action, the table, and the actions
//   recovery.h           the proof of a recovery step; the ramp of the zone's share
// and for the balancer, from the state: traffic_plan.h.
//
// The caller owns the state. Nothing here does I/O, reads a clock, draws random numbers or throws exceptions
// of its own. All functions are safe on any thread; Observer is for one thread. Reasons and tables:
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

// Decide() must be called at least this often.
constexpr Duration kDecisionInterval{100};

// Returns the states that follow `previous`. `zones`: all zones that have upstreams; the states of other
// zones are dropped, and a zone without a state starts as active. `reports`: the latest of each member,
// including this one's own. `now` must not decrease.
ZoneStates Decide(const ZoneStates& previous, const std::vector<std::string>& zones,
                  const std::vector<EvidenceReport>& reports, const std::vector<OperatorOverride>& overrides,
                  const MemberList& members, const FailoverConfig& config, TimePoint now);

// Returns the states of a new member: what most of the peers that answered report, whatever the age. A zone
// without a majority starts as active; see TrafficPlanFor() for how such a member begins.
ZoneStates InitialState(const std::vector<std::string>& zones, const std::vector<EvidenceReport>& reports,
                        TimePoint now);

}  // namespace mothrack::zone_failover
