// The agent's file (TOML), as an operator writes it for one machine. A file with a fault is refused as a
// whole.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "agent/agent_list.h"
#include "agent/file_error.h"
#include "agent/process_supervisor.h"
#include "rollout/instance.h"
#ifdef MOTHRACK_WITH_PEERS
#include "gossip/settings.h"
#endif

namespace mothrack::agent {

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

// Throws FileError.
AgentFile LoadAgentFile(const std::string& path);

}  // namespace mothrack::agent
