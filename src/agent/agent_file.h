// The agent file (TOML), which an operator writes for one machine. Example: deploy/agent.toml. A file with an
// error is rejected completely.
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

// What a token permits: reading only, or everything.
enum class Role { kViewer, kOperator };

// The file's values; the defaults are those of the keys.
struct AgentFile {
  std::string name;
  std::string hall;                    // the data hall of the machine
  std::string listen;                  // "unix:/path" or a loopback address
  std::string directory;               // where the agent stores its state
  std::map<std::string, Role> tokens;  // key: the token; only for a loopback address
  rollout::Duration lease_time{10'000};
  rollout::InstanceLimits limits;
  ProcessSupervisor::Limits process_limits;
  // A command that checks a generation's files and exits with 0 if they are valid. Empty: no check.
  std::vector<std::string> check;
  // Generations to store at the start. Key: name; value: the directory with the files.
  std::map<std::string, std::string> generations;
  std::vector<InstanceSpec> instances;
#ifdef MOTHRACK_WITH_PEERS
  std::optional<gossip::Settings> peers;
#endif
};

// Reads and validates a file. Throws FileError.
AgentFile LoadAgentFile(const std::string& path);

}  // namespace mothrack::agent
