// Generations: each row of the tables of docs/design/hash_ring.md on them, and the effects of measurement
// noise, merging and slow start.
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

// Calls Update() with the same list every 100 ms, from `now` until `until`.
void UpdateUntil(RingBuilder& builder, const std::vector<NodeUpdate>& nodes, bool cut_off, std::int64_t& now,
                 std::int64_t until) {
  for (; now <= until; now += 100) builder.Update(nodes, cut_off, At(now));
}

// The state of the only node in the words of the page's tables.
std::string StateOf(const RingBuilder& builder) {
  const auto records = builder.records();
  if (records.empty()) return "none";
  if (records[0].removed) return "gone";
  if (records[0].weight_share == WeightShare::kNone) return "cold";
  if (builder.ring()->serving() == 0) return "missing";
  return records[0].weight_share == WeightShare::kFull ? "whole" : "part";
}

TEST(Tables, RulesOfAGeneration) {
  const std::map<std::string, WeightShare> kWeightShares = {{"cold", WeightShare::kNone},
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
  NodeUpdate draining = UpdateOf("n"), removed = UpdateOf("n");
  draining.state = State::kDraining;
  removed.state = State::kRemoved;
  const std::map<std::string, Event> kEvents = {{"listed, cold", {{UpdateOf("n", Duration{0})}}},
                                                {"listed, half warm", {{UpdateOf("n", Duration{5000})}}},
                                                {"listed, warm", {{UpdateOf("n")}}},
                                                {"leaving", {{draining}}},
                                                {"left", {{removed}}},
                                                {"missing", {{}}},
                                                {"missing past its grace", {{}, 60'000}},
                                                {"anything, while cut off", {{draining}, 0, true}}};
  std::set<std::string> tested;
  for (const auto& row : testing::TableOf(MOTHRACK_RING_PAGE, "Rules of a generation")) {
    SCOPED_TRACE(row.at("place") + ", " + row.at("event"));
    RingBuilder builder({}, At(0));
    if (kWeightShares.contains(row.at("place"))) {
      builder.Merge({{"n", 1, LevelOf(1000), kWeightShares.at(row.at("place")), row.at("place") == "gone"}},
                    At(0));
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
    tested.insert(row.at("place") + row.at("event"));
  }
  EXPECT_EQ(tested.size(), 6 * kEvents.size());
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
  std::set<std::string> tested;
  for (const auto& row : testing::TableOf(MOTHRACK_RING_PAGE, "Rules of merging")) {
    SCOPED_TRACE(row.at("heard"));
    RingBuilder builder({}, At(0));
    builder.Merge({current}, At(0));
    const bool accepted = builder.Merge({kReceived.at(row.at("heard"))}, At(0));
    EXPECT_EQ(accepted ? "taken" : builder.rejected() ? "refused" : "kept", row.at("then"));
    EXPECT_EQ(builder.generation(), builder.records()[0].generation);
    EXPECT_EQ(builder.records()[0], accepted ? kReceived.at(row.at("heard")) : current);
    tested.insert(row.at("heard"));
  }
  EXPECT_EQ(tested.size(), kReceived.size());
}

TEST(Tables, RulesOfQuantising) {
  std::set<std::string> tested;
  for (const auto& row : testing::TableOf(MOTHRACK_RING_PAGE, "Rules of quantising")) {
    std::optional<Level> current;
    if (row.at("held") != "-") current = static_cast<Level>(std::stoi(row.at("held")));
    EXPECT_EQ(LevelWithHysteresis(current, std::stoull(row.at("capacity"))), std::stoi(row.at("level")))
        << row.at("case");
    tested.insert(row.at("case"));
  }
  EXPECT_EQ(tested,
            (std::set<std::string>{"first", "nothing", "least", "most", "one unit doubled", "noise up",
                                   "noise down", "last within, above", "first beyond, above",
                                   "last within, below", "first beyond, below", "halved"}));
}

TEST(RingBuilder, NoiseChangesNothingAndDueChangesShareOneGeneration) {
  RingBuilder builder({}, At(0));
  std::mt19937 random(3);
  std::vector<NodeUpdate> nodes;
  for (int i = 0; i < 30; ++i)
    nodes.push_back(UpdateOf("n" + std::to_string(i), Duration{100'000}, 1000 + 100 * i));
  std::int64_t now = 0;
  UpdateUntil(builder, nodes, false, now, 2000);
  const auto first_hash = builder.ring()->hash();
  EXPECT_EQ(builder.generation(), 1u) << "all nodes join in one generation";
  for (int round = 0; round < 2000; ++round, now += 100) {
    auto noisy = nodes;
    // The measurements vary, in any direction, by less than one step: 9.05% up, 8.3% down.
    for (auto& update : noisy)
      *update.measured_capacity = *update.measured_capacity * (918 + random() % 172) / 1000;
    if (round % 100 > 50) noisy[round / 100].measured_capacity.reset();  // an expired measurement
    builder.Update(noisy, false, At(now));
  }
  EXPECT_EQ(builder.generation(), 1u);
  // At once, half of the capacities are halved, one node drains and one joins.
  for (int i = 0; i < 15; ++i) *nodes[i].measured_capacity /= 2;
  nodes[20].state = State::kDraining;
  nodes.push_back(UpdateOf("new"));
  UpdateUntil(builder, nodes, false, now, now + 5000);
  EXPECT_EQ(builder.generation(), 2u);
  EXPECT_NE(builder.ring()->hash(), first_hash);
}

// A member that receives a record before the update that caused it must not revert the record at once.
TEST(RingBuilder, KeepsARecordWhoseCauseItDoesNotKnowYet) {
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
  std::vector<WeightShare> weight_shares;
  for (std::int64_t now = 0; now <= 60'000; now += 100) {
    builder.Update({UpdateOf("old"), UpdateOf("new", Duration{now})}, false, At(now));
    const auto node = builder.ring()->Find("new");
    if (node &&
        (weight_shares.empty() || weight_shares.back() != builder.ring()->nodes()[*node].weight_share)) {
      weight_shares.push_back(builder.ring()->nodes()[*node].weight_share);
      // Never more than the balancer's slow start allows at that time.
      const double share = static_cast<double>(builder.ring()->weight(*node)) / builder.ring()->weight(1);
      EXPECT_LE(share, 0.1 + 0.9 * static_cast<double>(now) / 20'000);
    }
  }
  EXPECT_EQ(weight_shares, (std::vector{WeightShare::kQuarter, WeightShare::kHalf, WeightShare::kFull}));
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
  EXPECT_EQ(builder.ring()->hash(), hash) << "a member that is cut off keeps its ring";
  EXPECT_TRUE(builder.staleness(At(now)).stale);
}

}  // namespace
}  // namespace mothrack::hash_ring
