// The state machine of a zone: conditions, actions, one transition function and its table, which is the table
// "Rules of a zone" of docs/design/zone_failover.md (a test compares the two). Pure; any thread.
#pragma once

#include <cstdint>

#include "zone_failover/config.h"
#include "zone_failover/types.h"
#include "zone_failover/zone_state.h"

namespace mothrack::zone_failover {

// What holds of a zone; in the order of the page's table, whose word follows. conditions.h has the rules.
enum class Condition {
  kIsolated,         // alone: this member hears fewer than half of those that it knew
  kOverrideDrain,    // leave
  kOverrideHold,     // stay
  kOverrideRecover,  // return: not carried out yet
  kNoAlternative,    // last: unavailable or to be drained, and no other zone in use can take its load
  kOverload,         // late: a quorum finds it unresponsive, but the other zones answer late as well
  kUnavailable,      // lost: a quorum finds it unresponsive
  kDoubtful,         // doubt: many find it unresponsive, or a quorum lacks judges
  kNoEvidence,       // unknown: nobody has a verdict
  kRecoveryProven,   // proved: enough answers to enough members since the step began
  kHealthy,          // well
};

enum class Action {
  kKeep,           // keep
  kWatch,          // watch: suspect from now on
  kStartDrain,     // leave
  kShiftMore,      // move: a further step of the drain
  kProbe,          // try: the probing members send probes
  kStartRecovery,  // return
  kStepUp,         // step on
  kStepDown,       // step back
  kAbortRecovery,  // put back: drained again at once
};

struct Transition {
  Phase to = Phase::kActive;
  Action action = Action::kKeep;
};
Transition TransitionFor(Phase phase, Condition condition);

// What the actions go by, beside the zone itself.
struct TransitionInput {
  Condition condition = Condition::kHealthy;
  std::uint64_t override_number = 0;  // of the effective override; 0 where there is none
  std::uint64_t spare_capacity = 0;   // calls a second that the other zones in use bore beyond what they have
  bool others_late = false;           // their answers come late: nothing more is to be shifted to them
  bool locally_reachable = false;     // this member's own zone, which it reaches itself
  TimePoint now;
};

// Carries out the transition for the condition. The phase may differ from Transition::to: a drain of which
// all load is shifted is drained, a recovery after its last step is active, one that steps down from its
// first is drained.
void ApplyTransition(ZoneState& zone, const TransitionInput& input, const FailoverConfig& config);

}  // namespace mothrack::zone_failover
