// Random histories of several members that build rings, checked against rules that must hold. With a fault
// injected into one member, the same checks must find it. The environment variable HISTORIES sets the number
// of histories.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "hash_ring/ring_builder.h"
#include "hash_ring/ring_fixtures.h"

namespace mothrack::hash_ring {
namespace {

// A fault of one of the members.
enum class Fault {
  kNone,
  kNoHysteresis,    // changes a node's level because of measurement noise
  kNoGrace,         // removes a missing node's record at once
  kIgnoresCutOff,   // applies the empty list that it has while it is cut off
  kOwnMeasurement,  // uses its own measurement instead of the fleet's
  kWrongAges,       // uses ages of nodes that are lower than the actual ones
};
constexpr std::int64_t kMaxDelayMs = 1000, kTickMs = 100, kChangesEndMs = 60'000;

// Simulates members that learn of nodes and of each other's records with delays of up to kMaxDelayMs. Nodes
// restart, go missing, return, drain and change their capacity. Members are cut off at times. Member 0 has
// the fault. Returns the first violation of a rule, or an empty text if there was none.
std::string SimulateHistory(std::uint64_t seed, Fault fault) {
  std::mt19937_64 random(seed);
  const auto draw = [&](std::uint64_t below) { return static_cast<std::int64_t>(random() % below); };
  constexpr int kMembers = 5, kNodes = 16;
  // Times are in ms since the start of the history.
  struct ActualNode {
    bool present = true;
    std::int64_t started = -100'000;  // start of its process
    std::int64_t since = -100'000;    // since when it is missing, or present and active
    std::uint64_t capacity = 0;
    State state = State::kActive;
    bool had_full_record = false;  // missing, and certainly had a record with its full weight before
  };
  std::vector<std::vector<ActualNode>> history;  // by tick
  std::vector<ActualNode> actual(kNodes);
  for (auto& node : actual) node.capacity = 1000u << draw(4);
  RingConfig config;
  config.missing_grace = Duration{15'000};
  config.slow_start_time = Duration{8'000};
  std::vector<RingBuilder> builders;
  for (int member = 0; member < kMembers; ++member) {
    RingConfig member_config = config;
    if (member == 0 && fault == Fault::kNoHysteresis) member_config.hysteresis = 0;
    if (member == 0 && fault == Fault::kNoGrace) member_config.missing_grace = Duration{0};
    builders.emplace_back(member_config, At(0));
  }
  struct Message {
    std::int64_t due;  // -1 if it was delivered
    int to;
    std::vector<NodeRecord> records;
  };
  std::vector<Message> messages;
  // By member and node: the time whose state of the node the member knows.
  std::vector<std::vector<std::int64_t>> known_time(kMembers, std::vector<std::int64_t>(kNodes, 0));
  // By member.
  std::vector<std::uint64_t> sent_generations(kMembers, 0), generations(kMembers, 0);
  std::vector<std::int64_t> cut_off_until(kMembers, -1), last_sent_at(kMembers, 0);
  std::uint64_t changes = 1;           // changes of the nodes; the initial nodes count as one
  std::uint64_t final_generation = 0;  // the generation once all changes have been made
  // Since when members that are not cut off have had different rings, after the last change; -1 if they have
  // the same.
  std::int64_t differ_since = -1;
  for (std::int64_t now = 0; now <= kChangesEndMs + 45'000; now += kTickMs) {
    if (now > 5000 && now < kChangesEndMs && draw(15) == 0) {
      ActualNode& node = actual[draw(kNodes)];
      const auto change = draw(6);
      ++changes;
      if (change <= 1 && node.present) {
        node = {false,         node.started, now,
                node.capacity, node.state,   node.state == State::kActive && now - node.since > 15'000};
      } else if (change <= 3) {
        if (!node.present || node.state != State::kActive || change == 2) node.since = now;
        node.present = true, node.state = State::kActive;
      } else if (change == 4) {
        node.capacity = 1000u << draw(4);
      } else if (node.present) {
        node.state = State::kDraining;
      }
      if (change == 2) node.started = now;
    }
    history.push_back(actual);
    for (int member = 0; member < kMembers; ++member) {
      if (now > 5000 && now < kChangesEndMs - 10'000 && cut_off_until[member] < now && draw(1500) == 0)
        cut_off_until[member] = now + draw(25'000);
      const bool cut_off = cut_off_until[member] >= now;
      std::vector<NodeUpdate> updates;
      for (int index = 0; index < kNodes && !cut_off; ++index) {
        auto& known = known_time[member][index];
        known = std::max(known, now - static_cast<std::int64_t>(Mix(seed * 4096 + member * 64 + index) %
                                                                (kMaxDelayMs / kTickMs)) *
                                          kTickMs);
        const ActualNode& node = history[known / kTickMs][index];
        if (!node.present) continue;
        const bool own_measurement = member == 0 && fault == Fault::kOwnMeasurement;
        updates.push_back(
            UpdateOf("n" + std::to_string(index), Duration{now - node.started},
                     node.capacity *
                         (own_measurement ? 1300 : 960 + Mix(seed + index + now / 3000 * 64) % 81) / 1000));
        updates.back().state = node.state;
        if (member == 0 && fault == Fault::kWrongAges)
          updates.back().age = Duration{std::max<std::int64_t>(known - node.started, 0) / 4};
      }
      for (auto& message : messages) {
        if (message.to != member || message.due > now || cut_off) continue;
        builders[member].Merge(message.records, At(now));
        message.due = -1;
      }
      builders[member].Update(updates, cut_off && !(member == 0 && fault == Fault::kIgnoresCutOff), At(now));
      if (builders[member].generation() < generations[member]) return "a generation decreased";
      generations[member] = builders[member].generation();
      // All records are sent at once after a change, and otherwise every two seconds, as by anti-entropy.
      if (!cut_off &&
          (sent_generations[member] != builders[member].generation() || now - last_sent_at[member] >= 2000)) {
        sent_generations[member] = builders[member].generation();
        last_sent_at[member] = now;
        for (int to = 0; to < kMembers; ++to)
          messages.push_back({now + draw(kMaxDelayMs), to, builders[member].records()});
      }
    }
    std::erase_if(messages, [&](const Message& message) {
      return message.due < 0 || message.due + 2 * kMaxDelayMs < now;
    });
    for (int member = 0; member < kMembers; ++member) {
      if (cut_off_until[member] + 4 * kMaxDelayMs >= now) continue;
      for (int index = 0; index < kNodes; ++index) {
        const auto node = builders[member].ring()->Find("n" + std::to_string(index));
        const bool serves = node && builders[member].ring()->weight(*node) > 0;
        const ActualNode& actual_node = actual[index];
        if (!node && actual_node.present && actual_node.state == State::kActive &&
            now - actual_node.since > 15'000 && now > 15'000) {
          return "an active node is not in the ring";
        }
        if (serves && !actual_node.present && now - actual_node.since > kMaxDelayMs + kTickMs)
          return "a missing node serves";
        // Members that were cut off count the grace period from the end of that time.
        if (!node && !actual_node.present && actual_node.had_full_record &&
            now - actual_node.since < 13'000) {
          return "a record was removed within its grace period";
        }
      }
    }
    // All changes that were due have been made by then, and no further ones follow. So all members agree,
    // except for up to 2S + T after the last generation.
    std::set<std::uint64_t> hashes;
    std::uint64_t highest = 0;
    for (int member = 0; member < kMembers; ++member) {
      highest = std::max(highest, generations[member]);
      if (cut_off_until[member] + 4 * kMaxDelayMs < now) hashes.insert(builders[member].ring()->hash());
    }
    if (now <= kChangesEndMs + 30'000) final_generation = highest;
    if (highest > final_generation) return "a generation without a change";
    if (hashes.size() <= 1 || now < kChangesEndMs + 5000)
      differ_since = -1;
    else if (differ_since < 0)
      differ_since = now;
    if (differ_since >= 0 && now - differ_since > 2 * kMaxDelayMs + kTickMs)
      return "members differ for longer than 2S + T";
  }
  // A new process causes at most four generations (one without the node, three steps of its weight share).
  // Some changes cause none, and many share one.
  if (generations[0] > changes + 8) return "more generations than changes";
  return "";
}

// The value of the environment variable HISTORIES, or `default_count` if it is not set.
int HistoryCount(int default_count) {
  const char* text = std::getenv("HISTORIES");
  return text ? std::atoi(text) : default_count;
}

TEST(Histories, KeepTheRules) {
  for (int seed = 0; seed < HistoryCount(60); ++seed)
    ASSERT_EQ(SimulateHistory(seed, Fault::kNone), "") << seed;
}

TEST(Histories, FindInjectedFaults) {
  for (const Fault fault : {Fault::kNoHysteresis, Fault::kNoGrace, Fault::kIgnoresCutOff,
                            Fault::kOwnMeasurement, Fault::kWrongAges}) {
    std::map<std::string, int> violations;
    for (int seed = 0; seed < 20; ++seed) ++violations[SimulateHistory(seed, fault)];
    EXPECT_LT(violations[""], 20) << static_cast<int>(fault);
  }
}

}  // namespace
}  // namespace mothrack::hash_ring
