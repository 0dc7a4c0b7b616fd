// Builds the generations of the ring, by the same rules at every member: updates of nodes and the records of
// other members go in, rings come out. No member leads or is asked: a change that every member comes to by
// itself is the same change, and two that differ are merged to one at all.
//
// A record of a node has its level, its weight share and the generation in which it last changed. Of two
// records the later counts, of two of one generation the lighter (Supersedes): so records merge in any order,
// however often, and members that know the same records serve by the same ring. A ring's generation is the
// highest of its records; its content has a hash.
//
// How long two members may disagree, where updates and records reach every member within S, and all call
// Update() every T:
//   * that a node is gone, draining or cold is followed at once, without a generation: S + T;
//   * a change of records: 2S + T from when the first member makes it (S for its records to arrive; once more
//     where another member, not having received them, made its own of the same generation);
//   * a change that an update makes due is made within `batch_window` + T of the first member's learning it.
// That wants `settle_time` >= S + T: a member that does not know yet why a record changed waits that long
// before it would change it back, and learns it in the meantime. Rules as tables: docs/design/hash_ring.md.
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

// The same at all members. Reasons: docs/design/hash_ring.md.
struct RingConfig {
  // A change has to be due for so long before it is made; no less than S + T.
  Duration settle_time{1'500};
  // What is due waits for changes that still settle, at most for so long: together they are one generation.
  Duration batch_window{5'000};
  // A node that is missing in the list keeps its record for so long: it may be back.
  Duration missing_grace{60'000};
  // Records of removed nodes are remembered for so long: more than any member is cut off without a restart.
  Duration removal_memory{600'000};
  // Without an update for longer a member says that it is stale.
  Duration stale_after{5'000};
  // Half steps: see kHysteresis.
  int hysteresis = kHysteresis;
  // What the balancer sends to upstreams in slow start: thousandths of the capacity at the start, and the
  // time until it is whole. A node's share of its weight is never above that.
  std::uint32_t slow_start_initial_share = 100;
  Duration slow_start_time{20'000};
};

// What the merged endpoint list says of a node. One that is missing in the list is not known to be removed.
struct NodeUpdate {
  enum class State : std::uint8_t { kActive, kDraining, kRemoved };
  std::string uid;
  State state = State::kActive;
  std::uint64_t registered_capacity = 1'000;  // in thousandths of a unit
  // By the fleet, as merged, in thousandths of a unit; absent where no measurement is valid any more.
  std::optional<std::uint64_t> measured_capacity{};
  Duration age{0};  // of its process, now
};

// What members exchange of a node, and merge.
struct NodeRecord {
  std::string uid;
  std::uint64_t generation = 0;  // that changed it last
  Level level = 0;
  WeightShare weight_share =
      WeightShare::kNone;  // kNone: the record is kept, but the node is too cold to serve
  bool removed = false;    // a tombstone: so that an older record does not come back
  bool operator==(const NodeRecord&) const = default;
};

// Whether `record` replaces `current`: it is of a later generation, or of the same and lighter.
bool Supersedes(const NodeRecord& record, const NodeRecord& current);

// What a member that is cut off, or gets no updates, says with what it serves.
struct Staleness {
  bool stale = false;
  Duration since_update{0};
};

// Not thread-safe: one thread feeds it; the rings that it gives out may be read from any. Memory is bounded:
// kMaxNodes records. Time must not go back.
class RingBuilder {
 public:
  explicit RingBuilder(const RingConfig& config, TimePoint now) : config_(config), last_update_(now) {}

  // Records of another member, in any order, all or some. True where ring() is another now. A record that no
  // member of this version could have sent, or that is one too many, is rejected and counted.
  bool Merge(const std::vector<NodeRecord>& records, TimePoint now);
  // The endpoint list as it is now. A member that is `cut_off` (hears fewer than half of those it knew)
  // learns nothing from it and serves by what it has. Call it every T, and when the list changes. True where
  // ring() is another now.
  bool Update(const std::vector<NodeUpdate>& nodes, bool cut_off, TimePoint now);

  std::shared_ptr<const Ring> ring() const { return ring_; }
  std::vector<NodeRecord> records() const;  // those of removed nodes included; by uid
  std::uint64_t generation() const { return generation_; }
  Staleness staleness(TimePoint now) const;
  std::uint64_t rejected() const { return rejected_; }  // records and updates

 private:
  struct Entry {
    std::optional<NodeRecord> record;
    bool bypassed = false;
    std::optional<TimePoint> missing_since;  // in the list
    std::optional<NodeRecord> pending;       // what the record should become
    TimePoint pending_since;                 // heavier, or lighter
    TimePoint changed_at;                    // the record, here
  };
  // What the record of a node should become by its update (null: missing in the list); nothing where it may
  // stay as it is.
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
