// The list of agents (TOML) that a tool calls. A file with a fault is refused as a whole.
#pragma once

#include <string>
#include <vector>

#include "agent/file_error.h"

namespace mothrack::agent {

// One agent, as a tool calls it.
struct AgentPlace {
  std::string name;
  std::string hall;
  std::string place;
  std::string token;  // empty: none is given
};

// Throws FileError.
std::vector<AgentPlace> LoadAgentsFile(const std::string& path);

}  // namespace mothrack::agent
