// Nodes and updates for the tests of the package.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "hash_ring/ring.h"
#include "hash_ring/ring_builder.h"

namespace mothrack::hash_ring {

using State = NodeUpdate::State;

inline TimePoint At(std::int64_t ms) { return TimePoint(std::chrono::milliseconds(ms)); }

// Nodes number `from` to `from` + `count` - 1. Their capacities are 1, 1.5, 2 and 4 units in turn.
inline std::vector<Node> Nodes(int count, int from = 0) {
  std::vector<Node> nodes;
  for (int i = from; i < from + count; ++i) {
    nodes.push_back({"node-" + std::to_string(i), LevelOf(std::array{1000, 1500, 2000, 4000}[i % 4])});
  }
  return nodes;
}

// The update of an active node: by default of one whose slow start has ended, with a capacity of one unit.
inline NodeUpdate UpdateOf(const std::string& uid, Duration age = Duration{100'000},
                           std::uint64_t measured_capacity = 1000) {
  return {uid, State::kActive, 1000, measured_capacity, age};
}

}  // namespace mothrack::hash_ring
