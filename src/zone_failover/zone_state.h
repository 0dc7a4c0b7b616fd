// The state of a zone at one member: what Decide() carries from one call to the next. Values; whoever calls
// Decide() owns them.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "zone_failover/evidence.h"
#include "zone_failover/types.h"

namespace mothrack::zone_failover {

// Shares are thousandths.
struct ZoneState {
  Phase phase = Phase::kActive;
  int step = 0;                        // of kDraining and kRecovering, from 1
  std::uint32_t generation = 0;        // rises with each change that the others must follow
  TimePoint since;                     // of phase and step
  TimePoint drain_started;             // the last time
  int losses = 0;                      // recent ones (FailoverConfig::loss_memory)
  std::uint64_t applied_override = 0;  // number of the last kRecover that was carried out
  // Drained for an operator: it answers, so what the others don't take still goes there.
  bool by_operator = false;
  // This member's own zone, that it reaches though the others don't: its traffic there goes on.
  bool retained = false;
  int shifted = 0;          // share of the zone's load that the other zones take
  int share = kWholeShare;  // of the usual traffic, what may be sent there
  TimePoint share_updated;
  // Calls a second by all members, last seen while it was in use and no judge found it unresponsive.
  std::uint32_t baseline_load = 0;
  // Answers in time in a thousand seconds by all members at the zone's best; forgotten slowly. Not added up
  // over members' own peaks: those of many with little traffic are together more than the zone ever bore.
  std::uint64_t peak_per_1000s = 0;
  TimePoint peak_updated;
};

// By zone.
using ZoneStates = std::map<std::string, ZoneState>;

// Moves a zone to a phase and step from `now` on. A change between the two phases in use is nobody else's
// business and raises no generation.
void EnterPhase(ZoneState& zone, Phase phase, int step, TimePoint now);

// What this member sends of its decision on a zone.
ReportedState ReportedStateOf(const ZoneState& zone, TimePoint now);

// Lets the zone's peak decay to half in ten minutes, then takes what is seen now: sums over the window by all
// members, and as a new member the peak that most of the others saw.
void UpdatePeak(ZoneState& zone, const std::vector<Observation>& observations, TimePoint now);

// Calls a second to the zone, by all members that were observed.
std::uint64_t SentPerSecond(const std::vector<Observation>& observations);

}  // namespace mothrack::zone_failover
