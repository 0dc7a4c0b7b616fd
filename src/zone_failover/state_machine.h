// The state machine of a zone: conditions, actions, one transition function and its table. The table is the
// table "Rules of a zone" of docs/design/zone_failover.md (a test compares the two). Pure functions; any
// thread.
#pragma once

#include <cstdint>

#include "zone_failover/config.h"
#include "zone_failover/types.h"
#include "zone_failover/zone_state.h"

namespace mothrack::zone_failover {

// The condition of a zone, in the order of the table "Rules of a zone" of docs/design/zone_failover.md. Each
// comment starts with the condition's name in that table. conditions.h has the rules.
enum class Condition {
  kIsolated,         // alone: this member hears from fewer than half of the members that it knew
  kOverrideDrain,    // leave: an operator's override drains the zone
  kOverrideHold,     // stay: an operator's override holds the zone's phase
  kOverrideRecover,  // return: an operator's override to recover the zone was not carried out yet
  kNoAlternative,    // last: unavailable or to be drained, but no other zone in use can take its load
  kOverload,         // late: a quorum finds it unresponsive, but the other zones answer late as well
  kUnavailable,      // lost: a quorum finds it unresponsive
  kDoubtful,         // doubt: many find it unresponsive, or a quorum lacks judges
  kNoEvidence,       // unknown: no member has a verdict
  kRecoveryProven,   // proved: enough answers to enough members since the step began
  kHealthy,          // well: no other condition holds
};

// The actions of transitions. Each comment starts with the action's name in that table.
enum class Action {
  kKeep,           // keep: no action
  kWatch,          // watch: the zone is suspected from now on
  kStartDrain,     // leave: the first step of the drain
  kShiftMore,      // move: a further step of the drain
  kProbe,          // try: the probing members send probes
  kStartRecovery,  // return: the first step of the recovery
  kStepUp,         // step on: the next step of the recovery; from the last one, active
  kStepDown,       // step back: the previous step of the recovery; from the first one, drained
  kAbortRecovery,  // put back: the zone is drained again at once
};

// An entry of the table.
struct Transition {
  Phase to = Phase::kActive;
  Action action = Action::kKeep;
};
Transition TransitionFor(Phase phase, Condition condition);

// The input of the actions, in addition to the state of the zone.
struct TransitionInput {
  Condition condition = Condition::kHealthy;
  std::uint64_t override_number = 0;  // of the effective override; 0 if there is none
  std::uint64_t spare_capacity = 0;   // calls per second that the other zones in use can serve in addition
  bool others_late = false;           // the other zones answer late, so no more load may be shifted to them
  bool locally_reachable = false;     // the zone is this member's own, and this member can reach it
  TimePoint now;
};

// Carries out the transition for the condition. The resulting phase may differ from Transition::to: a
// draining zone whose entire load is shifted becomes drained, a recovering one after its last step becomes
// active, and one that steps down from its first step becomes drained.
void ApplyTransition(ZoneState& zone, const TransitionInput& input, const FailoverConfig& config);

}  // namespace mothrack::zone_failover
