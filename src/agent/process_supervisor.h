// The processes of a machine's instances: started with a configuration generation, found again after the
// agent's own death, polled over their admin API, stopped, their logs bounded. What to do with a process is
// decided by agent.h; this carries it out.
//
// One directory an instance:
//   lock          locked by the process for as long as it lives; nobody starts a second one beside it
//   process.json  pid, its start time by the kernel, token and generation; written by the process itself,
//                 under the lock and before it becomes the sidecar
//   log, log.1    its standard output and error
//   files/NAME/   a generation's files as this instance gets them
// And generations/NAME/ for each generation (generation_store.h). In an instance's files, command and
// environment {instance}, {directory} (the instance's) and {generation} (a directory with the files) are
// replaced.
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

// An instance as the agent's file has it.
struct InstanceSpec {
  std::string name;
  std::vector<std::string> command;                // the program's absolute path first
  std::map<std::string, std::string> environment;  // all that it gets
  std::string admin_address;                       // of the sidecar's admin API; key `door`
  std::string generation;                          // that it begins with
};

class ProcessSupervisor : public Machine {
 public:
  // Durations are in milliseconds.
  struct Limits {
    rollout::Duration check_timeout{5000};  // for the command that checks a generation
    // A longer log is moved aside, over the one that was moved before. Bytes.
    std::uint64_t max_log_bytes = std::uint64_t{8} * 1024 * 1024;
    rollout::Duration poll_timeout{1000};
    rollout::Duration poll_interval_settled{1000};
    // While a change of state is awaited; the admin API answers 20 times a second.
    rollout::Duration poll_interval_awaited{60};
    // While a change is awaited and the admin API can't be reached, as in a sidecar that starts.
    rollout::Duration poll_interval_unreachable{20};
  };

  // Adopts the processes that run. Throws std::runtime_error where the directory can't be used.
  // `check`: a command that ends with 0 where a generation's files are good for an instance; empty: any are.
  ProcessSupervisor(boost::asio::io_context& io, std::string directory,
                    const std::vector<InstanceSpec>& specs, std::vector<std::string> check,
                    const Limits& limits, runtime::Logger& log);
  // The processes go on running.
  ~ProcessSupervisor() override;
  ProcessSupervisor(const ProcessSupervisor&) = delete;
  ProcessSupervisor& operator=(const ProcessSupervisor&) = delete;

  // Called from the event loop when a process has ended or became ready or unready: Poll() and
  // Agent::ReconcileInstances() are due. Between such calls a tick is enough.
  void OnStateChange(std::function<void()> on_state_change) { on_state_change_ = std::move(on_state_change); }

  // Collects what has ended, polls admin APIs that are due, bounds logs. Call it before
  // Agent::ReconcileInstances().
  void Poll(rollout::TimePoint now);

  rollout::ProcessState Inspect(const std::string& instance) override;
  void Execute(const std::string& instance, const rollout::Action& action) override;
  RequestCounts RequestsOf(const std::string& instance) override;
  bool HasGeneration(const std::string& generation) const override { return generations_.Has(generation); }

  GenerationStore& generations() { return generations_; }
  // The last `bytes` of an instance's log.
  std::string LogTail(const std::string& instance, std::size_t bytes) const;
  // 0: none runs, or none is known yet.
  int pid(const std::string& instance) const;
  // Is a change of state of any process awaited?
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
