// ring_bench: compares weighted rendezvous hashing (src/hash_ring) with a continuum of virtual nodes,
// multi-probe hashing and a Maglev lookup table, at 10, 100 and 1,000 nodes of mixed capacities. Prints the
// spread (the most loaded node's share of the keys divided by its share of the weights), the time of a
// lookup, and the memory. It also prints how many keys move when a node joins, leaves or has its capacity
// halved, divided by the least number that must move. At the end it prints the time that the balancer takes
// for a request.
#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <memory>
#include <variant>
#include <vector>

#include "balancer/balancer.h"
#include "hash_ring/ring.h"

namespace {

namespace balancer = mothrack::balancer;
using mothrack::hash_ring::LevelOf;
using mothrack::hash_ring::Mix;
using mothrack::hash_ring::Node;
using mothrack::hash_ring::NodeHash;

struct WeightedNode {
  std::string uid;
  double weight = 1;
};
using Nodes = std::vector<WeightedNode>;

// Each of the following types has Owners(), which stores the indices of up to `max_owners` distinct nodes in
// `out`, in order of preference.

// Weighted rendezvous hashing.
struct Rendezvous {
  explicit Rendezvous(const Nodes& nodes) {
    std::vector<Node> ring_nodes;
    for (const auto& node : nodes)
      ring_nodes.push_back({node.uid, LevelOf(static_cast<std::uint64_t>(1024 * node.weight))});
    ring = mothrack::hash_ring::Ring(1, ring_nodes);
    for (const auto& node : ring.nodes()) {
      for (std::uint32_t i = 0; i < nodes.size(); ++i) {
        if (nodes[i].uid == node.uid) node_index.push_back(i);
      }
    }
  }
  void Owners(std::uint64_t key, std::size_t max_owners, std::vector<std::uint32_t>& out) {
    ring.Owners(key, max_owners, scratch);
    out.clear();
    for (const auto& owner : scratch) out.push_back(node_index[owner.node]);
  }
  std::size_t bytes() const { return ring.bytes(); }
  mothrack::hash_ring::Ring ring;
  std::vector<mothrack::hash_ring::Owner> scratch;
  std::vector<std::uint32_t> node_index;  // by index in the ring: the index in the constructor's argument
};

// A continuum of virtual nodes: each node has points on a circle, and a key belongs to the node of the next
// point. There are 160 points for each unit of weight, as in Ketama.
struct Continuum {
  struct Point {
    std::uint64_t position;
    std::uint32_t node;
    bool operator<(const Point& other) const { return position < other.position; }
  };
  explicit Continuum(const Nodes& nodes, double points_per_weight = 160) : count(nodes.size()) {
    for (std::uint32_t i = 0; i < nodes.size(); ++i) {
      const auto point_count = static_cast<std::uint64_t>(points_per_weight * nodes[i].weight);
      for (std::uint64_t number = 0; number < point_count; ++number)
        points.push_back({Mix(NodeHash(nodes[i].uid) + Mix(number + 1)), i});
    }
    std::sort(points.begin(), points.end());
  }
  // Returns the index of the first point at or after `position`.
  std::size_t Next(std::uint64_t position) const {
    const auto next = std::lower_bound(points.begin(), points.end(), Point{position, 0});
    return next == points.end() ? 0 : next - points.begin();
  }
  // Stores the first distinct nodes on the circle from the point `from` on.
  void Walk(std::size_t from, std::size_t max_owners, std::vector<std::uint32_t>& out) const {
    out.clear();
    for (std::size_t i = from; out.size() < std::min(max_owners, count);
         i = i + 1 == points.size() ? 0 : i + 1) {
      if (std::find(out.begin(), out.end(), points[i].node) == out.end()) out.push_back(points[i].node);
    }
  }
  void Owners(std::uint64_t key, std::size_t max_owners, std::vector<std::uint32_t>& out) const {
    Walk(Next(Mix(key)), max_owners, out);
  }
  std::size_t bytes() const { return points.capacity() * sizeof(Point); }
  std::size_t count;
  std::vector<Point> points;
};

// Multi-probe hashing: each node has few points, and each key 21 probes. The probe that is closest to its
// next point decides.
struct MultiProbe : Continuum {
  explicit MultiProbe(const Nodes& nodes) : Continuum(nodes, 4) {}
  void Owners(std::uint64_t key, std::size_t max_owners, std::vector<std::uint32_t>& out) const {
    std::size_t best = 0;
    std::uint64_t closest = ~std::uint64_t{0};
    for (std::uint64_t probe = 0; probe < 21; ++probe) {
      const std::uint64_t position = Mix(key + Mix(probe + 1));
      const std::size_t next = Next(position);
      const std::uint64_t distance = points[next].position - position;
      if (distance < closest) closest = distance, best = next;
    }
    Walk(best, max_owners, out);
  }
};

// A Maglev lookup table: each node claims slots in its own permutation, in proportion to its weight.
struct MaglevTable {
  static constexpr std::uint32_t kSlots = 65537;
  explicit MaglevTable(const Nodes& nodes) : slots(kSlots, ~std::uint32_t{0}), count(nodes.size()) {
    // The state of a node while slots are assigned.
    struct Claimant {
      std::uint32_t slot, step;  // the next slot of its permutation, and the distance to the one after that
      double due = 0;            // number of slots that it may claim now
    };
    std::vector<Claimant> claimants;
    double max_weight = 0;
    for (const auto& node : nodes) {
      const auto hash = NodeHash(node.uid);
      claimants.push_back({static_cast<std::uint32_t>(hash % kSlots),
                           static_cast<std::uint32_t>(Mix(hash) % (kSlots - 1)) + 1});
      max_weight = std::max(max_weight, node.weight);
    }
    for (std::uint32_t filled = 0; filled < kSlots;) {
      for (std::uint32_t i = 0; i < claimants.size() && filled < kSlots; ++i) {
        auto& claimant = claimants[i];
        for (claimant.due += nodes[i].weight / max_weight; claimant.due >= 1 && filled < kSlots;
             claimant.due -= 1) {
          while (slots[claimant.slot] != ~std::uint32_t{0})
            claimant.slot = (claimant.slot + claimant.step) % kSlots;
          slots[claimant.slot] = i;
          ++filled;
        }
      }
    }
  }
  void Owners(std::uint64_t key, std::size_t max_owners, std::vector<std::uint32_t>& out) const {
    out.clear();
    for (std::uint64_t lookup = 0; out.size() < std::min(max_owners, count); ++lookup) {
      const auto node = slots[Mix(key + lookup) % kSlots];
      if (std::find(out.begin(), out.end(), node) == out.end()) out.push_back(node);
    }
  }
  std::size_t bytes() const { return slots.capacity() * sizeof(std::uint32_t); }
  std::vector<std::uint32_t> slots;
  std::size_t count;
};

constexpr int kKeys = 200'000;

// In the following templates `Hash` is one of the types above.

// Returns the first owner of each key.
template <class Hash>
std::vector<std::uint32_t> FirstOwners(Hash& hash) {
  std::vector<std::uint32_t> owners, first(kKeys);
  for (int i = 0; i < kKeys; ++i) {
    hash.Owners(Mix(i + 1), 1, owners);
    first[i] = owners[0];
  }
  return first;
}

// Returns the number of keys that moved, divided by the number that had to move. The latter are the keys that
// `node` lost or gained.
double Movement(const std::vector<std::uint32_t>& before, const std::vector<std::uint32_t>& after,
                std::uint32_t node) {
  int moved = 0;
  int had_to_move = 0;
  for (int i = 0; i < kKeys; ++i) {
    moved += before[i] != after[i];
    had_to_move += (before[i] == node) != (after[i] == node);
  }
  return static_cast<double>(moved) / std::max(had_to_move, 1);
}

// Returns the time of a lookup of up to `max_owners` owners: the best of five rounds.
template <class Hash>
double Nanoseconds(Hash& hash, std::size_t max_owners) {
  std::vector<std::uint32_t> owners;
  double best = 1e9;
  for (int round = 0; round < 5; ++round) {
    const auto began = std::chrono::steady_clock::now();
    for (int i = 0; i < 20'000; ++i) hash.Owners(Mix(i + 1), max_owners, owners);
    const std::chrono::duration<double, std::nano> took = std::chrono::steady_clock::now() - began;
    best = std::min(best, took.count() / 20'000);
  }
  return best;
}

// Prints the table row of one type for `count` nodes.
template <class Hash>
void Measure(const char* name, int count) {
  constexpr std::array<double, 4> kWeights = {1, 1.5, 2, 4};
  Nodes nodes;
  // Every type represents these weights exactly: they are steps of the rendezvous ring's weight levels.
  for (int i = 0; i <= count; ++i) {
    nodes.push_back({"node-" + std::to_string(i), i % 4 == 1 ? 1.5422108254 : kWeights[i % 4]});
  }
  const Nodes joined = nodes;
  nodes.pop_back();
  Nodes halved = nodes;
  halved[count / 2].weight /= 2;
  Hash hash(nodes), joined_hash(joined), halved_hash(halved);
  const auto first = FirstOwners(hash);
  std::vector<int> owned(count);
  for (const auto node : first) ++owned[node];
  double total_weight = 0;
  for (const auto& node : nodes) total_weight += node.weight;
  double spread = 0;
  for (int i = 0; i < count; ++i)
    spread = std::max(spread, owned[i] / (kKeys * nodes[i].weight / total_weight));
  const auto after_join = FirstOwners(joined_hash);
  std::printf("| %s | %d | %.3f | %.3f | %.3f | %.3f | %.0f | %.0f | %.0f |\n", name, count, spread,
              Movement(first, after_join, count), Movement(after_join, first, count),
              Movement(first, FirstOwners(halved_hash), count / 2), Nanoseconds(hash, 1),
              Nanoseconds(hash, 3), hash.bytes() / 1024.0);
}

// Returns the time in nanoseconds that the balancer takes to handle the arrival of a request.
double BalancerNanoseconds(int count) {
  using namespace std::chrono_literals;
  balancer::Settings settings;
  balancer::RequestClass request_class;
  request_class.name = "plain";
  request_class.latency_objective = 400ms;
  request_class.deadline = 2s;
  settings.classes = {request_class};
  balancer::Balancer under_test(settings, 1);
  std::vector<balancer::Action> actions;
  balancer::MembershipUpdate list;
  list.kind = balancer::MembershipUpdate::Kind::kRestored;
  for (int i = 0; i < count; ++i) list.upstreams.push_back({.id = {"node-" + std::to_string(i)}});
  balancer::TimePoint now{1s};
  under_test.handle(now, list, actions);
  constexpr int kRequests = 20'000;
  std::chrono::duration<double, std::nano> took{0};
  for (int i = 0; i < kRequests; ++i) {
    now += 1ms;
    actions.clear();
    const auto began = std::chrono::steady_clock::now();
    under_test.handle(now, balancer::RequestArrived{.request = balancer::RequestId(i), .deadline = now + 2s},
                      actions);
    took += std::chrono::steady_clock::now() - began;
    const auto arrival_actions = actions;
    for (const auto& action : arrival_actions) {
      if (const auto* send = std::get_if<balancer::SendAttempt>(&action)) {
        balancer::AttemptEnded end;
        end.request = send->request;
        end.elapsed = 1ms;
        end.finished = true;
        under_test.handle(now, end, actions);
      }
    }
  }
  return took.count() / kRequests;
}

}  // namespace

int main() {
  std::printf(
      "| hash | nodes | max / mean | join | leave | halved | one owner, ns | three owners, ns | KiB |\n");
  std::printf("|---|---|---|---|---|---|---|---|---|\n");
  for (const int count : {10, 100, 1000}) {
    Measure<Rendezvous>("weighted rendezvous", count);
    Measure<Continuum>("virtual nodes, 160 per unit of weight", count);
    Measure<MultiProbe>("multi-probe, 21 probes", count);
    Measure<MaglevTable>("Maglev table, 65537 slots", count);
  }
  for (const int count : {10, 100, 1000})
    std::printf("balancer at %d nodes: %.0f ns per request\n", count, BalancerNanoseconds(count));
}
