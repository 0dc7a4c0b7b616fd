// Which nodes a key belongs to, in order: weighted rendezvous hashing (Thaler and Ravishankar, 1998). READ
// THIS FIRST; then ring_builder.h (how members come to the same ring) and bounded_load.h (which owner a
// request goes to). Reasons and the options weighed: docs/design/hash_ring.md.
//
// Each node draws an exponential time for the key at the rate of its weight, and the earliest is the owner.
// So a node that joins takes its share from all others alike and nothing else moves, one that leaves or is
// bypassed gives up its own keys alone, and a weight that changes by c moves c. A node that is bypassed and
// one that is absent lead to the same owners.
//
// All in whole numbers: members on other machines, compilers or math libraries get the same owners bit for
// bit. Nothing in the package does I/O, reads a clock or draws randomness.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mothrack::hash_ring {

// Products of two 64-bit numbers; GCC and Clang have it.
__extension__ using Uint128 = unsigned __int128;

// Seeds of xxHash64, fixed for good: with another one every key would move. Keys and nodes have each their
// own, so that a key spelled as a node's uid is not special.
constexpr std::uint64_t kKeySeed = 0x6b65792d72696e67;   // "key-ring"
constexpr std::uint64_t kNodeSeed = 0x6e6f64652d726e67;  // "node-rng"

constexpr std::size_t kMaxNodes = 4096;   // as many as gossip knows
constexpr std::size_t kMaxUidBytes = 64;  // as a member's name

// xxHash64 with the seed of its kind.
std::uint64_t KeyHash(std::string_view key);
std::uint64_t NodeHash(std::string_view uid);
// The last step of xxHash64: every bit of the input changes half of the output's.
std::uint64_t Mix(std::uint64_t bits);

// ---- Capacity in steps ----

// An eighth of an octave: two neighbours differ by 9.05%, which is about what a capacity can be measured to.
using Level = std::uint8_t;
constexpr int kStepsPerOctave = 8;
constexpr Level kTopLevel = 255;  // 2^31.9 thousandths: a node of 3.9 million units

// The nearest level of a capacity in thousandths of a unit; 0 counts as 1, and too high a one as kTopLevel.
Level LevelOf(std::uint64_t capacity);
// Half width of the hysteresis, in half steps (sixteenths of an octave). With three, noise of less than one
// step (9.05% up, 8.3% down) around the capacity at which a level was taken never leaves it, as that capacity
// was at most half a step off the level's centre.
constexpr int kHysteresis = 3;
// The current level while the capacity is less than `hysteresis` half steps off its centre; else the nearest.
Level LevelWithHysteresis(std::optional<Level> current, std::uint64_t capacity, int hysteresis = kHysteresis);

// The share of its weight that a node has by now (slow start). The values are compared and hashed.
enum class WeightShare : std::uint8_t { kNone = 0, kQuarter = 1, kHalf = 2, kFull = 3 };

// ---- The ring ----

struct Node {
  std::string uid;  // unique; at most kMaxUidBytes
  Level level = 0;  // of its capacity
  WeightShare weight_share = WeightShare::kFull;
  bool bypassed = false;  // keeps its weight in hash(), but the next owners serve
  bool operator==(const Node&) const = default;
};

// An owner of a key; the earliest first. `cost` is the time drawn; only its order has a meaning.
struct Owner {
  Uint128 cost = 0;
  std::uint32_t node = 0;  // index into Ring::nodes()
  bool operator<(const Owner& other) const {
    return cost != other.cost ? cost < other.cost : node < other.node;
  }
};

// The ring of one generation. Immutable: safe to read from any thread. A lookup takes time in the number of
// serving nodes.
class Ring {
 public:
  Ring() : Ring(0, {}) {}
  // In any order; of two with one uid the first counts, and what is beyond kMaxNodes by uid is not in it.
  Ring(std::uint64_t generation, std::vector<Node> nodes);

  // The first `max` owners, in order; fewer where there are not as many that serve. `owners` is overwritten:
  // keep it for the next call and nothing is allocated.
  void Owners(std::uint64_t key, std::size_t max, std::vector<Owner>& owners) const;

  std::uint64_t generation() const { return generation_; }
  // Hash of the nodes, their levels and weight shares: equal content has an equal hash at every member. Not
  // of who is bypassed: that follows the list of nodes at once, and has no generation.
  std::uint64_t hash() const { return hash_; }
  const std::vector<Node>& nodes() const { return nodes_; }  // by uid
  std::optional<std::uint32_t> Find(std::string_view uid) const;
  std::size_t serving() const { return slots_.size(); }
  // The weight of a node that serves (else 0), and the sum; units of no meaning but their ratio.
  std::uint64_t weight(std::uint32_t node) const { return weights_[node]; }
  std::uint64_t total_weight() const { return total_weight_; }
  std::size_t bytes() const;  // of memory, about

 private:
  struct Slot {
    std::uint64_t hash = 0;
    std::uint64_t inverse = 0;  // of its weight
    std::uint32_t node = 0;
  };
  std::uint64_t generation_;
  std::uint64_t hash_ = 0;
  std::vector<Node> nodes_;
  std::vector<Slot> slots_;  // of those that serve; all that a lookup reads
  std::vector<std::uint64_t> weights_;
  std::uint64_t total_weight_ = 0;
};

// -ln(1 - v / 2^64) in 2^-58ths; relative error below 2^-36. Only for tests and measurements from outside.
std::uint64_t Exponential(std::uint64_t v);

}  // namespace mothrack::hash_ring
