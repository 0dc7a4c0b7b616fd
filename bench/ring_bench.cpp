// ring_bench: compares weighted rendezvous hashing (src/hash_ring) with a continuum of virtual nodes,
// multi-probe hashing and a Maglev lookup table, at 10, 100 and 1,000 nodes of mixed capacities. Prints the
// spread (the most loaded node's share divided by its share of the weights), the keys that move at a join, a
// leave and a halved capacity divided by the least that must move, the time of a lookup, and the memory. Last
// comes the time of a request through the balancer.
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

using mothrack::hash_ring::LevelOf;
using mothrack::hash_ring::Mix;
using mothrack::hash_ring::Node;
using mothrack::hash_ring::NodeHash;

struct Weighted {
  std::string uid;
  double weight = 1;
};
using Nodes = std::vector<Weighted>;

// Each of the following types has Owners(), which stores up to `most` distinct nodes in order of preference.
struct Rendezvous {
  explicit Rendezvous(const Nodes& nodes) {
    std::vector<Node> all;
    for (const auto& node : nodes)
      all.push_back({node.uid, LevelOf(static_cast<std::uint64_t>(1024 * node.weight))});
    ring = mothrack::hash_ring::Ring(1, all);
    for (const auto& node : ring.nodes()) {
      for (std::uint32_t i = 0; i < nodes.size(); ++i) {
        if (nodes[i].uid == node.uid) number.push_back(i);
      }
    }
  }
  void Owners(std::uint64_t key, std::size_t most, std::vector<std::uint32_t>& out) {
    ring.Owners(key, most, scratch);
    out.clear();
    for (const auto& owner : scratch) out.push_back(number[owner.node]);
  }
  std::size_t bytes() const { return ring.bytes(); }
  mothrack::hash_ring::Ring ring;
  std::vector<mothrack::hash_ring::Owner> scratch;
  std::vector<std::uint32_t> number;
};

// Points on a circle; a key belongs to the next one. Has 160 points for each unit of weight, as Ketama does.
struct Continuum {
  struct Point {
    std::uint64_t at;
    std::uint32_t node;
    bool operator<(const Point& other) const { return at < other.at; }
  };
  explicit Continuum(const Nodes& nodes, double per_weight = 160) : count(nodes.size()) {
    for (std::uint32_t i = 0; i < nodes.size(); ++i) {
      const auto many = static_cast<std::uint64_t>(per_weight * nodes[i].weight);
      for (std::uint64_t k = 0; k < many; ++k)
        points.push_back({Mix(NodeHash(nodes[i].uid) + Mix(k + 1)), i});
    }
    std::sort(points.begin(), points.end());
  }
  std::size_t Next(std::uint64_t at) const {
    const auto next = std::lower_bound(points.begin(), points.end(), Point{at, 0});
    return next == points.end() ? 0 : next - points.begin();
  }
  void Walk(std::size_t from, std::size_t most, std::vector<std::uint32_t>& out) const {
    out.clear();
    for (std::size_t i = from; out.size() < std::min(most, count); i = i + 1 == points.size() ? 0 : i + 1) {
      if (std::find(out.begin(), out.end(), points[i].node) == out.end()) out.push_back(points[i].node);
    }
  }
  void Owners(std::uint64_t key, std::size_t most, std::vector<std::uint32_t>& out) const {
    Walk(Next(Mix(key)), most, out);
  }
  std::size_t bytes() const { return points.capacity() * sizeof(Point); }
  std::size_t count;
  std::vector<Point> points;
};

// Few points for each node and 21 probes for each key: the probe that is closest to its next point decides.
struct MultiProbe : Continuum {
  explicit MultiProbe(const Nodes& nodes) : Continuum(nodes, 4) {}
  void Owners(std::uint64_t key, std::size_t most, std::vector<std::uint32_t>& out) const {
    std::size_t best = 0;
    std::uint64_t closest = ~std::uint64_t{0};
    for (std::uint64_t probe = 0; probe < 21; ++probe) {
      const std::uint64_t at = Mix(key + Mix(probe + 1));
      const std::size_t next = Next(at);
      if (points[next].at - at < closest) closest = points[next].at - at, best = next;
    }
    Walk(best, most, out);
  }
};

// A Maglev lookup table: each node claims slots in its own permutation, in proportion to its weight.
struct Table {
  static constexpr std::uint32_t kSlots = 65537;
  explicit Table(const Nodes& nodes) : slots(kSlots, ~std::uint32_t{0}), count(nodes.size()) {
    struct Taker {
      std::uint32_t at, step;
      double due = 0;
    };
    std::vector<Taker> takers;
    double most = 0;
    for (const auto& node : nodes) {
      const auto hash = NodeHash(node.uid);
      takers.push_back({static_cast<std::uint32_t>(hash % kSlots),
                        static_cast<std::uint32_t>(Mix(hash) % (kSlots - 1)) + 1});
      most = std::max(most, node.weight);
    }
    for (std::uint32_t filled = 0; filled < kSlots;) {
      for (std::uint32_t i = 0; i < takers.size() && filled < kSlots; ++i) {
        auto& taker = takers[i];
        for (taker.due += nodes[i].weight / most; taker.due >= 1 && filled < kSlots; taker.due -= 1) {
          while (slots[taker.at] != ~std::uint32_t{0}) taker.at = (taker.at + taker.step) % kSlots;
          slots[taker.at] = i;
          ++filled;
        }
      }
    }
  }
  void Owners(std::uint64_t key, std::size_t most, std::vector<std::uint32_t>& out) const {
    out.clear();
    for (std::uint64_t k = 0; out.size() < std::min(most, count); ++k) {
      const auto node = slots[Mix(key + k) % kSlots];
      if (std::find(out.begin(), out.end(), node) == out.end()) out.push_back(node);
    }
  }
  std::size_t bytes() const { return slots.capacity() * sizeof(std::uint32_t); }
  std::vector<std::uint32_t> slots;
  std::size_t count;
};

