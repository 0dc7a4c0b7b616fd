// Each row of the table "Rules of load" of docs/design/hash_ring.md, the bounds of nodes, and a hot key that
// is spread over several owners and then returns to one.
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

// One member's view of a ring of equal nodes, and the owners of one key.
struct LoadFixture {
  std::shared_ptr<const Ring> ring;
  LoadBoundConfig config;
  std::unique_ptr<BoundedLoad> load;
  std::vector<std::uint32_t> ranked_owners;  // nodes, by their rank as owners of kKey
  static constexpr std::uint64_t kKey = 42;
  explicit LoadFixture(int nodes, const LoadBoundConfig& load_config = {}) : config(load_config) {
    std::vector<Node> ring_nodes;
    for (int i = 0; i < nodes; ++i) ring_nodes.push_back({"n" + std::to_string(100 + i), 80});
    ring = std::make_shared<const Ring>(1, ring_nodes);
    load = std::make_unique<BoundedLoad>(config, At(0));
    load->SetRing(ring);
    std::vector<Owner> owners;
    ring->Owners(kKey, nodes, owners);
    for (const Owner& owner : owners) ranked_owners.push_back(owner.node);
  }
  // Returns the node that a request is sent to first, by its rank among the key's owners: "owner 1" and so
  // on.
  std::string FirstPick(std::uint64_t request = 0) {
    std::vector<std::uint32_t> nodes;
    load->Pick(kKey, request, 3, nodes);
    if (nodes.empty()) return "none";
    return "owner " + std::to_string(std::find(ranked_owners.begin(), ranked_owners.end(), nodes[0]) -
                                     ranked_owners.begin() + 1);
  }
  // Starts `count` attempts to each of the owners ranked `first` to before `end`, counted from 0.
  void StartAttempts(std::size_t first, std::size_t end, std::uint32_t count) {
    for (std::size_t i = first; i < end; ++i) {
      for (std::uint32_t attempt = 0; attempt < count; ++attempt)
        load->OnAttemptStarted(ring->nodes()[ranked_owners[i]].uid);
    }
  }
  // Another member reports that `rate` of its 10,000 requests were for the key, which it sent to `owners`
  // owners. Returns the resulting number of owners of the key. With 10 nodes the allowance for a key is 500.
  std::string OwnersAfterReport(std::uint32_t rate, std::int64_t now, std::uint32_t owners = 1) {
    load->OnReport("other", {{}, 10'000, {{kKey, rate, owners}}}, Duration{0}, At(now));
    load->Update(At(now));
    return std::to_string(load->owners_of(kKey));
  }
};

TEST(Tables, RulesOfLoad) {
  const auto report = [](LoadFixture& fixture, std::uint32_t count, Duration age) {
    fixture.load->OnReport("other", {{{fixture.ring->nodes()[fixture.ranked_owners[0]].uid, count}}, 0, {}},
                           age, At(0));
  };
  const std::map<std::string, std::function<std::string()>> kCases = {
      {"room everywhere",
       [] {
         LoadFixture fixture(10);
         fixture.StartAttempts(0, 10, 10);
         return fixture.FirstPick();
       }},
      {"first owner full",
       [] {
         LoadFixture fixture(10);
         fixture.StartAttempts(0, 10, 10);
         fixture.StartAttempts(0, 1, 5);
         return fixture.FirstPick();
       }},
      {"first two owners full",
       [] {
         LoadFixture fixture(10);
         fixture.StartAttempts(0, 10, 10);
         fixture.StartAttempts(0, 2, 5);
         return fixture.FirstPick();
       }},
      {"all full but the last",
       [] {
         LoadFixture fixture(10, {.excess = 50});
         fixture.StartAttempts(0, 9, 20);
         return fixture.FirstPick();
       }},
      {"light traffic",
       [] {
         LoadFixture fixture(10);
         fixture.StartAttempts(0, 1, 3);
         return fixture.FirstPick();
       }},
      {"full by what another told",
       [&] {
         LoadFixture fixture(10);
         report(fixture, 50, Duration{0});
         return fixture.FirstPick();
       }},
      {"told too long ago",
       [&] {
         LoadFixture fixture(10);
         report(fixture, 50, Duration{2000});
         return fixture.FirstPick();
       }},
      {"lapsed since",
       [&] {
         LoadFixture fixture(10);
         report(fixture, 50, Duration{0});
         fixture.load->Update(At(2000));
         return fixture.FirstPick();
       }},
      {"told anew",
       [&] {
         LoadFixture fixture(10);
         report(fixture, 50, Duration{100});
         report(fixture, 0, Duration{0});
         return fixture.FirstPick();
       }},
      {"overtaken on its way",
       [&] {
         LoadFixture fixture(10);
         report(fixture, 50, Duration{0});
         report(fixture, 0, Duration{100});
         return fixture.FirstPick();
       }},
      {"no node serves",
       [] {
         LoadFixture fixture(0);
         return fixture.FirstPick();
       }},
      {"key within its allowance",
       [] {
         LoadFixture fixture(10);
         return fixture.OwnersAfterReport(500, 1000);
       }},
      {"key of three and a half",
       [] {
         LoadFixture fixture(10);
         return fixture.OwnersAfterReport(1750, 1000);
       }},
      {"it cools a little",
       [] {
         LoadFixture fixture(10);
         fixture.OwnersAfterReport(1750, 1000);
         return fixture.OwnersAfterReport(1300, 2000);
       }},
      {"it cools more",
       [] {
         LoadFixture fixture(10);
         fixture.OwnersAfterReport(1750, 1000);
         return fixture.OwnersAfterReport(1000, 2000);
       }},
      {"it is cold again",
       [] {
         LoadFixture fixture(10);
         fixture.OwnersAfterReport(1750, 1000);
         return fixture.OwnersAfterReport(300, 2000);
       }},
      {"another goes by more",
       [] {
         LoadFixture fixture(10);
         return fixture.OwnersAfterReport(1300, 1000, 4);
       }},
      {"hotter than all are allowed",
       [] {
         LoadFixture fixture(40);
         return fixture.OwnersAfterReport(9'000, 1000);
       }},
  };
  std::set<std::string> tested;
  for (const auto& row : testing::TableOf(MOTHRACK_RING_PAGE, "Rules of load")) {
    EXPECT_EQ(kCases.at(row.at("case"))(), row.at("result")) << row.at("case");
    tested.insert(row.at("case"));
  }
  EXPECT_EQ(tested.size(), kCases.size());
}

// 4 requests per ms of 200 ms each to 20 nodes of mixed capacities. In the first 10 s half of them are for
// one key, after 15 s only a few. The member reports to a second member every 250 ms.
TEST(BoundedLoad, NoNodeExceedsItsBoundAndAHotKeyIsSpreadAndReturns) {
  const auto ring = std::make_shared<const Ring>(1, Nodes(20));
  LoadBoundConfig config;
  BoundedLoad load(config, At(0));
  load.SetRing(ring);
  BoundedLoad receiver(config, At(0));  // sends no requests, only receives reports
  receiver.SetRing(ring);
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
    if (now % 250 == 0) receiver.OnReport("first", load.Report(), Duration{0}, At(now));
    load.Update(At(now));
    receiver.Update(At(now));
    if (now == 9'999) {
      EXPECT_GE(load.owners_of(7), 12u);
      EXPECT_GE(nodes_of_hot_key.size(), 12u);
      EXPECT_EQ(load.owners_of(7), receiver.owners_of(7));
    }
  }
  EXPECT_EQ(load.owners_of(7), 1u);
  EXPECT_EQ(nodes_of_hot_key.size(), 1u) << "the key is back at its first owner";
}

}  // namespace
}  // namespace mothrack::hash_ring
