// The lease that an agent grants on its machine; it decides who may change the fleet. A holder needs the
// lease of every agent that its change touches, and of a majority of all agents. So there is one holder at a
// time, and no agent that it commands still honours an older lease. Each agent counts the lease's duration by
// its own steady clock, from when it granted or renewed the lease. The holder counts from its request, and
// stops at half of the duration (src/rollout/change.h). So a holder that was cut off knows that it has lost
// the lease before any agent grants it to another one, provided that all clocks run at about the same rate.
// Their absolute times do not matter.
//
// Before its first step, a change is opened at every agent whose lease it has. It is closed only once it has
// ended with nothing left to do. While a change is open at an agent, that agent grants the lease only for
// this change, so its steps are finished or undone before another change begins.
//
// A value without I/O: call a function on a copy, make the copy's state durable, replace the original by the
// copy, and only then answer. Not thread-safe. The epoch is a fencing token (Kleppmann, "How to do
// distributed locking", 2016): commands of an epoch below the highest one granted are refused.
#pragma once

#include <optional>
#include <string>

#include "rollout/types.h"

namespace mothrack::rollout {

// The state that must be on disk before an answer is sent.
struct LeaseState {
  Epoch highest = 0;             // the highest epoch that this agent has granted
  std::optional<Holder> holder;  // of `highest`, until it releases the lease
  std::optional<Holder> open;    // the open change, and the holder that opened it
  bool operator==(const LeaseState&) const = default;
};

// One agent's side of the lease.
class Lessor {
 public:
  enum class Verdict {
    kGranted,
    kHeld,    // another holder's lease has not expired
    kOpen,    // another change is open
    kFenced,  // the epoch is outdated: not above the highest granted one, or not the current one
    kLapsed,  // the epoch is the current one, but its lease has expired: acquire a new one
  };

  // After a restart of the agent a lease has its full duration again, because the remaining time is unknown.
  Lessor(LeaseState state, Duration duration, TimePoint now)
      : state_(std::move(state)), duration_(duration), expires_at_(now + duration) {}

  // Grants the lease to a new holder. A claim by the same operator for the same change takes over an
  // unexpired lease, because it comes from a restarted tool.
  Verdict Acquire(Epoch epoch, const Holder& holder, TimePoint now);
  // Checks whether a command of this epoch and claim may be carried out; kGranted also renews the lease.
  Verdict Renew(Epoch epoch, const std::string& claim_id, TimePoint now);
  // Opens the holder's change. Returns kFenced if the lease was granted to another holder or for another
  // change.
  Verdict Open(Epoch epoch, const Holder& holder, TimePoint now);
  // Releases the lease and, with `close`, closes the open change. Does nothing for another epoch or claim.
  void Release(Epoch epoch, const std::string& claim_id, bool close);

  const LeaseState& state() const { return state_; }
  // The current holder; std::nullopt if there is none or its lease has expired.
  std::optional<Holder> holder(TimePoint now) const;

 private:
  LeaseState state_;
  Duration duration_;
  TimePoint expires_at_;
};

}  // namespace mothrack::rollout
