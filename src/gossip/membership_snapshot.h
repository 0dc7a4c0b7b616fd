// A copy of the membership that the gossip task publishes to the event loop's thread. Immutable once
// published.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "gossip/core.h"

namespace mothrack::gossip {

// All members and values, with counters. Created after changes, at most ten times a second, and once a second
// without changes. The reader keeps the latest one and derives its age from `created_at`.
struct MembershipSnapshot {
  TimePoint created_at;  // on this machine's steady clock, which both threads read
  MembershipUpdate self;
  int health = 0;                    // Core::health()
  std::size_t alive = 0, known = 0;  // Core::alive(), Core::known()
  std::vector<MemberView> members;
  std::vector<Value> values;  // their ages are as of `created_at`
  Counts counts;
  std::uint64_t dropped = 0;          // commands and snapshots dropped by a full queue
  std::uint64_t unauthenticated = 0;  // datagrams without a valid seal
  std::uint64_t undecodable = 0;      // datagrams with a valid seal whose message is invalid
  std::uint64_t replayed = 0;         // datagrams received before, or older than the replay window
  std::uint64_t send_failures = 0;    // datagrams that the kernel did not accept
};
using MembershipSnapshotPtr = std::shared_ptr<const MembershipSnapshot>;

// The reader uses only the latest snapshot. With a capacity of two, the task does not drop the one that the
// event loop is about to pop.
constexpr std::size_t kMaxPendingSnapshots = 2;

}  // namespace mothrack::gossip
