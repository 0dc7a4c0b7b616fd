// The state machine of a zone: conditions, actions, one transition function and its table. The table is the
// table "Rules of a zone" of docs/design/zone_failover.md (a test compares the two). Pure functions; any
// thread.
#pragma once

#include <cstdint>

#include "zone_failover/config.h"
#include "zone_failover/types.h"
#include "zone_failover/zone_state.h"

namespace mothrack::zone_failover {

// The condition of a zone, in the order of the page's table. Each comment starts with the page's word.
// conditions.h has the rules.
enum class Condition {
  kIsolated,         // alone: this member hears from fewer than half of the members that it knew
  kOverrideDrain,    // leave
  kOverrideHold,     // stay
  kOverrideRecover,  // return: not carried out yet
  kNoAlternative,    // last: unavailable or to be drained, but no other zone in use can take its load
  kOverload,         // late: a quorum finds it unresponsive, but the other zones answer late as well
  kUnavailable,      // lost: a quorum finds it unresponsive
  kDoubtful,         // doubt: many find it unresponsive, or a quorum lacks judges
  kNoEvidence,       // unknown: no member has a verdict
  kRecoveryProven,   // proved: enough answers to enough members since the step began
  kHealthy,          // well
};

// The actions of transitions. Each comment starts with the page's word.
enum class Action {
  kKeep,           // keep
  kWatch,          // watch: suspected from now on
  kStartDrain,     // leave
  kShiftMore,      // move: a further step of the drain
  kProbe,          // try: the probing members send probes
  kStartRecovery,  // return
  kStepUp,         // step on
  kStepDown,       // step back
  kAbortRecovery,  // put back: drained again at once
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
  bool others_late = false;           // their answers are late, so no more load may be shifted to them
  bool locally_reachable = false;     // it is this member's own zone, and this member can reach it
  TimePoint now;
};

// Carries out the transition for the condition. The resulting phase may differ from Transition::to: a
// draining zone whose entire load is shifted becomes drained, a recovering one after its last step becomes
// active, and one that steps down from its first step becomes drained.
void ApplyTransition(ZoneState& zone, const TransitionInput& input, const FailoverConfig& config);

}  // namespace mothrack::zone_failover
