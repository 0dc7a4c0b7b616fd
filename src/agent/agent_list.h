// The list of agents (TOML) that mothrackctl calls. Example: deploy/agents.toml. A file with an error is
// rejected completely.
#pragma once

#include <string>
#include <vector>

#include "agent/file_error.h"

namespace mothrack::agent {

// How to reach one agent.
struct AgentEndpoint {
  std::string name;
  std::string hall;     // the data hall of its machine
  std::string address;  // "unix:/path" or a loopback address with its port; key `place`
  std::string token;    // a bearer token; empty: none is sent
};

// Reads a list of at most 256 agents with unique names. Throws FileError.
std::vector<AgentEndpoint> LoadAgentsFile(const std::string& path);

}  // namespace mothrack::agent
