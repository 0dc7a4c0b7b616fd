// Several members that build rings in histories drawn from seeds, against rules that must hold; and planted
// faults that must be found. HISTORIES sets how many seeds.
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

// Members that hear of nodes and of each other's places with delays of up to kMaxDelayMs; nodes that start
// anew, vanish, come back, leave and change; members that are cut off. One of them may have a fault.
enum class Fault { kNone, kNoHysteresis, kNoGrace, kIgnoresCutOff, kOwnMeasure, kAgesStandStill };
constexpr std::int64_t kMaxDelayMs = 1000, kTickMs = 100, kChangesEndMs = 60'000;

std::string Play(std::uint64_t seed, Fault fault) {
  std::mt19937_64 random(seed);
  const auto draw = [&](std::uint64_t below) { return static_cast<std::int64_t>(random() % below); };
  constexpr int kMembers = 5, kNodes = 16;
  struct Truth {
    bool there = true;
    std::int64_t born = -100'000, since = -100'000;  // missing or there and active since
    std::uint64_t capacity = 0;
    State state = State::kActive;
    bool retained = false;  // missing, and its place was surely whole by then
  };
  std::vector<std::vector<Truth>> past;  // by turn
  std::vector<Truth> truth(kNodes);
  for (auto& node : truth) node.capacity = 1000u << draw(4);
  RingConfig config;
  config.missing_grace = Duration{15'000};
  config.slow_start_time = Duration{8'000};
  std::vector<RingBuilder> builders;
  for (int m = 0; m < kMembers; ++m) {
    RingConfig own = config;
    if (m == 0 && fault == Fault::kNoHysteresis) own.hysteresis = 0;
    if (m == 0 && fault == Fault::kNoGrace) own.missing_grace = Duration{0};
    builders.emplace_back(own, At(0));
  }
  struct Message {
    std::int64_t due;
    int to;
    std::vector<NodeRecord> records;
  };
  std::vector<Message> messages;
  std::vector<std::vector<std::int64_t>> seen(kMembers, std::vector<std::int64_t>(kNodes, 0));
  std::vector<std::uint64_t> sent(kMembers, 0), numbers(kMembers, 0);
  std::vector<std::int64_t> cut(kMembers, -1), last_sent_at(kMembers, 0);
  std::uint64_t changes = 1, quiet = 0;
  std::int64_t apart = -1;  // since when members that hear each other differ, with nothing new under way
  for (std::int64_t now = 0; now <= kChangesEndMs + 45'000; now += kTickMs) {
    if (now > 5000 && now < kChangesEndMs && draw(15) == 0) {
      Truth& node = truth[draw(kNodes)];
      const auto what = draw(6);
      ++changes;
      if (what <= 1 && node.there) {
        node = {false,         node.born,  now,
                node.capacity, node.state, node.state == State::kActive && now - node.since > 15'000};
      } else if (what <= 3) {
        if (!node.there || node.state != State::kActive || what == 2) node.since = now;
        node.there = true, node.state = State::kActive;
      } else if (what == 4) {
        node.capacity = 1000u << draw(4);
      } else if (node.there) {
        node.state = State::kDraining;
      }
      if (what == 2) node.born = now;
    }
    past.push_back(truth);
    for (int m = 0; m < kMembers; ++m) {
      if (now > 5000 && now < kChangesEndMs - 10'000 && cut[m] < now && draw(1500) == 0)
        cut[m] = now + draw(25'000);
      const bool off = cut[m] >= now;
      std::vector<NodeUpdate> nodes;
      for (int n = 0; n < kNodes && !off; ++n) {
        auto& at = seen[m][n];
        at = std::max(
            at, now - static_cast<std::int64_t>(Mix(seed * 4096 + m * 64 + n) % (kMaxDelayMs / kTickMs)) *
                          kTickMs);
        const Truth& node = past[at / kTickMs][n];
        if (!node.there) continue;
        const bool own = m == 0 && fault == Fault::kOwnMeasure;
        nodes.push_back(
            UpdateOf("n" + std::to_string(n), Duration{now - node.born},
                     node.capacity * (own ? 1300 : 960 + Mix(seed + n + now / 3000 * 64) % 81) / 1000));
        nodes.back().state = node.state;
        if (m == 0 && fault == Fault::kAgesStandStill)
          nodes.back().age = Duration{std::max<std::int64_t>(at - node.born, 0) / 4};
      }
      for (auto& message : messages) {
        if (message.to != m || message.due > now || off) continue;
        builders[m].Merge(message.records, At(now));
        message.due = -1;
      }
      builders[m].Update(nodes, off && !(m == 0 && fault == Fault::kIgnoresCutOff), At(now));
      if (builders[m].generation() < numbers[m]) return "a number fell";
      numbers[m] = builders[m].generation();
      // Whole places now and then, as they do that compare what they hold; at once when something changed.
      if (!off && (sent[m] != builders[m].generation() || now - last_sent_at[m] >= 2000)) {
        sent[m] = builders[m].generation();
        last_sent_at[m] = now;
        for (int to = 0; to < kMembers; ++to)
          messages.push_back({now + draw(kMaxDelayMs), to, builders[m].records()});
      }
    }
    std::erase_if(messages, [&](const Message& message) {
      return message.due < 0 || message.due + 2 * kMaxDelayMs < now;
    });
    for (int m = 0; m < kMembers; ++m) {
      if (cut[m] + 4 * kMaxDelayMs >= now) continue;
      for (int n = 0; n < kNodes; ++n) {
        const auto node = builders[m].ring()->Find("n" + std::to_string(n));
        const bool serves = node && builders[m].ring()->weight(*node) > 0;
        const Truth& is = truth[n];
        if (!node && is.there && is.state == State::kActive && now - is.since > 15'000 && now > 15'000) {
          return "a node has no place";
        }
        if (serves && !is.there && now - is.since > kMaxDelayMs + kTickMs) return "a missing node serves";
        // Members that were cut off count a node's absence from when they hear again.
        if (!node && !is.there && is.retained && now - is.since < 13'000) {
          return "a place was given up within its grace";
        }
      }
    }
    // What is due is made by then, and nothing else comes: all agree, but for 2S + T after the last
    // generation.
    std::set<std::uint64_t> hashes;
    std::uint64_t highest = 0;
    for (int m = 0; m < kMembers; ++m) {
      highest = std::max(highest, numbers[m]);
      if (cut[m] + 4 * kMaxDelayMs < now) hashes.insert(builders[m].ring()->hash());
    }
    if (now <= kChangesEndMs + 30'000) quiet = highest;
    if (highest > quiet) return "a generation without a reason";
    if (hashes.size() <= 1 || now < kChangesEndMs + 5000)
      apart = -1;
    else if (apart < 0)
      apart = now;
    if (apart >= 0 && now - apart > 2 * kMaxDelayMs + kTickMs) return "members differ for longer than 2S + T";
  }
  // A new process makes four at most (down, three steps up), some changes make none, and many are made
  // together.
  if (numbers[0] > changes + 8) return "more generations than changes";
  return "";
}

int Count(int otherwise) {
  const char* said = std::getenv("HISTORIES");
  return said ? std::atoi(said) : otherwise;
}

TEST(Histories, KeepTheRules) {
  for (int seed = 0; seed < Count(60); ++seed) ASSERT_EQ(Play(seed, Fault::kNone), "") << seed;
}

TEST(Histories, FindInjectedFaults) {
  for (const Fault fault : {Fault::kNoHysteresis, Fault::kNoGrace, Fault::kIgnoresCutOff, Fault::kOwnMeasure,
                            Fault::kAgesStandStill}) {
    std::map<std::string, int> found;
    for (int seed = 0; seed < 20; ++seed) ++found[Play(seed, fault)];
    EXPECT_LT(found[""], 20) << static_cast<int>(fault);
  }
}

}  // namespace
}  // namespace mothrack::hash_ring
