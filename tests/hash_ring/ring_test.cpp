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

// The keys whose first owner differs between two rings.
struct MovedKeys {
  double share = 0;  // of all keys
  // Number of keys that moved between two nodes whose weights are the same in both rings.
  double stray = 0;
};
MovedKeys CompareOwners(const Ring& before, const Ring& after, int keys) {
  MovedKeys moved;
  std::vector<Owner> owners_before, owners_after;
  const auto weight = [](const Ring& ring, const std::string& uid) {
    const auto node = ring.Find(uid);
    return node ? ring.weight(*node) : 0;
  };
  for (int i = 0; i < keys; ++i) {
    const std::uint64_t key = Mix(i * 0x9E3779B97F4A7C15u + 1);
    before.Owners(key, 1, owners_before);
    after.Owners(key, 1, owners_after);
    const std::string& from = before.nodes()[owners_before[0].node].uid;
    const std::string& to = after.nodes()[owners_after[0].node].uid;
    if (from == to) continue;
    moved.share += 1.0 / keys;
    if (weight(before, from) == weight(after, from) && weight(before, to) == weight(after, to)) ++moved.stray;
  }
  return moved;
}

// The share of the total weight that the nodes from `from` to before `to` have.
double ShareOfWeight(const Ring& ring, std::uint32_t from, std::uint32_t to) {
  double sum = 0;
  for (auto i = from; i < to; ++i) sum += static_cast<double>(ring.weight(i));
  return sum / static_cast<double>(ring.total_weight());
}

TEST(Ring, TimesAreExponential) {
  for (std::uint64_t i = 1; i < 200; ++i) {
    const std::uint64_t v =
        i <= 128 ? ~std::uint64_t{0} / (i * i * i) : ~std::uint64_t{0} - (std::uint64_t{1} << (i % 64));
    const long double exact = -std::log1p(-static_cast<long double>(v) / 18446744073709551616.0L);
    const long double computed = static_cast<long double>(Exponential(v)) / (std::uint64_t{1} << 58);
    EXPECT_NEAR(computed / exact, 1, v > (std::uint64_t{1} << 40) ? 2e-11 : 1) << v;
    EXPECT_LE(std::abs(computed - exact), 1e-10L) << v;
  }
}

// The expected values are the same on every machine, because members on different machines must agree on the
// owners of a key.
TEST(Ring, OwnersAreTheSameEverywhere) {
  std::vector<Owner> owners;
  const Ring ring(1, Nodes(100));
  std::uint64_t combined = 0;
  for (int i = 0; i < 1000; ++i) {
    ring.Owners(KeyHash("key-" + std::to_string(i)), 3, owners);
    for (const Owner& owner : owners)
      combined = Mix(combined ^ owner.node ^ static_cast<std::uint64_t>(owner.cost));
  }
  EXPECT_EQ(combined, 3184267269286547591u);
  EXPECT_EQ(ring.hash(), 13094407375005131512u);
}

TEST(Ring, OwnersAreSortedAndIndependentOfTheOrderOfNodes) {
  auto nodes = Nodes(50);
  const Ring ring(1, nodes);
  std::shuffle(nodes.begin(), nodes.end(), std::mt19937(7));
  const Ring shuffled(1, nodes);
  EXPECT_EQ(ring.hash(), shuffled.hash());
  std::vector<Owner> first_three, all;
  for (std::uint64_t key = 0; key < 500; ++key) {
    ring.Owners(Mix(key), 3, first_three);
    shuffled.Owners(Mix(key), 99, all);
    ASSERT_EQ(all.size(), 50u);
    std::set<std::uint32_t> distinct;
    for (const Owner& owner : all) distinct.insert(owner.node);
    EXPECT_EQ(distinct.size(), 50u);
    for (int i = 0; i < 3; ++i) EXPECT_EQ(first_three[i].node, all[i].node);
  }
}

// The share of moved keys is within 1% of the ideal. The number of keys is such that 1% is at least two
// standard deviations.
TEST(Ring, MovesOnlyTheKeysOfChangedNodes) {
  struct Case {
    int nodes, changed, keys;
  };
  for (const Case& test_case : {Case{10, 1, 400'000}, Case{100, 1, 2'000'000}, Case{1000, 50, 400'000}}) {
    SCOPED_TRACE(test_case.nodes);
    const Ring ring(1, Nodes(test_case.nodes));
    const Ring joined(2, Nodes(test_case.nodes + test_case.changed));
    double ideal = 0;
    for (const Node& node : Nodes(test_case.changed, test_case.nodes)) {
      ideal += static_cast<double>(joined.weight(*joined.Find(node.uid))) /
               static_cast<double>(joined.total_weight());
    }
    const MovedKeys join = CompareOwners(ring, joined, test_case.keys);
    EXPECT_EQ(join.stray, 0);
    EXPECT_NEAR(join.share / ideal, 1, 0.01);
    EXPECT_EQ(CompareOwners(joined, ring, 50'000).stray, 0) << "when the nodes leave again";
    // Bypassed nodes and absent ones lead to the same owners.
    auto bypassing = Nodes(test_case.nodes + test_case.changed);
    for (int i = test_case.nodes; i < test_case.nodes + test_case.changed; ++i) bypassing[i].bypassed = true;
    EXPECT_EQ(CompareOwners(ring, Ring(3, bypassing), 10'000).share, 0);
  }
}

TEST(Ring, ACapacityChangeMovesItsShareOfKeys) {
  for (const int halved_nodes : {1, 50}) {
    auto nodes = Nodes(100);
    const Ring ring(1, nodes);
    for (int i = 0; i < halved_nodes; ++i) nodes[(2 * i + 3) % 100].level -= 8;
    const Ring after(2, nodes);
    double ideal = 0;  // what the halved nodes lose
    for (std::uint32_t i = 0; i < 100; ++i)
      ideal += std::max(0.0, ShareOfWeight(ring, i, i + 1) - ShareOfWeight(after, i, i + 1));
    const MovedKeys moved = CompareOwners(ring, after, halved_nodes == 1 ? 4'000'000 : 400'000);
    EXPECT_NEAR(moved.share / ideal, 1, 0.01);
    EXPECT_EQ(moved.stray, 0);
  }
}

}  // namespace
}  // namespace mothrack::hash_ring