constexpr int kKeys = 200'000;

template <class Kind>
std::vector<std::uint32_t> First(Kind& kind) {
  std::vector<std::uint32_t> owners, first(kKeys);
  for (int i = 0; i < kKeys; ++i) {
    kind.Owners(Mix(i + 1), 1, owners);
    first[i] = owners[0];
  }
  return first;
}

// The number of keys that moved divided by the number that had to move, which are the keys that left or came
// to `node`.
double Movement(const std::vector<std::uint32_t>& before, const std::vector<std::uint32_t>& after,
                std::uint32_t node) {
  int moved = 0;
  int must = 0;
  for (int i = 0; i < kKeys; ++i) {
    moved += before[i] != after[i];
    must += (before[i] == node) != (after[i] == node);
  }
  return static_cast<double>(moved) / std::max(must, 1);
}

template <class Kind>
double Nanoseconds(Kind& kind, std::size_t most) {
  std::vector<std::uint32_t> owners;
  double best = 1e9;
  for (int round = 0; round < 5; ++round) {
    const auto began = std::chrono::steady_clock::now();
    for (int i = 0; i < 20'000; ++i) kind.Owners(Mix(i + 1), most, owners);
    const std::chrono::duration<double, std::nano> took = std::chrono::steady_clock::now() - began;
    best = std::min(best, took.count() / 20'000);
  }
  return best;
}

template <class Kind>
void Measure(const char* name, int count) {
  constexpr std::array<double, 4> kWeights = {1, 1.5, 2, 4};
  Nodes nodes;
  // Weights that every type represents exactly: they are steps of the rendezvous ring's weight levels.
  for (int i = 0; i <= count; ++i) {
    nodes.push_back({"node-" + std::to_string(i), i % 4 == 1 ? 1.5422108254 : kWeights[i % 4]});
  }
  const Nodes joined = nodes;
  nodes.pop_back();
  Nodes halved = nodes;
  halved[count / 2].weight /= 2;
  Kind kind(nodes), more(joined), less(halved);
  const auto first = First(kind);
  std::vector<int> owned(count);
  for (const auto node : first) ++owned[node];
  double all = 0;
  for (const auto& node : nodes) all += node.weight;
  double spread = 0;
  for (int i = 0; i < count; ++i) spread = std::max(spread, owned[i] / (kKeys * nodes[i].weight / all));
  const auto join = First(more);
  std::printf("| %s | %d | %.3f | %.3f | %.3f | %.3f | %.0f | %.0f | %.0f |\n", name, count, spread,
              Movement(first, join, count), Movement(join, first, count),
              Movement(first, First(less), count / 2), Nanoseconds(kind, 1), Nanoseconds(kind, 3),
              kind.bytes() / 1024.0);
}

// The nanoseconds that the balancer takes to handle the arrival of a request, without transport.
double Pick(int count) {
  using namespace std::chrono_literals;
  namespace kb = mothrack::balancer;
  kb::Settings settings;
  kb::RequestClass plain;
  plain.name = "plain";
  plain.latency_objective = 400ms;
  plain.deadline = 2s;
  settings.classes = {plain};
  kb::Balancer balancer(settings, 1);
  std::vector<kb::Action> actions;
  kb::MembershipUpdate list;
  list.kind = kb::MembershipUpdate::Kind::kRestored;
  for (int i = 0; i < count; ++i) list.upstreams.push_back({.id = {"node-" + std::to_string(i)}});
  kb::TimePoint now{1s};
  balancer.handle(now, list, actions);
  constexpr int kRequests = 20'000;
  std::chrono::duration<double, std::nano> took{0};
  for (int i = 0; i < kRequests; ++i) {
    now += 1ms;
    actions.clear();
    const auto began = std::chrono::steady_clock::now();
    balancer.handle(now, kb::RequestArrived{.request = kb::RequestId(i), .deadline = now + 2s}, actions);
    took += std::chrono::steady_clock::now() - began;
    const auto answer = actions;
    for (const auto& action : answer) {
      if (const auto* send = std::get_if<kb::SendAttempt>(&action)) {
        kb::AttemptEnded end;
        end.request = send->request;
        end.elapsed = 1ms;
        end.finished = true;
        balancer.handle(now, end, actions);
      }
    }
  }
  return took.count() / kRequests;
}

}  // namespace

int main() {
  std::printf("| ring | nodes | max / mean | join | leave | halved | first, ns | three, ns | KiB |\n");
  std::printf("|---|---|---|---|---|---|---|---|---|\n");
  for (const int count : {10, 100, 1000}) {
    Measure<Rendezvous>("weighted rendezvous", count);
    Measure<Continuum>("virtual nodes, 160 a unit", count);
    Measure<MultiProbe>("multi-probe, 21", count);
    Measure<Table>("filled table, 65537", count);
  }
  for (const int count : {10, 100, 1000}) std::printf("module's pick at %d: %.0f ns\n", count, Pick(count));
}
