// Generations: the tables of docs/design/hash_ring.md on them row by row, and what noise, merging and slow
// start do.
#include "hash_ring/ring_builder.h"

#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "hash_ring/ring_fixtures.h"
#include "support/tables.h"

namespace mothrack::hash_ring {
namespace {

// Updates with the same list each 100 ms until `until`.
void UpdateUntil(RingBuilder& builder, const std::vector<NodeUpdate>& nodes, bool cut_off, std::int64_t& now,
                 std::int64_t until) {
  for (; now <= until; now += 100) builder.Update(nodes, cut_off, At(now));
}

std::string StateOf(const RingBuilder& builder) {
  const auto records = builder.records();
  if (records.empty()) return "none";
  if (records[0].removed) return "gone";
  if (records[0].weight_share == WeightShare::kNone) return "cold";
  if (builder.ring()->serving() == 0) return "missing";
  return records[0].weight_share == WeightShare::kFull ? "whole" : "part";
}

TEST(Tables, RulesOfAGeneration) {
  const std::map<std::string, WeightShare> kShares = {{"cold", WeightShare::kNone},
                                                      {"part", WeightShare::kQuarter},
                                                      {"whole", WeightShare::kFull},
                                                      {"missing", WeightShare::kFull},
                                                      {"gone", WeightShare::kFull}};
  const std::map<std::string, Duration> kAges = {
      {"cold", Duration{0}}, {"part", Duration{5000}}, {"whole", Duration{30'000}}};
  struct Event {
    std::vector<NodeUpdate> nodes;
    std::int64_t after = 0;
    bool cut_off = false;
  };
  NodeUpdate leaving = UpdateOf("n"), left = UpdateOf("n");
  leaving.state = State::kDraining;
  left.state = State::kRemoved;
  const std::map<std::string, Event> kEvents = {{"listed, cold", {{UpdateOf("n", Duration{0})}}},
                                                {"listed, half warm", {{UpdateOf("n", Duration{5000})}}},
                                                {"listed, warm", {{UpdateOf("n")}}},
                                                {"leaving", {{leaving}}},
                                                {"left", {{left}}},
                                                {"missing", {{}}},
                                                {"missing past its grace", {{}, 60'000}},
                                                {"anything, while cut off", {{leaving}, 0, true}}};
  std::set<std::string> played;
  for (const auto& row : testing::TableOf(MOTHRACK_RING_PAGE, "Rules of a generation")) {
    SCOPED_TRACE(row.at("place") + ", " + row.at("event"));
    RingBuilder builder({}, At(0));
    if (kShares.contains(row.at("place"))) {
      builder.Merge({{"n", 1, LevelOf(1000), kShares.at(row.at("place")), row.at("place") == "gone"}}, At(0));
    }
    std::vector<NodeUpdate> nodes;
    if (kAges.contains(row.at("place"))) nodes = {UpdateOf("n", kAges.at(row.at("place")))};
    builder.Update(nodes, false, At(0));
    ASSERT_EQ(StateOf(builder), row.at("place"));
    const Event& event = kEvents.at(row.at("event"));
    const auto generation = builder.generation();
    std::int64_t now = 100;
    UpdateUntil(builder, event.nodes, event.cut_off, now, 100);
    EXPECT_EQ(builder.ring()->serving() == 1 ? "yes" : "no", row.at("serves at once"));
    UpdateUntil(builder, event.nodes, event.cut_off, now, event.after + 2000);
    EXPECT_EQ(StateOf(builder), row.at("next"));
    EXPECT_EQ(builder.generation() > generation ? "yes" : "no", row.at("generation"));
    played.insert(row.at("place") + row.at("event"));
  }
  EXPECT_EQ(played.size(), 6 * kEvents.size());
}

TEST(Tables, RulesOfMerging) {
  const NodeRecord current{"n", 5, 80, WeightShare::kHalf, false};
  const std::map<std::string, NodeRecord> kReceived = {
      {"later", {"n", 6, 90, WeightShare::kFull, false}},
      {"earlier", {"n", 4, 70, WeightShare::kQuarter, false}},
      {"same number, heavier", {"n", 5, 81, WeightShare::kHalf, false}},
      {"same number, lighter", {"n", 5, 90, WeightShare::kQuarter, false}},
      {"same number, given up", {"n", 5, 80, WeightShare::kHalf, true}},
      {"the same", current},
      {"number out of reach", {"n", ~std::uint64_t{0}, 9, WeightShare::kHalf, false}},
      {"no number", {"n", 0, 1, WeightShare::kNone, false}}};
  std::set<std::string> played;
  for (const auto& row : testing::TableOf(MOTHRACK_RING_PAGE, "Rules of merging")) {
    SCOPED_TRACE(row.at("heard"));
    RingBuilder builder({}, At(0));
    builder.Merge({current}, At(0));
    const bool accepted = builder.Merge({kReceived.at(row.at("heard"))}, At(0));
    EXPECT_EQ(accepted ? "taken" : builder.rejected() ? "refused" : "kept", row.at("then"));
    EXPECT_EQ(builder.generation(), builder.records()[0].generation);
    EXPECT_EQ(builder.records()[0], accepted ? kReceived.at(row.at("heard")) : current);
    played.insert(row.at("heard"));
  }
  EXPECT_EQ(played.size(), kReceived.size());
}

TEST(Tables, RulesOfQuantising) {
  std::set<std::string> played;
  for (const auto& row : testing::TableOf(MOTHRACK_RING_PAGE, "Rules of quantising")) {
    std::optional<Level> current;
    if (row.at("held") != "-") current = static_cast<Level>(std::stoi(row.at("held")));
    EXPECT_EQ(LevelWithHysteresis(current, std::stoull(row.at("capacity"))), std::stoi(row.at("level")))
        << row.at("case");
    played.insert(row.at("case"));
  }
  EXPECT_EQ(played,
            (std::set<std::string>{"first", "nothing", "least", "most", "one unit doubled", "noise up",
                                   "noise down", "last within, above", "first beyond, above",
                                   "last within, below", "first beyond, below", "halved"}));
}

TEST(RingBuilder, NoiseMovesNothingAndDueChangesFormOneGeneration) {
  RingBuilder builder({}, At(0));
  std::mt19937 random(3);
  std::vector<NodeUpdate> nodes;
  for (int i = 0; i < 30; ++i)
    nodes.push_back(UpdateOf("n" + std::to_string(i), Duration{100'000}, 1000 + 100 * i));
  std::int64_t now = 0;
  UpdateUntil(builder, nodes, false, now, 2000);
  const auto first = builder.ring()->hash();
  EXPECT_EQ(builder.generation(), 1u) << "all joins at once";
  for (int turn = 0; turn < 2000; ++turn, now += 100) {
    auto noisy = nodes;
    // One step is 2^(1/8): 9.05% up, 8.3% down; anything less, however biased.
    for (auto& update : noisy)
      *update.measured_capacity = *update.measured_capacity * (918 + random() % 172) / 1000;
    if (turn % 100 > 50) noisy[turn / 100].measured_capacity.reset();  // lapsed
    builder.Update(noisy, false, At(now));
  }
  EXPECT_EQ(builder.generation(), 1u);
  // Half of the capacities at once, some leave, some come.
  for (int i = 0; i < 15; ++i) *nodes[i].measured_capacity /= 2;
  nodes[20].state = State::kDraining;
  nodes.push_back(UpdateOf("new"));
  UpdateUntil(builder, nodes, false, now, now + 5000);
  EXPECT_EQ(builder.generation(), 2u);
  EXPECT_NE(builder.ring()->hash(), first);
}

// It hears of the place before it hears of its reason.
TEST(RingBuilder, AMemberWithoutTheCauseWaitsBeforeReverting) {
  RingBuilder builder({}, At(0));
  std::int64_t now = 0;
  UpdateUntil(builder, {UpdateOf("n")}, false, now, 2000);
  UpdateUntil(builder, {UpdateOf("n", Duration{100'000}, 3000)}, false, now, 3000);
  builder.Merge({{"n", 2, 100, WeightShare::kFull, false}}, At(now));
  UpdateUntil(builder, {UpdateOf("n", Duration{100'000}, 3000)}, false, now, now + 1400);
  EXPECT_EQ(builder.generation(), 2u);
  EXPECT_EQ(builder.records()[0].level, 100);
}

TEST(RingBuilder, NodesInSlowStartJoinInStepsAndAReturningNodeKeepsItsRecord) {
  RingBuilder builder({}, At(0));
  std::vector<WeightShare> parts;
  for (std::int64_t now = 0; now <= 60'000; now += 100) {
    builder.Update({UpdateOf("old"), UpdateOf("new", Duration{now})}, false, At(now));
    const auto node = builder.ring()->Find("new");
    if (node && (parts.empty() || parts.back() != builder.ring()->nodes()[*node].weight_share)) {
      parts.push_back(builder.ring()->nodes()[*node].weight_share);
      // Never above what the node has by then.
      const double share = static_cast<double>(builder.ring()->weight(*node)) / builder.ring()->weight(1);
      EXPECT_LE(share, 0.1 + 0.9 * static_cast<double>(now) / 20'000);
    }
  }
  EXPECT_EQ(parts, (std::vector{WeightShare::kQuarter, WeightShare::kHalf, WeightShare::kFull}));
  const auto hash = builder.ring()->hash();
  const auto generation = builder.generation();
  std::int64_t now = 60'100;
  UpdateUntil(builder, {UpdateOf("old")}, false, now, 119'000);
  EXPECT_EQ(builder.ring()->serving(), 1u);
  UpdateUntil(builder, {UpdateOf("old"), UpdateOf("new")}, false, now, 119'200);
  EXPECT_EQ(builder.ring()->serving(), 2u);
  EXPECT_EQ(builder.ring()->hash(), hash);
  EXPECT_EQ(builder.generation(), generation);
  EXPECT_FALSE(builder.staleness(At(now)).stale);
  UpdateUntil(builder, {}, true, now, 200'000);
  EXPECT_EQ(builder.ring()->hash(), hash) << "cut off, it serves on";
  EXPECT_TRUE(builder.staleness(At(now)).stale);
}

}  // namespace
}  // namespace mothrack::hash_ring
