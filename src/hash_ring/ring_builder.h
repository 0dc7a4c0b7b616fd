// Builds the generations of the ring by the same rules at every member. Its input is updates of nodes and the
// records of other members; its output is rings. There is no leader: if every member makes the same change
// independently it is one change, and two different changes are merged to the same result at all members.
//
// A node's record has its level, its weight share and the generation in which it last changed. Of two records
// the later one applies; within one generation, the one with less weight (Supersedes()). So records can be
// merged in any order and repeatedly, and members that know the same records have the same ring. A ring's
// generation is the highest of its records; its content has a hash.
//
// How long two members may disagree, if updates and records reach every member within S and all members call
// Update() every T:
//   * A node that is missing, draining or at the start of its slow start is bypassed at once, without a new
//     generation: S + T.
//   * A change of records: 2S + T from when the first member makes it. Its records take S to arrive, and
//     another S if another member made its own change of the same generation before it received them.
//   * A change that an update makes due is made within `batch_window` + T after the first member learns of
//     it.
// This requires `settle_time` >= S + T: a member that does not know yet why a record changed waits that long
// before it would change it back, and learns the reason in the meantime. Rules as tables:
// docs/design/hash_ring.md.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "hash_ring/ring.h"

namespace mothrack::hash_ring {

using Duration = std::chrono::milliseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// The times and bounds of the ring's changes. They must be the same at all members. Reasons:
// docs/design/hash_ring.md.
struct RingConfig {
  // A change must be due for this long before it is made; at least S + T.
  Duration settle_time{1'500};
  // A due change waits at most this long for changes that are still settling, so that they share one
  // generation.
  Duration batch_window{5'000};
  // A node that is missing from the list keeps its record for this long, because it may return.
  Duration missing_grace{60'000};
  // How long records of removed nodes are remembered: longer than any member is cut off without a restart.
  Duration removal_memory{600'000};
  // A member reports itself as stale after this time without an update.
  Duration stale_after{5'000};
  // Half the width of the hysteresis of a node's level, in half steps (see kHysteresis).
  int hysteresis = kHysteresis;
  // The balancer's slow start: the share of the capacity at its start, in thousandths, and the time until the
  // full capacity. A node's weight share never exceeds the share that the balancer uses.
  std::uint32_t slow_start_initial_share = 100;
  Duration slow_start_time{20'000};
};

// The state of a node in the merged endpoint list. A node that is missing from the list is not known to be
// removed.
struct NodeUpdate {
  enum class State : std::uint8_t { kActive, kDraining, kRemoved };
  std::string uid;
  State state = State::kActive;
  std::uint64_t registered_capacity = 1'000;  // in thousandths of a unit
  // The merged measurements of the fleet, in thousandths of a unit. Absent if no measurement is valid any
  // more.
  std::optional<std::uint64_t> measured_capacity{};
  Duration age{0};  // current age of its process
};

// A record of a node, which the members exchange and merge.
struct NodeRecord {
  std::string uid;
  std::uint64_t generation = 0;  // the one that last changed it
  Level level = 0;
  // kNone: the record is kept, but the node is at the start of its slow start and does not serve yet.
  WeightShare weight_share = WeightShare::kNone;
  bool removed = false;  // a tombstone, so that an older record does not return
  bool operator==(const NodeRecord&) const = default;
};

// Whether `record` replaces `current`: it belongs to a later generation, or to the same one and is lighter.
bool Supersedes(const NodeRecord& record, const NodeRecord& current);

// The status of a member that is cut off or receives no updates.
struct Staleness {
  bool stale = false;
  Duration since_update{0};
};

// Used by one thread; its rings may be read by any thread. Memory is bounded by kMaxNodes records. Time must
// not decrease.
class RingBuilder {
 public:
  explicit RingBuilder(const RingConfig& config, TimePoint now) : config_(config), last_update_(now) {}

  // Merges records of another member, in any order, all of them or some. Returns true if ring() has changed.
  // A record that no member of this version could have sent, or that exceeds the bound, is rejected and
  // counted.
  bool Merge(const std::vector<NodeRecord>& records, TimePoint now);
  // Applies the current endpoint list. A member that is `cut_off` (hears from fewer than half of the members
  // it knew) ignores the list and keeps its ring. Must be called every T and when the list changes. Returns
  // true if ring() has changed.
  bool Update(const std::vector<NodeUpdate>& nodes, bool cut_off, TimePoint now);

  std::shared_ptr<const Ring> ring() const { return ring_; }
  std::vector<NodeRecord> records() const;  // including those of removed nodes; by uid
  std::uint64_t generation() const { return generation_; }
  // Whether this member is stale, and the time since its last update.
  Staleness staleness(TimePoint now) const;
  std::uint64_t rejected() const { return rejected_; }  // records and updates

 private:
  struct Entry {
    std::optional<NodeRecord> record;
    bool bypassed = false;
    std::optional<TimePoint> missing_since;  // from the list
    std::optional<NodeRecord> pending;       // the record after the pending change
    TimePoint pending_since;                 // start of a change in this direction (heavier or lighter)
    TimePoint changed_at;                    // when the record last changed at this member
  };
  // Returns the record that a node should get according to its update (null: missing from the list), or
  // nothing if its record needs no change.
  std::optional<NodeRecord> DesiredRecord(const Entry& entry, const NodeUpdate* update, TimePoint now) const;
  WeightShare WeightShareAt(Duration age) const;
  void SetPending(Entry& entry, std::optional<NodeRecord> desired, TimePoint now);
  bool ApplyDueChanges(TimePoint now);
  void Rebuild();

  RingConfig config_;
  std::map<std::string, Entry> entries_;
  std::uint64_t generation_ = 0;
  TimePoint last_update_;
  std::uint64_t rejected_ = 0;
  std::shared_ptr<const Ring> ring_ = std::make_shared<const Ring>();
};

}  // namespace mothrack::hash_ring
