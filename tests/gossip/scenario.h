// A simulated network of cores, with the values that each published and the deaths that were declared.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "gossip/simulated_network.h"
#include "gossip/single_node.h"

namespace mothrack::gossip {

using testing::SimulatedNetwork;

struct Scenario : SimulatedNetwork {
  explicit Scenario(std::size_t count, std::uint64_t seed = 1, ProtocolConfig config = {})
      : SimulatedNetwork(seed, config) {
    Add(count);
    on_change = [this](std::size_t, const Change& change) {
      if (change.kind == Change::Kind::kMember && change.member.state == MemberState::kDead)
        ++deaths[change.member.boot_id.name];
    };
    StartAll();
  }
  // What keeps all that are up from holding the same: all of them live, and each one's latest word.
  std::string Disagreement() {
    std::set<std::string> up;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      if (Up(i)) up.insert(nodes[i].name);
    }
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      if (!Up(i)) continue;
      std::set<std::string> live{nodes[i].name};
      for (const auto& view : nodes[i].core->members()) {
        if (view.update.state <= MemberState::kSuspect) live.insert(view.update.boot_id.name);
      }
      if (live != up)
        return nodes[i].name + " believes in " + std::to_string(live.size()) + " of " +
               std::to_string(up.size());
      std::map<std::string, std::string> held_values;
      for (const auto& view : nodes[i].core->Values("k", LocalNow(i)))
        held_values[view.value->owner.name] = view.value->bytes;
      for (const auto& [name, value] : published) {
        if (held_values[name] != value)
          return nodes[i].name + " holds of " + name + " '" + held_values[name] + "', not " + value;
      }
      if (held_values.size() != published.size()) return nodes[i].name + " holds values that nobody put";
    }
    return violation;
  }
  void PutValue(std::size_t i, const std::string& bytes, int ttl = 600'000) {
    if (!Up(i)) return;
    Put(i, "k", bytes, ttl);
    published[nodes[i].name] = bytes;
  }
  // Until nothing differs; how long that took.
  std::int64_t RunUntilAgreed(std::int64_t most) {
    const std::int64_t from = now;
    while (now < from + most && !Disagreement().empty()) Run(500);
    return now - from;
  }
  std::map<std::string, int> deaths;
  std::map<std::string, std::string> published;
};

}  // namespace mothrack::gossip
