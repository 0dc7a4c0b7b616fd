// Owners of keys, and what moves when nodes join, leave or change.
#include "hash_ring/ring.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "hash_ring/ring_fixtures.h"

namespace mothrack::hash_ring {
namespace {

// By node, the part of 2^64 / keys first owners that moved from the one to the other; "stray" ones move
// between two nodes whose weights are equal in both.
struct Moved {
  double share = 0, stray = 0;
};
Moved Move(const Ring& before, const Ring& after, int keys) {
  Moved moved;
  std::vector<Owner> a, b;
  const auto weight = [](const Ring& ring, const std::string& uid) {
    const auto node = ring.Find(uid);
    return node ? ring.weight(*node) : 0;
  };
  for (int i = 0; i < keys; ++i) {
    const std::uint64_t key = Mix(i * 0x9E3779B97F4A7C15u + 1);
    before.Owners(key, 1, a);
    after.Owners(key, 1, b);
    const std::string& from = before.nodes()[a[0].node].uid;
    const std::string& to = after.nodes()[b[0].node].uid;
    if (from == to) continue;
    moved.share += 1.0 / keys;
    if (weight(before, from) == weight(after, from) && weight(before, to) == weight(after, to)) ++moved.stray;
  }
  return moved;
}

double Share(const Ring& ring, std::uint32_t from, std::uint32_t to) {
  double sum = 0;
  for (auto i = from; i < to; ++i) sum += static_cast<double>(ring.weight(i));
  return sum / static_cast<double>(ring.total_weight());
}

TEST(Ring, TimesAreExponential) {
  for (std::uint64_t i = 1; i < 200; ++i) {
    const std::uint64_t v =
        i <= 128 ? ~std::uint64_t{0} / (i * i * i) : ~std::uint64_t{0} - (std::uint64_t{1} << (i % 64));
    const long double exact = -std::log1p(-static_cast<long double>(v) / 18446744073709551616.0L);
    const long double is = static_cast<long double>(Exponential(v)) / (std::uint64_t{1} << 58);
    EXPECT_NEAR(is / exact, 1, v > (std::uint64_t{1} << 40) ? 2e-11 : 1) << v;
    EXPECT_LE(std::abs(is - exact), 1e-10L) << v;
  }
}

// These are what every machine has to get.
TEST(Ring, OwnersAreTheSameEverywhere) {
  std::vector<Owner> owners;
  const Ring ring(1, Nodes(100));
  std::uint64_t all = 0;
  for (int i = 0; i < 1000; ++i) {
    ring.Owners(KeyHash("key-" + std::to_string(i)), 3, owners);
    for (const Owner& owner : owners) all = Mix(all ^ owner.node ^ static_cast<std::uint64_t>(owner.cost));
  }
  EXPECT_EQ(all, 3184267269286547591u);
  EXPECT_EQ(ring.hash(), 13094407375005131512u);
}

TEST(Ring, OwnersAreSortedAndIndependentOfTheNodeSequence) {
  auto nodes = Nodes(50);
  const Ring ring(1, nodes);
  std::shuffle(nodes.begin(), nodes.end(), std::mt19937(7));
  const Ring other(1, nodes);
  EXPECT_EQ(ring.hash(), other.hash());
  std::vector<Owner> few, all;
  for (std::uint64_t key = 0; key < 500; ++key) {
    ring.Owners(Mix(key), 3, few);
    other.Owners(Mix(key), 99, all);
    ASSERT_EQ(all.size(), 50u);
    std::set<std::uint32_t> distinct;
    for (const Owner& owner : all) distinct.insert(owner.node);
    EXPECT_EQ(distinct.size(), 50u);
    for (int i = 0; i < 3; ++i) EXPECT_EQ(few[i].node, all[i].node);
  }
}

// Within 1% of the ideal where a sample can tell: so many keys that 1% is at least two deviations.
TEST(Ring, MovesOnlyTheKeysOfChangedNodes) {
  struct Case {
    int nodes, changed, keys;
  };
  for (const Case& c : {Case{10, 1, 400'000}, Case{100, 1, 2'000'000}, Case{1000, 50, 400'000}}) {
    SCOPED_TRACE(c.nodes);
    const Ring ring(1, Nodes(c.nodes));
    const Ring joined(2, Nodes(c.nodes + c.changed));
    double ideal = 0;
    for (const Node& node : Nodes(c.changed, c.nodes)) {
      ideal += static_cast<double>(joined.weight(*joined.Find(node.uid))) /
               static_cast<double>(joined.total_weight());
    }
    const Moved join = Move(ring, joined, c.keys);
    EXPECT_EQ(join.stray, 0);
    EXPECT_NEAR(join.share / ideal, 1, 0.01);
    EXPECT_EQ(Move(joined, ring, 50'000).stray, 0) << "and back";
    // Passed over is as good as gone.
    auto passing = Nodes(c.nodes + c.changed);
    for (int i = c.nodes; i < c.nodes + c.changed; ++i) passing[i].bypassed = true;
    EXPECT_EQ(Move(ring, Ring(3, passing), 10'000).share, 0);
  }
}

TEST(Ring, ACapacityChangeMovesItsShareOfKeys) {
  for (const int half : {1, 50}) {
    auto nodes = Nodes(100);
    const Ring ring(1, nodes);
    for (int i = 0; i < half; ++i) nodes[(2 * i + 3) % 100].level -= 8;
    const Ring after(2, nodes);
    double ideal = 0;  // what the lighter ones lose
    for (std::uint32_t i = 0; i < 100; ++i)
      ideal += std::max(0.0, Share(ring, i, i + 1) - Share(after, i, i + 1));
    const Moved moved = Move(ring, after, half == 1 ? 4'000'000 : 400'000);
    EXPECT_NEAR(moved.share / ideal, 1, 0.01);
    EXPECT_EQ(moved.stray, 0);
  }
}

}  // namespace
}  // namespace mothrack::hash_ring
