// The files that an operator writes for agents and tools (TOML): the fleet file of one machine, and the list
// of agents that a tool calls. Each fault names file, line or key, and the mend; nothing of a file with one
// counts.
#pragma once

#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "agent/process_supervisor.h"
#include "rollout/instance.h"
#ifdef MOTHRACK_WITH_PEERS
#include "gossip/settings.h"
#endif

namespace mothrack::agent {

class FileError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

enum class Role { kViewer, kOperator };

struct AgentFile {
  std::string name;
  std::string hall;
  std::string listen;                  // "unix:/path" or a loopback address
  std::string directory;               // of its state
  std::map<std::string, Role> tokens;  // of an address; by the token
  rollout::Duration lease_time{10'000};
  rollout::InstanceLimits limits;
  ProcessSupervisor::Limits process_limits;
  std::vector<std::string> check;  // a command that says whether a generation's files are good
  std::map<std::string, std::string>
      generations;  // that it begins with: name, and a directory with the files
  std::vector<InstanceSpec> instances;
#ifdef MOTHRACK_WITH_PEERS
  std::optional<gossip::Settings> peers;
#endif
};

AgentFile LoadAgentFile(const std::string& path);

// Of one agent, as a tool calls it.
struct AgentPlace {
  std::string name;
  std::string hall;
  std::string place;
  std::string token;  // empty: none is given
};

std::vector<AgentPlace> LoadAgentsFile(const std::string& path);

}  // namespace mothrack::agent
