// Who may change the fleet while something is wrong in it. Read this first; it includes all that callers
// need.
//
// While a zone is lost or an operator has declared an incident, changes make it worse. The agents elect a
// leader, which keeps the incidents, decides which changes may go on, and gives out permits; an agent acts
// only by a permit that was confirmed a short while ago. The design note is docs/design/change_freeze.md.
//
//   at each of three or five agents            at every agent
//   PermitService                              AgentPermits
//     Voter: election, lease, register   <->     which permits still count here
//     FreezeState: what is replicated            break-glass, the operator's override
//       Incidents, Permits, BreakGlassRecords
//
//   conflicts.h     what an incident does to a change; which changes exclude each other
//   incidents.h     what is wrong, and its states
//   permit.h        what a permit is, and for how long it counts
//   break_glass.h   who may override a freeze, and for how long
//   freeze_state.h  the replicated state and its rules
//   voter.h         the election and the register; its parts are listed there
//   status.h        why something was refused
//   bounds.h        how much there may be of everything
//
// All of it is pure: no clock, disk, socket, thread or random engine. The carrier, an agent's process, owns
// one PermitService (where the agent is a voter) and one AgentPermits, hands in the time of its steady clock
// and the messages that it received, writes what changed (apply_durably.h), and sends what comes out. Nothing
// here is thread-safe: one thread calls each object, the agent's event loop. No sidecar links it.
//
// The design note and the texts for people say coordinator for the leader.
#pragma once

#include "change_freeze/agent_permits.h"
#include "change_freeze/apply_durably.h"
#include "change_freeze/permit_service.h"
