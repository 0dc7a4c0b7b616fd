// Determines the owners of a key, in order: weighted rendezvous hashing (Thaler and Ravishankar, 1998). READ
// THIS FIRST; then ring_builder.h (how members reach the same ring) and bounded_load.h (which owner serves a
// request). Reasons and alternatives: docs/design/hash_ring.md.
//
// For each key, each node gets an exponentially distributed time, computed from the hashes of key and node,
// with its weight as the rate. The node with the earliest time is the owner. So a joining node takes its
// share equally from all others, and nothing else moves. If a node leaves or is bypassed, only its own keys
// move. If a node's share of the total weight changes by c, the share c of the keys moves. A bypassed node
// and an absent one lead to the same owners.
//
// All computations use integers, so that members on other machines, with other compilers or math libraries,
// get the same owners bit for bit. Nothing in this package does I/O, reads a clock or draws random numbers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mothrack::hash_ring {

// The type of products of two 64-bit numbers. An extension of GCC and Clang.
__extension__ using Uint128 = unsigned __int128;

// Seeds of xxHash64. They must never change, because another seed would move every key. Keys and nodes have
// different seeds, so that a key that equals a node's uid is not special.
constexpr std::uint64_t kKeySeed = 0x6b65792d72696e67;   // "key-ring"
constexpr std::uint64_t kNodeSeed = 0x6e6f64652d726e67;  // "node-rng"

constexpr std::size_t kMaxNodes = 4096;   // the same bound as in gossip
constexpr std::size_t kMaxUidBytes = 64;  // the same bound as for a member's name

// xxHash64 with the seed for keys, and with the seed for nodes.
std::uint64_t KeyHash(std::string_view key);
std::uint64_t NodeHash(std::string_view uid);
// The finalization step of xxHash64: each input bit affects half of the output bits.
std::uint64_t Mix(std::uint64_t bits);

// ---- Capacity levels ----

// A capacity on a logarithmic scale in eighths of an octave. Neighbours differ by 9.05%, which is about the
// precision with which a capacity can be measured.
using Level = std::uint8_t;
constexpr int kStepsPerOctave = 8;
constexpr Level kTopLevel = 255;  // 2^31.9 thousandths: a node of 3.9 million units

// The nearest level of a capacity in thousandths of a unit. 0 counts as 1, and a capacity that is too high as
// kTopLevel.
Level LevelOf(std::uint64_t capacity);
// Half the width of the hysteresis, in half steps (sixteenths of an octave). With three, variations of less
// than one step (9.05% up, 8.3% down) from the capacity at which a level was chosen never change the level,
// because that capacity was at most half a step off the level's centre.
constexpr int kHysteresis = 3;
// Returns the current level while the capacity is less than `hysteresis` half steps off its centre, otherwise
// the nearest level.
Level LevelWithHysteresis(std::optional<Level> current, std::uint64_t capacity, int hysteresis = kHysteresis);

// The share of its weight that a node currently has (slow start). The values are compared and hashed, so
// they must not change.
enum class WeightShare : std::uint8_t { kNone = 0, kQuarter = 1, kHalf = 2, kFull = 3 };

// ---- The ring ----

// A node of the ring.
struct Node {
  std::string uid;  // unique; at most kMaxUidBytes
  Level level = 0;  // of its capacity
  WeightShare weight_share = WeightShare::kFull;
  bool bypassed = false;  // still included in Ring::hash(), but the next owners serve its keys
  bool operator==(const Node&) const = default;
};

// An owner of a key, ordered by its time, the earliest first. `cost` is proportional to the time; only its
// order has a meaning.
struct Owner {
  Uint128 cost = 0;
  std::uint32_t node = 0;  // index into Ring::nodes()
  bool operator<(const Owner& other) const {
    return cost != other.cost ? cost < other.cost : node < other.node;
  }
};

// The ring of one generation. Immutable, so any thread may read it. The time of a lookup is proportional to
// the number of serving nodes.
class Ring {
 public:
  Ring() : Ring(0, {}) {}
  // `nodes` may be in any order. Of two nodes with the same uid the second one is ignored, and so are nodes
  // beyond the first kMaxNodes by uid.
  Ring(std::uint64_t generation, std::vector<Node> nodes);

  // Stores the first `max` owners in order, or fewer if fewer nodes serve. `owners` is overwritten; reuse it
  // to avoid allocations.
  void Owners(std::uint64_t key, std::size_t max, std::vector<Owner>& owners) const;

  std::uint64_t generation() const { return generation_; }
  // Hash of the nodes, their levels and weight shares: the same content has the same hash at every member. It
  // does not include which nodes are bypassed, because that follows the endpoint list at once, without a
  // generation.
  std::uint64_t hash() const { return hash_; }
  const std::vector<Node>& nodes() const { return nodes_; }  // sorted by uid
  // The index of a node in nodes().
  std::optional<std::uint32_t> Find(std::string_view uid) const;
  // Number of serving nodes: those with a weight share that are not bypassed.
  std::size_t serving() const { return serving_nodes_.size(); }
  // The weight of a serving node (0 for others), and the sum of all. Only the ratio has a meaning.
  std::uint64_t weight(std::uint32_t node) const { return weights_[node]; }
  std::uint64_t total_weight() const { return total_weight_; }
  std::size_t bytes() const;  // approximate memory use

 private:
  struct ServingNode {
    std::uint64_t hash = 0;
    std::uint64_t inverse = 0;  // reciprocal of its weight
    std::uint32_t node = 0;
  };
  std::uint64_t generation_;
  std::uint64_t hash_ = 0;
  std::vector<Node> nodes_;
  std::vector<ServingNode> serving_nodes_;  // all that a lookup reads
  std::vector<std::uint64_t> weights_;
  std::uint64_t total_weight_ = 0;
};

// -ln(1 - v / 2^64) in units of 2^-58, with a relative error below 2^-36. Public only for tests and
// measurements.
std::uint64_t Exponential(std::uint64_t v);

}  // namespace mothrack::hash_ring
