#include "ctl/fleet_snapshot.h"

#include <algorithm>

namespace mothrack::ctl {
namespace {

using nlohmann::json;

constexpr std::int64_t kDefaultLeaseMs = 10'000;

}  // namespace

std::set<std::string> FleetSnapshot::Unreachable() const {
  std::set<std::string> names;
  for (const auto& [name, fault] : faults) names.insert(name);
  return names;
}

rollout::Duration FleetSnapshot::ShortestLease() const {
  std::int64_t shortest = kDefaultLeaseMs;
  for (const auto& [name, agent] : agents) shortest = std::min(shortest, agent.value("lease_ms", shortest));
  return rollout::Duration(shortest);
}

std::optional<std::string> FleetSnapshot::AgentWithOpenChange() const {
  for (const auto& [name, agent] : agents) {
    if (agent.contains("open")) return name;
  }
  return std::nullopt;
}

std::string FleetSnapshot::OpenChange(const std::string& agent, const char* key) const {
  return agents.at(agent)["open"].value(key, "");
}

FleetSnapshot TakeSnapshot(Driver& driver) {
  FleetSnapshot snapshot;
  for (auto& [name, reply] : driver.RequestAll("GET", "/v1/agent", {})) {
    if (reply.ok() && reply.body.is_object() && reply.body.contains("instances")) {
      snapshot.agents[name] = reply.body;
    } else {
      snapshot.faults[name] = reply.ErrorText();
    }
  }
  return snapshot;
}

std::string StateOf(const json& instance) {
  if (instance.value("held", false)) return "held";
  const bool running = instance.value("running", false);
  if (instance.value("phase", "") == "accepted") return running ? "changing" : "starting";
  if (!running) return instance.value("wanted", true) ? "down" : "stopped";
  if (!instance.value("ready", false)) return "not ready";
  const bool as_configured = instance.value("generation", "") == instance.value("configured", "");
  return as_configured ? "ready" : "other generation";
}

}  // namespace mothrack::ctl
