// The lease that an agent grants on its machine: who may change the fleet. A holder needs the lease of every
// agent that its change touches, and of a majority of all agents: so there is one holder at a time, and no
// agent that it commands has granted an older one. Each agent counts the lease's time by its own steady
// clock, from when it granted or renewed it; the holder counts from its request, and stops at half the time
// (src/rollout/change.h). A holder that was cut off thus knows that it has lost the lease before any agent
// grants it to another, as long as all clocks run at about the same rate; what time they show does not
// matter.
//
// Before its first step a change is opened at every agent whose lease it has, and closed only once it has
// come to an end that leaves nothing to do. While one is open an agent grants the lease to it alone: its
// steps are finished or undone before another change begins.
//
// A value without I/O: let a copy decide, make its state durable, then replace the original, and answer only
// after that. Not thread-safe. The epoch is a fencing token (Kleppmann, "How to do distributed locking",
// 2016): commands of an epoch below the highest one granted are refused.
#pragma once

#include <optional>
#include <string>

#include "rollout/types.h"

namespace mothrack::rollout {

// What must be on disk before an answer goes out.
struct LeaseState {
  Epoch highest = 0;             // ever granted here
  std::optional<Holder> holder;  // of `highest`, until it is released
  std::optional<Holder> open;    // the change that is not closed yet, and who opened it
  bool operator==(const LeaseState&) const = default;
};

// One agent's part in the lease.
class Lessor {
 public:
  enum class Verdict {
    kGranted,
    kHeld,    // by another, whose time is not over
    kOpen,    // another change is
    kFenced,  // the epoch is not above all that were granted here, or is not the latest
    kLapsed,  // the epoch is the latest, but its time was over: ask for a new one
  };

  // After a restart of the agent a lease has its full duration again, as it is not known how much was left.
  Lessor(LeaseState state, Duration time, TimePoint now)
      : state_(std::move(state)), duration_(time), expires_at_(now + time) {}

  // A new holder. The same operator's claim for the same change takes over: that is a tool started again.
  Verdict Acquire(Epoch epoch, const Holder& holder, TimePoint now);
  // May a command of this epoch and claim be carried out? kGranted renews the lease.
  Verdict Renew(Epoch epoch, const std::string& claim_id, TimePoint now);
  // The holder's change begins; of another holder than the lease was granted to, or of another change:
  // kFenced.
  Verdict Open(Epoch epoch, const Holder& holder, TimePoint now);
  // The holder is done; with `close`, so is its change. Of another epoch or claim: nothing happens.
  void Release(Epoch epoch, const std::string& claim_id, bool close);

  const LeaseState& state() const { return state_; }
  // Who holds it; nobody once the time is over.
  std::optional<Holder> holder(TimePoint now) const;

 private:
  LeaseState state_;
  Duration duration_;
  TimePoint expires_at_;
};

}  // namespace mothrack::rollout
