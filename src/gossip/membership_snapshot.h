// What the gossip task publishes to the event loop's thread. Immutable once published.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "gossip/core.h"

namespace mothrack::gossip {

// The whole membership. Made each time something changed, at most ten times a second, and once a second where
// nothing did; the reader keeps the latest and knows by `created_at` how old it is.
struct MembershipSnapshot {
  TimePoint created_at;  // this machine's steady clock: both threads read the same
  MembershipUpdate self;
  int health = 0;  // Core::health()
  std::size_t alive = 0, known = 0;
  std::vector<MemberView> members;
  std::vector<Value> values;  // ages as of `created_at`
  Counts counts;
  std::uint64_t dropped = 0;          // commands and snapshots that a full queue dropped
  std::uint64_t unauthenticated = 0;  // datagrams without a valid seal
  std::uint64_t undecodable = 0;      // datagrams with a valid seal that are no valid message
  std::uint64_t replayed = 0;         // datagrams that were received before, or are older than the window
  std::uint64_t send_failures = 0;    // datagrams that the system did not accept
};
using MembershipSnapshotPtr = std::shared_ptr<const MembershipSnapshot>;

// Only the latest counts. A second one, so that the task does not drop the one that the loop is about to pop.
constexpr std::size_t kMaxPendingSnapshots = 2;

}  // namespace mothrack::gossip
