// The agent's file (TOML), as an operator writes it for one machine: deploy/agent.toml. A file with a fault
// is rejected completely.
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

// What the bearer of a token may do: read only, or everything.
enum class Role { kViewer, kOperator };

// The file's values; the defaults are those of the keys.
struct AgentFile {
  std::string name;
  std::string hall;                    // the data hall that the machine stands in
  std::string listen;                  // "unix:/path" or a loopback address
  std::string directory;               // of its state
  std::map<std::string, Role> tokens;  // by the token; of a loopback address only
  rollout::Duration lease_time{10'000};
  rollout::InstanceLimits limits;
  ProcessSupervisor::Limits process_limits;
  // A command that ends with 0 where a generation's files are good; empty: none is run.
  std::vector<std::string> check;
  // Stored at the start: name to the directory with the files.
  std::map<std::string, std::string> generations;
  std::vector<InstanceSpec> instances;
#ifdef MOTHRACK_WITH_PEERS
  std::optional<gossip::Settings> peers;
#endif
};

// Reads and validates a file. Throws FileError.
AgentFile LoadAgentFile(const std::string& path);

}  // namespace mothrack::agent
