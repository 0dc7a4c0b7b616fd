// The state of a zone at one member, which Decide() carries from one call to the next. Plain values, owned by
// the caller of Decide().
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "zone_failover/evidence.h"
#include "zone_failover/types.h"

namespace mothrack::zone_failover {

// The state of one zone. Shares are in thousandths.
struct ZoneState {
  Phase phase = Phase::kActive;
  int step = 0;                        // for kDraining and kRecovering, from 1
  std::uint32_t generation = 0;        // incremented with each change that the others must follow
  TimePoint since;                     // start of the current phase and step
  TimePoint drain_started;             // start of the latest drain
  int losses = 0;                      // recent ones (FailoverConfig::loss_memory)
  std::uint64_t applied_override = 0;  // number of the latest kRecover that was carried out
  // Drained by an operator although it responds, so it still gets the load that the other zones do not take.
  bool by_operator = false;
  // This member's own zone, which it can reach although the others cannot: its traffic there continues.
  bool retained = false;
  int shifted = 0;          // share of the zone's load that the other zones take
  int share = kWholeShare;  // share of its usual traffic that may be sent there
  TimePoint share_updated;
  // Calls per second by all members, as of the last time that the zone was in use and no judge found it
  // unresponsive.
  std::uint32_t baseline_load = 0;
  // The zone's peak of answers in time, per 1000 s, by all members; decays slowly. It is not the sum of the
  // members' own peaks: the sum over many members with little traffic exceeds what the zone ever carried.
  std::uint64_t peak_per_1000s = 0;
  TimePoint peak_updated;
};

// By zone name.
using ZoneStates = std::map<std::string, ZoneState>;

// Moves a zone to a phase and step as of `now`. A change between the two phases in use does not concern the
// others and does not increment the generation.
void EnterPhase(ZoneState& zone, Phase phase, int step, TimePoint now);

// The part of the decision on a zone that this member sends to the others.
ReportedState ReportedStateOf(const ZoneState& zone, TimePoint now);

// Updates the zone's peak: lets it decay by half in ten minutes, then raises it to the current sum over the
// window by all members. A new member raises it to the peak that most others report.
void UpdatePeak(ZoneState& zone, const std::vector<Observation>& observations, TimePoint now);

// Calls per second to the zone by all members with an observation.
std::uint64_t SentPerSecond(const std::vector<Observation>& observations);

}  // namespace mothrack::zone_failover
