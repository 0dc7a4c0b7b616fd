// The list of agents (TOML) that a tool calls: deploy/agents.toml. A file with a fault is rejected
// completely.
#pragma once

#include <string>
#include <vector>

#include "agent/file_error.h"

namespace mothrack::agent {

// One agent, as a tool reaches it.
struct AgentEndpoint {
  std::string name;
  std::string hall;     // the data hall that its machine stands in
  std::string address;  // "unix:/path" or a loopback address with its port; key `place`
  std::string token;    // a bearer token; empty: none is sent
};

// At most 256 agents, each name once. Throws FileError.
std::vector<AgentEndpoint> LoadAgentsFile(const std::string& path);

}  // namespace mothrack::agent
