// Change freeze: decides who may change the fleet during an incident. Read this first; it includes everything
// that callers need.
//
// While a zone is lost or an operator has declared an incident, changes make it worse. The agents elect a
// leader. The leader keeps the incidents, decides which changes may proceed, and grants permits. An agent
// acts only with a recently confirmed permit. Design: docs/design/change_freeze.md.
//
//   at each of three or five agents            at every agent
//   PermitService                              AgentPermits
//     Voter: election, lease, register   <->     which permits are valid here
//     FreezeState: what is replicated            break-glass, the operator's override
//       Incidents, Permits, BreakGlassRecords
//
//   conflicts.h     the effect of an incident on a change; which changes exclude each other
//   incidents.h     incidents and their states
//   permit.h        permits and how long they are valid
//   break_glass.h   who may override a freeze, and for how long
//   freeze_state.h  the replicated state and its rules
//   voter.h         the election and the register; its parts are listed there
//   status.h        why a request was refused
//   bounds.h        bounds of everything
//
// Everything here is pure: no clock, disk, socket, thread or random engine. The host, an agent's process,
// owns one PermitService (if the agent is a voter) and one AgentPermits. It passes in the time of its steady
// clock and the received messages, stores what changed (apply_durably.h), and sends the output. Nothing here
// is thread-safe: the agent's event loop calls each object. No sidecar links this package.
//
// The design note and the texts for people use the word coordinator for the leader.
#pragma once

#include "change_freeze/agent_permits.h"
#include "change_freeze/apply_durably.h"
#include "change_freeze/permit_service.h"
