// Manages the processes of a machine's instances: starts them with a configuration generation, adopts those
// that still run when the agent is restarted, polls their admin API, stops them, and bounds their logs. Agent
// (agent.h) decides what to do with a process; this class carries it out.
//
// Each instance has a directory:
//   lock          locked by the process until it exits, so that no second one is started
//   process.json  pid, start time as the kernel has it, token and generation; written by the process itself,
//                 under the lock and before it executes the sidecar
//   log, log.1    its standard output and error
//   files/NAME/   the files of generation NAME as rendered for this instance
// generations/NAME/ has the files of generation NAME as they were stored (generation_store.h). In an
// instance's files, command and environment, {instance}, {directory} (the instance's directory) and
// {generation} (the directory with the rendered files) are replaced.
//
// Called from the event loop only; starting a process and checking a generation block it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "admin_client/admin_client.h"
#include "agent/agent.h"
#include "agent/generation_store.h"
#include "runtime/log.h"

namespace mothrack::agent {

// An instance as the agent file defines it.
struct InstanceSpec {
  std::string name;
  std::vector<std::string> command;                // the program's absolute path first
  std::map<std::string, std::string> environment;  // nothing is inherited
  std::string admin_address;                       // of the sidecar's admin API; key `door` of the agent file
  std::string generation;                          // the generation to begin with
};

class ProcessSupervisor : public Machine {
 public:
  // Durations are in milliseconds.
  struct Limits {
    rollout::Duration check_timeout{5000};  // for the command that checks a generation
    // A longer log is copied to log.1, which it replaces, and truncated.
    std::uint64_t max_log_bytes = std::uint64_t{8} * 1024 * 1024;
    rollout::Duration poll_timeout{1000};
    rollout::Duration poll_interval_settled{1000};
    // While a change of state is awaited. The sidecar's admin API answers at most 20 requests per second.
    rollout::Duration poll_interval_awaited{60};
    // While a change of state is awaited and the admin API can't be reached, for example because the sidecar
    // is still starting.
    rollout::Duration poll_interval_unreachable{20};
  };

  // Adopts the processes that run. Throws std::runtime_error if the directory can't be used.
  // `check`: a command that exits with 0 if a generation's files are valid for an instance; empty: no check.
  ProcessSupervisor(boost::asio::io_context& io, std::string directory,
                    const std::vector<InstanceSpec>& specs, std::vector<std::string> check,
                    const Limits& limits, runtime::Logger& log);
  // Leaves the processes running.
  ~ProcessSupervisor() override;
  ProcessSupervisor(const ProcessSupervisor&) = delete;
  ProcessSupervisor& operator=(const ProcessSupervisor&) = delete;

  // Sets a function that is called from the event loop when a process has exited or has become ready or
  // unready. The caller then calls Poll() and Agent::ReconcileInstances(), which it otherwise calls at each
  // tick.
  void OnStateChange(std::function<void()> on_state_change) { on_state_change_ = std::move(on_state_change); }

  // Collects processes that have exited, polls admin APIs that are due, and bounds logs. Call it before
  // Agent::ReconcileInstances().
  void Poll(rollout::TimePoint now);

  rollout::ProcessState Inspect(const std::string& instance) override;
  void Execute(const std::string& instance, const rollout::Action& action) override;
  RequestCounts RequestsOf(const std::string& instance) override;
  bool HasGeneration(const std::string& generation) const override { return generations_.Has(generation); }

  GenerationStore& generations() { return generations_; }
  // Returns the last `bytes` bytes of an instance's log.
  std::string LogTail(const std::string& instance, std::size_t bytes) const;
  // The pid of an instance's process; 0 if none runs or none is known yet.
  int pid(const std::string& instance) const;
  // Returns whether a change of state of any process is awaited.
  bool awaits_state_change() const;

 private:
  struct ManagedInstance;
  using ManagedPointer = std::shared_ptr<ManagedInstance>;

  ManagedInstance& Get(const std::string& instance) const { return *instances_.at(instance); }
  void FindProcess(ManagedInstance& instance) const;
  void CollectExit(ManagedInstance& instance) const;
  void WatchExit(const ManagedPointer& instance);
  void PollAdminApi(const ManagedPointer& instance, rollout::TimePoint now);
  void OnAdminResponse(ManagedInstance& instance, int pid, const admin_client::Response& response);
  void NotifyStateChange() const;
  void Start(ManagedInstance& instance, const rollout::Action& action);
  void BoundLog(const ManagedInstance& instance) const;
  // Runs the operator's check, see GenerationStore::Check.
  std::optional<CheckError> CheckGeneration(const std::string& generation,
                                            const std::string& directory) const;

  boost::asio::io_context& io_;
  const std::string directory_;
  const std::vector<std::string> check_;
  const Limits limits_;
  runtime::Logger& log_;
  GenerationStore generations_;
  std::map<std::string, ManagedPointer> instances_;
  std::function<void()> on_state_change_;
};

}  // namespace mothrack::agent
