#include "hash_ring/ring.h"

#include <algorithm>
#include <array>
#include <bit>

#include "xxhash.h"

namespace mothrack::hash_ring {
namespace {

constexpr int kFractionBits = 58;  // of a time; the longest time, 64 ln 2 = 44.4, still fits 64 bits

// By step i within an octave: 2^(-i/8) in units of 2^-63, and 2^(i/8) in units of 2^-14. By half step i:
// 2^(i/16) in units of 2^-32, rounded up. They are literals because pow() differs between libraries.
constexpr std::array<std::uint64_t, 8> kInverseWeightOfStep = {
    0x8000000000000000, 0x75606373ee921c97, 0x6ba27e656b4eb57a, 0x62b39508aa836d6f,
    0x5a827999fcef3242, 0x52ff6b54d8a89c75, 0x4c1bf828c6dc54b8, 0x45cae0f1f545eb73};
constexpr std::array<std::uint64_t, 8> kWeightOfStep = {16384, 17867, 19484, 21247,
                                                        23170, 25268, 27554, 30048};
constexpr std::array<std::uint64_t, 16> kHalfStep = {
    0x100000000, 0x10b5586d0, 0x1172b83c8, 0x12387a6e8, 0x1306fe0a4, 0x13dea64c2, 0x14bfdad54, 0x15ab07dd5,
    0x16a09e668, 0x17a11473f, 0x18ace5423, 0x19c49182b, 0x1ae89f996, 0x1c199bdd9, 0x1d5818dd0, 0x1ea4afa2b};

// Number of steps from the full weight down to a quarter of it. It is added to each level, so that a reduced
// weight of the lowest level still has a step.
constexpr int kMaxStepsBelow = 2 * kStepsPerOctave;

// -ln(j / 256) in units of 2^-58, computed as 2 atanh((256 - j) / (256 + j)). The series ends when its terms
// become 0.
constexpr std::uint64_t MinusLog(std::uint64_t j) {
  constexpr int kBits = 62;
  const Uint128 ratio = (Uint128{256 - j} << kBits) / (256 + j);
  const Uint128 ratio_squared = (ratio * ratio) >> kBits;
  Uint128 sum = 0;
  Uint128 power = ratio;
  for (unsigned odd = 1; power != 0; odd += 2) {
    sum += power / odd;
    power = (power * ratio_squared) >> kBits;
  }
  return static_cast<std::uint64_t>((2 * sum) >> (kBits - kFractionBits));
}

struct LogTables {
  std::uint64_t ln2 = MinusLog(128);
  std::array<std::uint64_t, 128> log{};         // -ln of the upper end of each 1/256 interval in [1/2, 1]
  std::array<std::uint64_t, 128> reciprocal{};  // of that end, in units of 2^-63
  constexpr LogTables() {
    for (std::uint64_t i = 0; i < 128; ++i) {
      log[i] = MinusLog(129 + i);
      reciprocal[i] = static_cast<std::uint64_t>((Uint128{1} << 71) / (129 + i));
    }
  }
};
constexpr LogTables kLogTables;

// The upper 64 bits of the product.
std::uint64_t MultiplyHigh(std::uint64_t a, std::uint64_t b) {
  return static_cast<std::uint64_t>((Uint128{a} * b) >> 64);
}

// The number of steps by which a weight share is below the full weight. Halving the weight is one octave.
int StepsBelowFull(WeightShare weight_share) {
  switch (weight_share) {
    case WeightShare::kFull:
      return 0;
    case WeightShare::kHalf:
      return kStepsPerOctave;
    case WeightShare::kQuarter:
    case WeightShare::kNone:
      return kMaxStepsBelow;
  }
  return kMaxStepsBelow;
}

// 16 log2(capacity), rounded down.
int HalfSteps(std::uint64_t capacity) {
  capacity = std::clamp<std::uint64_t>(capacity, 1, std::uint64_t{1} << 32);
  const int octave = std::bit_width(capacity) - 1;
  const std::uint64_t mantissa = capacity << (32 - octave);
  const auto above = std::upper_bound(kHalfStep.begin(), kHalfStep.end(), mantissa);
  return 16 * octave + static_cast<int>(above - kHalfStep.begin()) - 1;
}

}  // namespace

std::uint64_t KeyHash(std::string_view key) { return XXH64(key.data(), key.size(), kKeySeed); }
std::uint64_t NodeHash(std::string_view uid) { return XXH64(uid.data(), uid.size(), kNodeSeed); }

std::uint64_t Mix(std::uint64_t bits) {
  bits ^= bits >> 33;
  bits *= 0xC2B2AE3D27D4EB4F;
  bits ^= bits >> 29;
  bits *= 0x165667B19E3779F9;
  return bits ^ (bits >> 32);
}

Level LevelOf(std::uint64_t capacity) {
  return static_cast<Level>(std::min<int>((HalfSteps(capacity) + 1) / 2, kTopLevel));
}

Level LevelWithHysteresis(std::optional<Level> current, std::uint64_t capacity, int hysteresis) {
  if (!current) return LevelOf(capacity);
  // Because HalfSteps() rounds down, the capacity is less than `hysteresis` half steps off the centre if the
  // result is in [2 * current - hysteresis, 2 * current + hysteresis).
  const int half_steps = HalfSteps(capacity);
  const bool stays = half_steps >= 2 * *current - hysteresis && half_steps < 2 * *current + hysteresis;
  return stays ? *current : LevelOf(capacity);
}

std::uint64_t Exponential(std::uint64_t v) {
  if (v == 0) return 0;
  std::uint64_t u = 0 - v;  // 1 - v, in units of 2^-64
  const int shift = std::countl_zero(u);
  u <<= shift;
  const std::uint64_t interval = (u >> 56) - 128;
  // u is slightly below the upper end c of its 1/256 interval: u = c (1 - r), with r below 1/128. In the last
  // interval c is 1, so that short times, which determine the owners, keep their relative precision.
  const std::uint64_t below_end = (interval == 127 ? 0 : (129 + interval) << 56) - u;
  const auto r = static_cast<std::uint64_t>((Uint128{below_end} * kLogTables.reciprocal[interval]) >> 63);
  // r + r^2/2 + ... + r^5/5
  std::uint64_t sum = r / 5;
  sum = MultiplyHigh(sum + (std::uint64_t{1} << 62), r);  // (1/4 + r/5) r
  sum = MultiplyHigh(sum + 0x5555555555555555, r);        // (1/3 + ...) r
  sum = MultiplyHigh(sum + (std::uint64_t{1} << 63), r);  // (1/2 + ...) r
  const std::uint64_t series = r + MultiplyHigh(sum, r);
  return static_cast<std::uint64_t>(shift) * kLogTables.ln2 + kLogTables.log[interval] +
         (series >> (64 - kFractionBits));
}

Ring::Ring(std::uint64_t generation, std::vector<Node> nodes)
    : generation_(generation), nodes_(std::move(nodes)) {
  std::stable_sort(nodes_.begin(), nodes_.end(), [](const Node& a, const Node& b) { return a.uid < b.uid; });
  nodes_.erase(
      std::unique(nodes_.begin(), nodes_.end(), [](const Node& a, const Node& b) { return a.uid == b.uid; }),
      nodes_.end());
  if (nodes_.size() > kMaxNodes) nodes_.resize(kMaxNodes);
  std::string content;
  weights_.resize(nodes_.size());
  for (std::uint32_t i = 0; i < nodes_.size(); ++i) {
    const Node& node = nodes_[i];
    content.append({static_cast<char>(node.uid.size()), static_cast<char>(node.level),
                    static_cast<char>(node.weight_share)});
    content.append(node.uid);
    if (node.bypassed || node.weight_share == WeightShare::kNone) continue;
    const unsigned step = node.level + kMaxStepsBelow - StepsBelowFull(node.weight_share);
    weights_[i] = kWeightOfStep[step % 8] << (step / 8);
    total_weight_ += weights_[i];
    serving_nodes_.push_back({NodeHash(node.uid), kInverseWeightOfStep[step % 8] >> (step / 8), i});
  }
  hash_ = XXH64(content.data(), content.size(), kNodeSeed);
}

void Ring::Owners(std::uint64_t key, std::size_t max, std::vector<Owner>& owners) const {
  owners.clear();
  max = std::min(max, serving_nodes_.size());
  if (max == 0) return;
  // `owners` is a max-heap by cost. Because -ln(1 - v) >= v, a lower bound of a node's cost can be computed
  // from v. It rules out most nodes without computing the logarithm.
  // The upper 64 bits of the highest cost in the heap once it has `max` owners; before, no cost is above it.
  std::uint64_t max_kept_cost_high = ~std::uint64_t{0};
  for (const ServingNode& serving : serving_nodes_) {
    const std::uint64_t v = Mix(key ^ serving.hash);
    if (MultiplyHigh(v >> (64 - kFractionBits), serving.inverse) > max_kept_cost_high) continue;
    const Owner owner{Uint128{Exponential(v)} * serving.inverse, serving.node};
    if (owners.size() == max) {
      if (!(owner < owners.front())) continue;
      std::pop_heap(owners.begin(), owners.end());
      owners.back() = owner;
    } else {
      owners.push_back(owner);
    }
    std::push_heap(owners.begin(), owners.end());
    if (owners.size() == max) max_kept_cost_high = static_cast<std::uint64_t>(owners.front().cost >> 64);
  }
  std::sort_heap(owners.begin(), owners.end());
}

std::optional<std::uint32_t> Ring::Find(std::string_view uid) const {
  const auto found =
      std::lower_bound(nodes_.begin(), nodes_.end(), uid,
                       [](const Node& node, std::string_view name) { return node.uid < name; });
  if (found == nodes_.end() || found->uid != uid) return std::nullopt;
  return static_cast<std::uint32_t>(found - nodes_.begin());
}

std::size_t Ring::bytes() const {
  std::size_t total = sizeof *this + serving_nodes_.capacity() * sizeof(ServingNode) +
                      nodes_.capacity() * sizeof(Node) + weights_.capacity() * sizeof(std::uint64_t);
  for (const Node& node : nodes_) total += node.uid.capacity() > 15 ? node.uid.capacity() + 1 : 0;
  return total;
}

}  // namespace mothrack::hash_ring
