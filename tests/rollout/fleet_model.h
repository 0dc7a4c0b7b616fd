// A fleet in one thread and in simulated time: see fleet_history.h. Its parts: the run and its faults
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
inline constexpr int kInstances = 2;  // on each
inline constexpr Duration kLeaseTime{6000};
inline constexpr Duration kFaultPeriod{60'000};  // faults come for so long
inline constexpr Duration kRecovery{240'000};    // and by then the last operator must be through

inline InstanceLimits Limits() {
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

// A process lives on when its agent dies.
struct Process {
  std::string token;
  std::string generation;
  TimePoint ready_at;
  std::optional<TimePoint> ends_at;
  bool draining = false;
  bool ignores_stop = false;  // the planned one
  int stops = 0;
};

// Thrown through the agent's own code: it dies there.
struct AgentDied {};

// A machine with its disk and processes, which outlive the agent on it.
struct Host {
  std::string name;
  std::string hall;
  bool up = true;
  TimePoint back_at;
  bool disk_full = false;
  agent::Stored disk;
  std::map<std::string, Process> processes;
  bool cut_off = false;
  // Of the agent that runs now.
  std::unique_ptr<agent::Store> store;
  std::unique_ptr<agent::Machine> machine;
  std::unique_ptr<agent::Agent> agent;
};

// An operator at a tool.
struct Tool {
  std::string who;
  std::uint64_t incarnation = 0;  // answers to a tool that died reach nobody
  bool up = true;
  TimePoint next;  // when it begins something
  std::unique_ptr<Claim> claim;
  std::unique_ptr<Change> change;
  Plan plan;
  Change::Direction direction = Change::Direction::kForward;
  Epoch epoch = 0;
  int claims = 0;  // in this incarnation: each has an id of its own
  int held_after_faults = 0;
};

class FleetModel {
 public:
  explicit FleetModel(std::uint64_t seed, const Script* script = nullptr);
  History Run();

 private:
  friend class FakeStore;
  friend class FakeMachine;

  int RandomUpTo(int most) { return std::uniform_int_distribution<int>(0, most)(random_); }
  bool Chance(double p) { return std::uniform_real_distribution<double>(0, 1)(random_) < p; }
  void Violation(const std::string& what);
  std::string Describe() const;

  // ---- Faults ----

  void InjectFaults();
  void KillTool(Tool& tool);
  // No further fault: the agents come back, and one operator sets about finishing what there is.
  void EndFaults();
  void KillAgent(Host& host);
  void StartAgent(Host& host);
  // The agent crashes here where the seed or the script wants it: at each of its durable steps and of its
  // actions, just before it, or just after it and before what follows from it.
  void CrashPoint(bool after);
  // A save of the agent: an error where its disk is full.
  std::optional<agent::StoreError> Save(Host& host, const std::function<void()>& write);
  // Calls the agent; nothing where it died of it.
  template <typename F>
  auto Call(Host& host, F call) -> std::optional<decltype(call(*host.agent))> {
    try {
      return call(*host.agent);
    } catch (const AgentDied&) {
      saving_ = false;
      KillAgent(host);
      return std::nullopt;
    }
  }

  // ---- Messages ----

  // `late`: how likely it is to come long after it was sent.
  void Send(const Host& host, std::function<void()> arrive, double late = 0.02);
  void Deliver();
  // Calls `serve` at the agent and, with what it gives, `on_answer` at the tool, if that still lives.
  template <typename Serve, typename OnAnswer>
  void SendRequest(Tool& tool, const std::string& name, Serve serve, OnAnswer on_answer, double late = 0.02) {
    Host& host = Of(name);
    if (script_ != nullptr && tool.who == tools_.front().who &&
        history_.commands++ == script_->tool_dies_at) {
      tool_dies_ = true;
    }
    const auto arrive = [this, &tool, &host, incarnation = tool.incarnation, serve, on_answer] {
      if (!host.up) return;
      const auto answer = Call(host, serve);
      if (!answer) return;
      Send(host, [&tool, incarnation, on_answer, answer] {
        if (tool.up && tool.incarnation == incarnation) on_answer(*answer);
      });
    };
    Send(host, arrive, late);
  }

  // ---- Agents ----

  Host& Of(const std::string& name);
  void Supervise(Host& host);
  ProcessState Inspect(const Host& host, const std::string& name) const;
  void Execute(Host& host, const std::string& name, const Action& action);
  // Counts what was refused by its epoch; checks that no holder's command comes behind a later one's.
  agent::Agent::Answer CheckFencing(agent::Agent::Answer answer, Epoch epoch, bool command);

  // ---- Tools ----

  static std::string NameOf(const Tool& tool);
  void AdvanceTool(Tool& tool);
  std::vector<Target> AllTargets() const;
  // A new change, or one that an earlier holder left: carried on or undone.
  void BeginChange(Tool& tool);
  void AdvanceClaim(Tool& tool);
  void Release(Tool& tool, const std::string& name, Epoch epoch, bool close);
  void AdvanceChange(Tool& tool);
  void OnChangeEnd(Tool& tool, ChangeEnd end);

  // ---- Rules ----

  const InstanceRecord& RecordOf(const InstanceName& name) const;
  // The end that a change reports is true of every instance, by what is on disk.
  void CheckEnd(const Plan& plan, ChangeEnd end);
  // Instances that are down for a change's sake: in one hall only, and no more than the policy allows.
  void CheckHalls();
  // Every instance is in a known state: no step is open, and what runs is what the record names.
  bool Settled();

  std::mt19937_64 random_;
  TimePoint now_;
  bool faults_over_ = false;
  bool finished_ = false;
  std::vector<Host> hosts_;
  const Script* script_ = nullptr;  // none: faults are drawn from the seed
  bool saving_ = false;
  bool tool_dies_ = false;
  std::set<std::string> started_;  // by instance and token
  std::vector<Tool> tools_;
  std::multimap<TimePoint, std::function<void()>> messages_;
  std::set<std::string> faulty_at_;
  bool exits_at_once_ = false;
  double fault_rate_ = 1;  // how often something fails
  std::set<std::string> ended_;
  Epoch highest_accepted_epoch_ = 0;
  std::set<std::pair<std::string, InstanceName>> accepted_steps_;  // steps, not undos
  std::string last_message_;
  History history_;
};

}  // namespace mothrack::rollout::testing
