// A fleet on this machine as a test runs it: agents, each with its own directory, the sidecar processes that
// they run, and the control tool mothrackctl. The destructor kills all processes by their pids.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "nlohmann/json.hpp"
#include "support/temporary_directory.h"

namespace mothrack::testing {

struct CtlResult {
  int code = -1;
  std::string out;  // standard output and standard error
};

class Fleet {
 public:
  struct Options {
    int agents = 2;  // the first half is in one hall, the rest in another
    int instances = 2;
    std::string limits;  // further lines of the section [limits] of the agents' files
    // The command of the first agent's first instance, a TOML list; empty: as for all instances.
    std::string first_command;
    bool tokens = false;         // agents listen on TCP and require tokens, instead of on Unix sockets
    bool ports = false;          // each sidecar listens on a port of its own, the same after a restart
    nlohmann::json upstreams{};  // the endpoint list known to all sidecars; null: none
    // The command of all instances, a TOML list; empty: the sidecar.
    std::string command{};
  };
  explicit Fleet(const Options& options);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // `file_bytes`: the largest file that the agent may write; a write beyond it raises SIGXFSZ.
  void StartAgent(int agent, std::optional<std::uint64_t> file_bytes = std::nullopt);
  void KillAgent(int agent);
  // Runs the tool and waits for it to exit. `agents`: the file with the list of agents.
  CtlResult Ctl(const std::vector<std::string>& arguments, const std::string& agents = "agents.toml") const;
  // Starts the tool in the background and returns its pid.
  pid_t StartCtl(const std::vector<std::string>& arguments) const;
  static CtlResult WaitCtl(pid_t pid);

  // Whether all instances are ready and run this generation.
  bool AllReady(const std::string& generation) const;
  nlohmann::json Status() const;
  nlohmann::json Instance(int agent, int instance) const;
  int Pid(int agent, int instance) const { return Instance(agent, instance).value("pid", 0); }

  // Writes the files of a generation and returns their directory. The files contain the generation's name, so
  // that those of two generations differ. `fault`: the check rejects the generation.
  std::string WriteGeneration(const std::string& name, bool fault = false) const;
  std::string path(const std::string& name) const { return directory_.File(name); }
  // The ports on which the sidecars listen, in the order of agents.
  const std::vector<std::uint16_t>& ports() const { return ports_; }
  std::string DirectoryOf(int agent, int instance) const;
  std::string AgentLog(int agent) const;
  pid_t AgentPid(int agent) const { return agents_.at(agent); }
  // Runs a second process of the agent while the first one runs. Returns its exit code.
  int RunSecondAgent(int agent);

 private:
  pid_t Spawn(const std::vector<std::string>& command, const std::string& out,
              std::optional<std::uint64_t> file_bytes = std::nullopt) const;

  const Options options_;
  const TemporaryDirectory directory_{"fleet"};
  std::map<int, pid_t> agents_;
  std::vector<std::uint16_t> ports_;
  std::shared_ptr<void> reserved_ports_;  // keeps the ports reserved as long as it exists
};

}  // namespace mothrack::testing
