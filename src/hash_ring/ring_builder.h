// Makes the generations of the ring, by the same rules at every member: what the list of nodes says, and what
// other members made, go in; rings come out. Nobody is asked and nobody leads: a change that every member
// comes to by itself is the same change, and two that differ are merged to one at all.
//
// What is held of a node is its place: level, part of its weight, and the number of the generation in which
// it last changed. Of two places the later counts, of two of one generation the lighter (Supersedes): so
// places merge in any order, however often, and members that know the same places serve by the same ring. The
// number of a generation is the highest in its places; its content has a hash.
//
// How long two members may disagree, where news of nodes and places reach every member within S, and all turn
// every T:
//   * that a node is gone, leaving or cold is followed at once, without a generation: S + T;
//   * a change of places: 2S + T from when the first member makes it (S for its places to arrive; once more
//   where another
//     member, not having heard of them, made its own of the same number);
//   * a change that news makes due is made within `window` + T of the first member's hearing of it.
// That wants `settle` >= S + T: a member that has not heard yet why a place changed waits that long before it
// would change it back, and hears in the meantime. docs/design/ring.md has the rules as tables.
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

struct RingConfig {
  Duration settle_time{1'500};   // a change has to be due for as long; no less than S + T
  Duration batch_window{5'000};  // what is due waits for what still settles, at most as long: one generation
  Duration missing_grace{60'000};  // a node that is missing keeps its place
  Duration removal_memory{
      600'000};  // places that are given up: longer than any member is cut off without starting anew
  Duration stale_after{5'000};  // without fresh news a member says so
  int hysteresis = kHysteresis;
  // What the module takes of fresh upstreams (kestrellb::Rules): thousandths of the capacity at the start,
  // and when it is whole. A node's part of its weight is never above that.
  std::uint32_t slow_start_initial_share = 100;
  Duration slow_start_time{20'000};
};

// What the merged list says of a node. One that is missing in the list is not known to be left: it may be
// back.
struct NodeUpdate {
  enum class State : std::uint8_t { kActive, kDraining, kRemoved };
  std::string uid;
  State state = State::kActive;
  std::uint64_t registered_capacity = 1'000;  // registered capacity, in thousandths of a unit
  std::optional<std::uint64_t>
      measured_capacity{};  // by the fleet, as merged; absent: none that has not lapsed
  Duration age{0};          // of its process, now
};

struct NodeRecord {
  std::string uid;
  std::uint64_t generation = 0;  // of the generation that changed it last
  Level level = 0;
  WeightShare weight_share = WeightShare::kNone;  // kNone: it is kept, but the node is too cold to serve
  bool removed = false;  // given up: remembered so that an older place does not come back
  bool operator==(const NodeRecord&) const = default;
};

bool Supersedes(const NodeRecord& record, const NodeRecord& current);

// What members that were cut off, or hear nothing fresh, say with what they serve.
struct Staleness {
  bool stale = false;
  Duration since_update{0};
};

class RingBuilder {
 public:
  explicit RingBuilder(const RingConfig& config, TimePoint now) : config_(config), last_update_(now) {}

  // Places that another member holds, in any order, all or some. True where ring() is another now. What no
  // member of ours could have sent is not taken, and counted.
  bool Merge(const std::vector<NodeRecord>& records, TimePoint now);
  // The list as it is now. A member that is `cut_off` (hears fewer than half of those it knew) learns nothing
  // from it: it serves by what it has. Call it every T, and when the list changes. True where ring() is
  // another now.
  bool Update(const std::vector<NodeUpdate>& nodes, bool cut_off, TimePoint now);

  std::shared_ptr<const Ring> ring() const { return ring_; }
  std::vector<NodeRecord> records() const;  // those that are given up included; by uid
  std::uint64_t generation() const { return generation_; }
  Staleness staleness(TimePoint now) const;
  std::uint64_t rejected() const { return rejected_; }

 private:
  struct Entry {
    std::optional<NodeRecord> record;
    bool bypassed = false;
    std::optional<TimePoint> missing_since;  // since when
    std::optional<NodeRecord> pending;       // what the place should be
    TimePoint pending_since;                 // in this direction
    TimePoint changed_at;                    // the place, here
  };
  // What the place of a node should be by what is said of it; as it is: nothing to do.
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
