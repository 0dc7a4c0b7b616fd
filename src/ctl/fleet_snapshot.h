// The state of all agents at one moment, as GET /v1/agent reports it. Reads JSON leniently: an agent of
// another version may have members that are missing here.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>

#include "ctl/driver.h"
#include "rollout/types.h"

namespace mothrack::ctl {

// The state of all agents in the list.
struct FleetSnapshot {
  std::map<std::string, nlohmann::json> agents;  // those that answered, by name
  std::map<std::string, std::string> faults;     // why the others could not be read, by name

  std::set<std::string> Unreachable() const;
  // The shortest of the agents' lease durations, 10 s at most.
  rollout::Duration ShortestLease() const;
  // Returns the first agent by name that has an open change; nullopt if there is none.
  std::optional<std::string> AgentWithOpenChange() const;
  // Returns a member of the change that is open at an agent: `key` is "change", "who" or "why".
  std::string OpenChange(const std::string& agent, const char* key) const;
};

// Polls all agents at once and waits for their answers.
FleetSnapshot TakeSnapshot(Driver& driver);

// Returns the state of an instance in a word or two, for status and explain.
std::string StateOf(const nlohmann::json& instance);

}  // namespace mothrack::ctl
