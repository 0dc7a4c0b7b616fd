// A simulated network of cores that records the values that each node published and the deaths that were
// declared.
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
  // Returns the first difference between the state of a running node and the expected one, in which exactly
  // the running nodes are live and each has its latest published value. Otherwise returns the first
  // violation; empty if there is none.
  std::string FindDisagreement() {
    std::set<std::string> running;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      if (IsRunning(i)) running.insert(nodes[i].name);
    }
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      if (!IsRunning(i)) continue;
      std::set<std::string> live{nodes[i].name};
      for (const auto& view : nodes[i].core->members()) {
        if (view.update.state <= MemberState::kSuspect) live.insert(view.update.boot_id.name);
      }
      if (live != running)
        return nodes[i].name + " considers " + std::to_string(live.size()) + " members live instead of " +
               std::to_string(running.size());
      std::map<std::string, std::string> values;
      for (const auto& view : nodes[i].core->Values("k", LocalNow(i)))
        values[view.value->owner.name] = view.value->bytes;
      for (const auto& [name, value] : published) {
        if (values[name] != value)
          return nodes[i].name + " has for " + name + " the value '" + values[name] + "' instead of " + value;
      }
      if (values.size() != published.size()) return nodes[i].name + " has values that were not published";
    }
    return violation;
  }
  void PutValue(std::size_t i, const std::string& bytes, int ttl = 600'000) {
    if (!IsRunning(i)) return;
    Put(i, "k", bytes, ttl);
    published[nodes[i].name] = bytes;
  }
  // Runs until FindDisagreement() returns nothing, for at most `max_ms`. Returns the time that it took.
  std::int64_t RunUntilAgreed(std::int64_t max_ms) {
    const std::int64_t from = now;
    while (now < from + max_ms && !FindDisagreement().empty()) Run(500);
    return now - from;
  }
  std::map<std::string, int> deaths;             // number of nodes that declared it dead, by name
  std::map<std::string, std::string> published;  // latest value of each node, by name
};

}  // namespace mothrack::gossip
