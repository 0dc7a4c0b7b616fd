// The table "Rules of load" of docs/design/hash_ring.md row by row; bounds of nodes, and a hot key that
// spreads and comes back.
#include "hash_ring/bounded_load.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "hash_ring/ring_fixtures.h"
#include "support/tables.h"

namespace mothrack::hash_ring {
namespace {

struct Fleet {
  std::shared_ptr<const Ring> ring;
  LoadBoundConfig config;
  std::unique_ptr<BoundedLoad> load;
  std::vector<std::uint32_t> ranked;  // of kKey's owners
  static constexpr std::uint64_t kKey = 42;
  explicit Fleet(int nodes, const LoadBoundConfig& with = {}) : config(with) {
    std::vector<Node> all;
    for (int i = 0; i < nodes; ++i) all.push_back({"n" + std::to_string(100 + i), 80});
    ring = std::make_shared<const Ring>(1, all);
    load = std::make_unique<BoundedLoad>(config, At(0));
    load->SetRing(ring);
    std::vector<Owner> owners;
    ring->Owners(kKey, nodes, owners);
    for (const Owner& owner : owners) ranked.push_back(owner.node);
  }
  // By place in the order: the first to be asked.
  std::string First(std::uint64_t request = 0) {
    std::vector<std::uint32_t> nodes;
    load->Pick(kKey, request, 3, nodes);
    if (nodes.empty()) return "none";
    return "owner " + std::to_string(std::find(ranked.begin(), ranked.end(), nodes[0]) - ranked.begin() + 1);
  }
  void Fill(std::size_t first, std::size_t end, std::uint32_t count) {
    for (std::size_t i = first; i < end; ++i) {
      for (std::uint32_t k = 0; k < count; ++k) load->OnAttemptStarted(ring->nodes()[ranked[i]].uid);
    }
  }
  // Another member tells of the key and of 10,000 requests in all; at 10 nodes the allowance is 500.
  std::string Owners(std::uint32_t rate, std::int64_t at, std::uint32_t owners = 1) {
    load->OnReport("other", {{}, 10'000, {{kKey, rate, owners}}}, Duration{0}, At(at));
    load->Update(At(at));
    return std::to_string(load->owners_of(kKey));
  }
};

TEST(Tables, RulesOfLoad) {
  const auto report = [](Fleet& fleet, std::uint32_t count, Duration age) {
    fleet.load->OnReport("other", {{{fleet.ring->nodes()[fleet.ranked[0]].uid, count}}, 0, {}}, age, At(0));
  };
  const std::map<std::string, std::function<std::string()>> kCases = {
      {"room everywhere",
       [] {
         Fleet f(10);
         f.Fill(0, 10, 10);
         return f.First();
       }},
      {"first owner full",
       [] {
         Fleet f(10);
         f.Fill(0, 10, 10);
         f.Fill(0, 1, 5);
         return f.First();
       }},
      {"first two owners full",
       [] {
         Fleet f(10);
         f.Fill(0, 10, 10);
         f.Fill(0, 2, 5);
         return f.First();
       }},
      {"all full but the last",
       [] {
         Fleet f(10, {.excess = 50});
         f.Fill(0, 9, 20);
         return f.First();
       }},
      {"light traffic",
       [] {
         Fleet f(10);
         f.Fill(0, 1, 3);
         return f.First();
       }},
      {"full by what another told",
       [&] {
         Fleet f(10);
         report(f, 50, Duration{0});
         return f.First();
       }},
      {"told too long ago",
       [&] {
         Fleet f(10);
         report(f, 50, Duration{2000});
         return f.First();
       }},
      {"lapsed since",
       [&] {
         Fleet f(10);
         report(f, 50, Duration{0});
         f.load->Update(At(2000));
         return f.First();
       }},
      {"told anew",
       [&] {
         Fleet f(10);
         report(f, 50, Duration{100});
         report(f, 0, Duration{0});
         return f.First();
       }},
      {"overtaken on its way",
       [&] {
         Fleet f(10);
         report(f, 50, Duration{0});
         report(f, 0, Duration{100});
         return f.First();
       }},
      {"no node serves",
       [] {
         Fleet f(0);
         return f.First();
       }},
      {"key within its allowance",
       [] {
         Fleet f(10);
         return f.Owners(500, 1000);
       }},
      {"key of three and a half",
       [] {
         Fleet f(10);
         return f.Owners(1750, 1000);
       }},
      {"it cools a little",
       [] {
         Fleet f(10);
         f.Owners(1750, 1000);
         return f.Owners(1300, 2000);
       }},
      {"it cools more",
       [] {
         Fleet f(10);
         f.Owners(1750, 1000);
         return f.Owners(1000, 2000);
       }},
      {"it is cold again",
       [] {
         Fleet f(10);
         f.Owners(1750, 1000);
         return f.Owners(300, 2000);
       }},
      {"another goes by more",
       [] {
         Fleet f(10);
         return f.Owners(1300, 1000, 4);
       }},
      {"hotter than all are allowed",
       [] {
         Fleet f(40);
         return f.Owners(9'000, 1000);
       }},
  };
  std::set<std::string> played;
  for (const auto& row : testing::TableOf(MOTHRACK_RING_PAGE, "Rules of load")) {
    EXPECT_EQ(kCases.at(row.at("case"))(), row.at("result")) << row.at("case");
    played.insert(row.at("case"));
  }
  EXPECT_EQ(played.size(), kCases.size());
}

// Three members, half of all requests for one key, some mixed capacities: told every 250 ms, a request takes
// 200 ms.
TEST(BoundedLoad, NoNodeExceedsItsBoundAndAHotKeySpreadsAndReturns) {
  const auto ring = std::make_shared<const Ring>(1, Nodes(20));
  LoadBoundConfig config;
  BoundedLoad load(config, At(0));
  load.SetRing(ring);
  BoundedLoad twin(config, At(0));  // asks nothing: goes by what the first tells
  twin.SetRing(ring);
  std::mt19937_64 random(11);
  std::vector<std::uint32_t> nodes;
  std::deque<std::pair<std::int64_t, std::uint32_t>> in_flight_requests;
  std::set<std::uint32_t> nodes_of_hot_key;
  for (std::int64_t now = 0; now < 20'000; ++now) {
    for (; !in_flight_requests.empty() && in_flight_requests.front().first <= now;
         in_flight_requests.pop_front())
      load.OnAttemptEnded(ring->nodes()[in_flight_requests.front().second].uid);
    if (now == 10'000) nodes_of_hot_key.clear();
    for (int i = 0; i < 4; ++i) {
      const bool hot = now < 10'000 && i % 2 == 0;
      const std::uint64_t key = hot || (now > 15'000 && now % 20 == 0 && i == 0) ? 7 : Mix(random());
      load.Pick(key, random(), 3, nodes);
      ASSERT_FALSE(nodes.empty());
      if (key == 7 && now > 5000) nodes_of_hot_key.insert(nodes[0]);
      const auto limit = load.Limit(nodes[0]);
      load.OnAttemptStarted(ring->nodes()[nodes[0]].uid);
      ASSERT_LE(load.in_flight(nodes[0]), limit);
      in_flight_requests.emplace_back(now + 200, nodes[0]);
    }
    if (now % 250 == 0) twin.OnReport("first", load.Report(), Duration{0}, At(now));
    load.Update(At(now));
    twin.Update(At(now));
    if (now == 9'999) {
      EXPECT_GE(load.owners_of(7), 12u);
      EXPECT_GE(nodes_of_hot_key.size(), 12u);
      EXPECT_EQ(load.owners_of(7), twin.owners_of(7));
    }
  }
  EXPECT_EQ(load.owners_of(7), 1u);
  EXPECT_EQ(nodes_of_hot_key.size(), 1u) << "it is back at its first owner";
}

}  // namespace
}  // namespace mothrack::hash_ring
