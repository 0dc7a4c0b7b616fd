// Which nodes a key belongs to, in order: weighted rendezvous. Each node draws an exponential time for the
// key at the rate of its weight, and the earliest is the owner. So a node that comes takes its share from all
// others alike and nothing else moves, one that goes (or is passed over) gives up its own keys alone, and a
// weight that changes by c moves c. A node that is passed over and one that is not there lead to the same
// owners.
//
// All in integers: members that run on other machines, compilers or math libraries get the same owners bit
// for bit. docs/design/ring.md has the options weighed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mothrack::hash_ring {

__extension__ using Uint128 = unsigned __int128;

// Seeds of xxHash64, fixed for good: with another one every key would move. Keys and nodes have each their
// own, so that a key spelled as a node's uid is not special.
constexpr std::uint64_t kKeySeed = 0x6b65792d72696e67;   // "key-ring"
constexpr std::uint64_t kNodeSeed = 0x6e6f64652d726e67;  // "node-rng"

constexpr std::size_t kMaxNodes = 4096;   // as many as the peers know
constexpr std::size_t kMaxUidBytes = 64;  // bytes, as a member's name

std::uint64_t KeyHash(std::string_view key);
std::uint64_t NodeHash(std::string_view uid);
// The last step of xxHash64: every bit of the input changes half of the output's.
std::uint64_t Mix(std::uint64_t bits);

// ---- Capacity in steps ----

// An eighth of an octave: two neighbours differ by 9.05%, which is about what a capacity can be measured to.
using Level = std::uint8_t;
constexpr int kStepsPerOctave = 8;
constexpr Level kTopLevel = 255;  // 2^31.9 thousandths: a node of 3.9 million units

// In thousandths of a unit; below one, one is taken.
Level LevelOf(std::uint64_t capacity);
// The level that is held counts until capacity is `band` sixteenths of an octave (half steps) off its centre.
// With the three that a maker uses: whoever sees noise of less than one step (9.05% up, 8.3% down) around the
// capacity at which the level was taken never leaves it, as that capacity was at most half a step off the
// centre.
constexpr int kHysteresis = 3;
Level LevelWithHysteresis(std::optional<Level> current, std::uint64_t capacity, int hysteresis = kHysteresis);

// The share of its weight that a node has by now.
enum class WeightShare : std::uint8_t { kNone = 0, kQuarter = 1, kHalf = 2, kFull = 3 };

// ---- The ring ----

struct Node {
  std::string uid;
  Level level = 0;
  WeightShare weight_share = WeightShare::kFull;
  bool bypassed = false;  // keeps its place, but the next owners serve
  bool operator==(const Node&) const = default;
};

// The earliest owner first. `cost` is the time drawn, in units of no meaning but their order.
struct Owner {
  Uint128 cost = 0;
  std::uint32_t node = 0;  // index into Ring::nodes()
  bool operator<(const Owner& other) const {
    return cost != other.cost ? cost < other.cost : node < other.node;
  }
};

// Of one generation; never changes. Safe to read from any thread.
class Ring {
 public:
  Ring() : Ring(0, {}) {}
  // In any order; of two with one uid the first counts, and what is beyond kMaxNodes by uid is not in it.
  Ring(std::uint64_t generation, std::vector<Node> nodes);

  // The first `most` owners, in order; fewer where there are not as many that serve. `owners` is overwritten:
  // keep it for the next call and nothing is allocated.
  void Owners(std::uint64_t key, std::size_t most, std::vector<Owner>& owners) const;

  std::uint64_t generation() const { return generation_; }
  // Of the nodes, their levels and parts: equal content has an equal hash at every member. Not of who is
  // passed over: that follows the list of nodes at once, and has no generation.
  std::uint64_t hash() const { return hash_; }
  const std::vector<Node>& nodes() const { return nodes_; }  // by uid
  std::optional<std::uint32_t> Find(std::string_view uid) const;
  std::size_t serving() const { return slots_.size(); }
  // In integers, for shares: the weight of a node that serves (else 0), and the sum.
  std::uint64_t weight(std::uint32_t node) const { return weights_[node]; }
  std::uint64_t total_weight() const { return total_weight_; }
  std::size_t bytes() const;

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
