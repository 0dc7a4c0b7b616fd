// A permit is the leader's permission for one change to run: its kind, what it touches, and its last batch.
// Agents act on confirmations of it, and only for a short time after they requested one (AgentPermits).
//
// Plain values; any thread.
#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "change_freeze/clock_tolerance.h"
#include "change_freeze/conflicts.h"
#include "change_freeze/voter_record.h"

namespace mothrack::change_freeze {

// How long a confirmation is valid from the time of its request, in true time. A decision of the leader is in
// force at every agent after this time. An agent shortens it by the clock tolerance, the leader lengthens it.
inline constexpr Duration kPermitValidity{2000};
// How often the host polls for a permit in use: three attempts before the permit lapses.
inline constexpr Duration kPermitPollInterval{500};
// A permit that was not polled for this long ends. Its change stays open at the agents
// (rollout/lease.h).
inline constexpr Duration kPermitIdleTimeout{60'000};

// The state of a permit.
enum class PermitState : std::uint8_t {
  kNone,     // there is no permit
  kRunning,  // up to its batch
  kPaused,   // the running batch may finish, the next one may not begin
  kBlocked,  // no further step
};

// A tool's request, repeated for each batch.
struct PermitRequest {
  std::string change{};  // its name, the same for each batch
  ChangeKind kind = ChangeKind::kRestart;
  Footprint footprint{};
  std::string requester{};
  std::set<std::uint64_t> remedies{};  // ids of the incidents that it claims to fix
  std::uint32_t batch = 0;             // the last batch it wants to begin; 0: none yet
};

// A permit as stored by the leader.
struct Permit {
  std::string change{};
  ChangeKind kind = ChangeKind::kRestart;
  Footprint footprint{};
  std::string requester{};
  std::set<std::uint64_t> remedies{};
  std::uint32_t batch = 0;  // the last one that may begin
  PermitState state = PermitState::kRunning;
  std::string reason{};  // why it is paused, blocked or ended; empty otherwise
  // Done, withdrawn, blocked, or replaced by another kind. It stays, and excludes other changes, until no
  // agent can have a valid confirmation of it any more.
  bool ended = false;
  TimePoint ended_at{};
  TimePoint last_polled{};  // the latest poll by an agent or tool
};

// The leader's answer to an agent's poll.
struct PermitConfirmation {
  Term term = 0;
  std::uint64_t version = 0;  // of the committed state it is based on, in `term`
  std::string change{};
  ChangeKind kind = ChangeKind::kRestart;
  PermitState state = PermitState::kNone;
  std::uint32_t batch = 0;  // the last one that may begin
  std::string reason{};     // human-readable; empty while the change may run
};

}  // namespace mothrack::change_freeze
