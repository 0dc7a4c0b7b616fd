// What all agents said of themselves at one moment, as GET /v1/agent gives it.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>

#include "ctl/driver.h"
#include "rollout/types.h"

namespace mothrack::ctl {

struct FleetSnapshot {
  std::map<std::string, nlohmann::json> agents;  // those that answered, by name
  std::map<std::string, std::string> faults;     // why the others did not

  std::set<std::string> Unreachable() const;
  // The shortest of the agents' lease times.
  rollout::Duration ShortestLease() const;
  // The agent with an open change, the first by name; nothing: no agent has one.
  std::optional<std::string> AgentWithOpenChange() const;
  // Of the change that is open at an agent: `key` is "change", "who" or "why".
  std::string OpenChange(const std::string& agent, const char* key) const;
};

// Asks all agents.
FleetSnapshot TakeSnapshot(Driver& driver);

// One word or two for the state of an instance, as status and explain print it.
std::string StateOf(const nlohmann::json& instance);

}  // namespace mothrack::ctl
