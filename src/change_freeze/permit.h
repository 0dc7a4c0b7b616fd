// A permit is the leader's permission for one change to run: its kind, what it touches, and up to which
// batch. Agents act by confirmations of it, and only for a short while after they asked (AgentPermits).
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

// How long a confirmation counts from when it was asked for, by true time: a decision of the leader is in
// force at every agent after that. An agent counts it shortened by the clock tolerance, the leader
// lengthened.
inline constexpr Duration kPermitValidity{2000};
// How often the carrier is to poll for a permit that is in use: three chances before it lapses.
inline constexpr Duration kPermitPollInterval{500};
// Nobody asked about a permit for so long: it ends here; the fleet's lease (rollout/lease.h) keeps its change
// open.
inline constexpr Duration kPermitIdleTimeout{60'000};

enum class PermitState : std::uint8_t {
  kNone,     // there is none
  kRunning,  // to its batch
  kPaused,   // the batch that runs may end, the next may not begin
  kBlocked,  // no further step
};

// A tool's request, repeated for each batch.
struct PermitRequest {
  std::string change{};  // its name, the same for each batch
  ChangeKind kind = ChangeKind::kRestart;
  Footprint footprint{};
  std::string requester{};
  std::set<std::uint64_t> remedies{};  // ids of the incidents that it says it mends
  std::uint32_t batch = 0;             // up to which it wants to begin; 0: none yet
};

// As the leader keeps it.
struct Permit {
  std::string change{};
  ChangeKind kind = ChangeKind::kRestart;
  Footprint footprint{};
  std::string requester{};
  std::set<std::uint64_t> remedies{};
  std::uint32_t batch = 0;  // the last that may begin
  PermitState state = PermitState::kRunning;
  std::string reason{};  // why it is paused, blocked or ended; empty otherwise
  // Done, withdrawn, blocked or followed by another kind. It stays, and excludes others, until no agent can
  // have a confirmation of it any more.
  bool ended = false;
  TimePoint ended_at{};
  TimePoint last_polled{};  // when an agent or tool last asked about it
};

// The leader's answer to an agent's poll.
struct PermitConfirmation {
  Term term = 0;
  std::uint64_t version = 0;  // of the committed state that says so, in `term`
  std::string change{};
  ChangeKind kind = ChangeKind::kRestart;
  PermitState state = PermitState::kNone;
  std::uint32_t batch = 0;  // the last that may begin
  std::string reason{};     // for people; empty while it runs
};

}  // namespace mothrack::change_freeze
