// A fleet on this machine as a test runs it: agents over directories of their own, real sidecars under them,
// and the tool. Every process that was started is ended with its object, by its pid.
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
  std::string out;  // both streams
};

class Fleet {
 public:
  struct Options {
    int agents = 2;  // half of them in each of two halls
    int instances = 2;
    std::string limits;          // lines of [limits]
    std::string first_command;   // of the first agent's first instance, in place of the sidecar: a TOML list
    bool tokens = false;         // agents listen on addresses, with tokens
    bool ports = false;          // each sidecar listens on a port of its own, the same after a restart
    nlohmann::json upstreams{};  // that all sidecars know; null: none
    std::string command{};       // of all instances, in place of the sidecar: a TOML list
  };
  explicit Fleet(const Options& options);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // `file_bytes`: no file that it writes may be longer; the system signals SIGXFSZ at a write beyond.
  void StartAgent(int agent, std::optional<std::uint64_t> file_bytes = std::nullopt);
  void KillAgent(int agent);
  // Runs the tool to its end.
  CtlResult Ctl(const std::vector<std::string>& arguments, const std::string& agents = "agents.toml") const;
  // The same, going on beside; its pid.
  pid_t StartCtl(const std::vector<std::string>& arguments) const;
  static CtlResult WaitCtl(pid_t pid);

  // All instances ready, each with this generation.
  bool AllReady(const std::string& generation) const;
  nlohmann::json Status() const;
  nlohmann::json Instance(int agent, int instance) const;
  int Pid(int agent, int instance) const { return Instance(agent, instance).value("pid", 0); }

  // A generation's files, with a remark in them; `fault`: such that the check refuses it.
  std::string Generation(const std::string& remark, bool fault = false) const;
  std::string path(const std::string& name) const { return directory_.File(name); }
  // Where the sidecars listen, agent by agent.
  const std::vector<std::uint16_t>& ports() const { return ports_; }
  std::string DirectoryOf(int agent, int instance) const;
  std::string AgentLog(int agent) const;
  pid_t AgentPid(int agent) const { return agents_.at(agent); }
  int StartAgentAgain(int agent);  // beside the one that runs; its exit code

 private:
  pid_t Spawn(const std::vector<std::string>& command, const std::string& out,
              std::optional<std::uint64_t> file_bytes = std::nullopt) const;

  const Options options_;
  const TemporaryDirectory directory_{"fleet"};
  std::map<int, pid_t> agents_;
  std::vector<std::uint16_t> ports_;
  std::shared_ptr<void> reserved_ports_;  // as long as this lives
};

}  // namespace mothrack::testing
