// The simulated fleet that runs the histories of fleet_history.h. Its parts: the run and its faults
// (fleet_model.cpp), machines and agents (fleet_model_agents.cpp), operators' tools
// (fleet_model_tools.cpp), and the rules that it checks (fleet_model_rules.cpp).
#pragma once

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "agent/agent.h"
#include "agent/store.h"
#include "rollout/change.h"
#include "rollout/claim.h"
#include "rollout/fleet_history.h"
#include "rollout/instance.h"
#include "rollout/lease.h"
#include "rollout/plan.h"

namespace mothrack::rollout::testing {

using std::chrono::milliseconds;

inline constexpr int kAgents = 4;     // two in each of two halls
inline constexpr int kInstances = 2;  // per agent
inline constexpr Duration kLeaseDuration{6000};
inline constexpr Duration kFaultPeriod{60'000};        // faults are injected until then
inline constexpr Duration kRecoveryDeadline{240'000};  // the last operator must have finished by then

inline InstanceLimits TestLimits() {
  InstanceLimits limits;
  limits.stop_timeout = milliseconds(1500);
  limits.ready_timeout = milliseconds(2500);
  limits.max_backoff = milliseconds(2000);
  limits.crash_window = milliseconds(20'000);
  return limits;
}

inline Policy PolicyOf(bool roll_back) {
  Policy policy;
  policy.max_unavailable = 2;
  policy.on_failure = roll_back ? OnFailure::kRollBack : OnFailure::kHold;
  policy.step_timeout = milliseconds(9000);
  policy.watch_interval = milliseconds(500);
  policy.unreachable_timeout = milliseconds(2000);
  return policy;
}

// An instance's process. It survives a crash of its agent.
struct Process {
  std::string token;  // identifies the step that the process was started for; empty if for none
  std::string generation;
  TimePoint ready_at;
  std::optional<TimePoint> exits_at;  // std::nullopt: keeps running
  bool draining = false;
  bool ignores_stop = false;  // continues after a planned stop, so that the agent has to kill it
  int planned_stops = 0;
};

// Thrown through the agent's code to crash it at that point.
struct AgentCrashed {};

// A machine with its disk and processes, which outlive the agent on it.
struct Host {
  std::string name;
  std::string hall;
  bool up = true;
  TimePoint restart_at;
  bool disk_full = false;
  agent::StoredState disk;
  std::map<std::string, Process> processes;
  bool unreachable = false;
  // The running agent and its fakes.
  std::unique_ptr<agent::Store> store;
  std::unique_ptr<agent::Machine> machine;
  std::unique_ptr<agent::Agent> agent;
};

// An operator's tool.
struct Tool {
  std::string who;
  std::uint64_t incarnation = 0;  // incremented by a crash; answers to an earlier one are dropped
  bool up = true;
  TimePoint next_action_at;  // when it restarts or begins a change
  std::unique_ptr<Claim> claim;
  std::unique_ptr<Change> change;
  Plan plan;
  Change::Direction direction = Change::Direction::kForward;
  Epoch epoch = 0;
  int claims = 0;             // makes the id of each claim unique
  int held_after_faults = 0;  // number of its changes that were held after the faults had stopped
};

class FleetModel {
 public:
  explicit FleetModel(std::uint64_t seed, const Script* script = nullptr);
  History Run();

 private:
  friend class FakeStore;
  friend class FakeMachine;

  int UniformUpTo(int maximum) { return std::uniform_int_distribution<int>(0, maximum)(random_); }
  bool Chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
  }
  void ReportViolation(const std::string& what);
  std::string Describe() const;

  // ---- Faults ----

  void InjectFaults();
  void CrashTool(Tool& tool);
  // Ends all faults: the agents restart, and one operator finishes what is left.
  void StopFaults();
  void CrashAgent(Host& host);
  void StartAgent(Host& host);
  // A point at which the seed or the script may crash the agent: just before or just after (`after`) each of
  // its durable writes and actions.
  void CrashPoint(bool after);
  // Saves the agent's data with `write`; fails if the disk is full.
  std::optional<agent::StoreError> Save(Host& host, const std::function<void()>& write);
  // Calls the agent. Returns std::nullopt if the agent crashed during the call.
  template <typename Function>
  auto Call(Host& host, Function call) -> std::optional<decltype(call(*host.agent))> {
    try {
      return call(*host.agent);
    } catch (const AgentCrashed&) {
      saving_ = false;
      CrashAgent(host);
      return std::nullopt;
    }
  }

  // ---- Messages ----

  // Calls `on_delivery` after a delay, unless the message is lost. `late_probability`: the probability of a
  // long delay.
  void Send(const Host& host, std::function<void()> on_delivery, double late_probability = 0.02);
  void Deliver();
  // Calls `serve` at the agent, and then `on_answer` with its result at the tool, unless the tool has crashed
  // in the meantime.
  template <typename Serve, typename OnAnswer>
  void SendRequest(Tool& tool, const std::string& name, Serve serve, OnAnswer on_answer,
                   double late_probability = 0.02) {
    Host& host = HostNamed(name);
    if (script_ != nullptr && tool.who == tools_.front().who &&
        history_.commands++ == script_->tool_crashes_at) {
      tool_crash_due_ = true;
    }
    const auto on_delivery = [this, &tool, &host, incarnation = tool.incarnation, serve, on_answer] {
      if (!host.up) return;
      const auto answer = Call(host, serve);
      if (!answer) return;
      Send(host, [&tool, incarnation, on_answer, answer] {
        if (tool.up && tool.incarnation == incarnation) on_answer(*answer);
      });
    };
    Send(host, on_delivery, late_probability);
  }

  // ---- Agents ----

  Host& HostNamed(const std::string& name);
  void Supervise(Host& host);
  ProcessState Inspect(const Host& host, const std::string& name) const;
  void Execute(Host& host, const std::string& name, const Action& action);
  // Counts requests that were refused because of their epoch, and checks that no command of a holder is
  // accepted after one of a later holder.
  agent::Agent::Answer CheckFencing(agent::Agent::Answer answer, Epoch epoch, bool command);

  // ---- Tools ----

  static std::string ClaimIdOf(const Tool& tool);
  void AdvanceTool(Tool& tool);
  std::vector<Target> AllTargets() const;
  // Claims the lease for a new change, or to resume or undo an open one.
  void BeginChange(Tool& tool);
  void AdvanceClaim(Tool& tool);
  void Release(Tool& tool, const std::string& name, Epoch epoch, bool close);
  void AdvanceChange(Tool& tool);
  void OnChangeEnd(Tool& tool, ChangeEnd end);

  // ---- Rules ----

  const InstanceRecord& RecordOf(const InstanceName& name) const;
  // Checks the reported end of a change against the record of every instance.
  void CheckEnd(const Plan& plan, ChangeEnd end);
  // Checks that the instances that are down because of a change are in one hall, and are no more than the
  // policy allows.
  void CheckUnavailableInstances();
  // Whether every instance is in a final state: no step is in progress. Also checks that each process runs
  // with the generation of its record.
  bool IsSettled();

  std::mt19937_64 random_;
  TimePoint now_;
  bool faults_stopped_ = false;
  bool finished_ = false;
  std::vector<Host> hosts_;
  const Script* script_ = nullptr;  // null: faults are drawn from the seed
  bool saving_ = false;
  bool tool_crash_due_ = false;
  std::set<std::string> started_tokens_;  // by instance and token
  std::vector<Tool> tools_;
  std::multimap<TimePoint, std::function<void()>> messages_;
  std::set<std::string> faulty_hosts_;  // processes of a new generation fail there
  bool exits_at_once_ = false;          // they exit soon after their start; otherwise they never become ready
  double fault_rate_ = 1;               // factor on the probability of each fault
  std::set<std::string> ended_;
  Epoch highest_accepted_epoch_ = 0;
  std::set<std::pair<std::string, InstanceName>> accepted_steps_;  // steps, not undos
  std::string last_message_;
  History history_;
};

}  // namespace mothrack::rollout::testing
