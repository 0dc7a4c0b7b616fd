// An agent's logic: the lease of one machine, its instances and their steps, without sockets, clocks and
// processes. It answers commands (src/agent/agent_api.h receives them over HTTP), supervises its instances,
// and acts through a Machine. It makes state durable before it reports it; a failed save has no effect.
//
// While the store fails, the agent continues to supervise by the records in memory and accepts no steps. Not
// thread-safe: called from the event loop only. docs/operators/rollouts.md is the operators' guide.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "agent/store.h"
#include "rollout/instance.h"
#include "rollout/lease.h"
#include "rollout/types.h"

namespace mothrack::agent {

// Numbers of requests of a process since its start.
struct RequestCounts {
  std::uint64_t total = 0;
  std::uint64_t failed = 0;  // rejected, failed, or answered after the deadline
};

// Interface to the processes of a machine, by which the agent inspects and controls them. `instance` is the
// name of one of the agent's instances.
class Machine {
 public:
  virtual ~Machine() = default;
  // Returns the present state of the instance's process.
  virtual rollout::ProcessState Inspect(const std::string& instance) = 0;
  // Carries out an action, at once or not at all. The next Inspect() shows the result.
  virtual void Execute(const std::string& instance, const rollout::Action& action) = 0;
  // The counts of the process that runs now.
  virtual RequestCounts RequestsOf(const std::string& instance) = 0;
  // Returns whether the configuration generation is stored here. A step to one that is not is refused.
  virtual bool HasGeneration(const std::string& generation) const = 0;
};

// Why a command that the lease would allow was refused.
enum class Refusal {
  kNone,                // the command was not refused
  kPlanOfOtherChange,   // the plan to open is of another change than the lease
  kUnknownInstance,     // this agent has no such instance
  kStepOfOtherChange,   // the step is of a change or an epoch that is not open here
  kBusy,                // the instance has an accepted step of another change that has not ended
  kGenerationMismatch,  // the instance's generation is not the one that the step starts from
  kUnknownGeneration,   // the step's generation is not stored here
  kSaveFailed           // the store could not save, so nothing has changed; Store::error() has the cause
};

class Agent {
 public:
  // The answer to a command.
  struct Answer {
    rollout::Lessor::Verdict verdict = rollout::Lessor::Verdict::kGranted;
    std::optional<rollout::Holder> holder;  // another holder of the lease or of the open change
    bool open = false;                      // the command's change is open here
    rollout::Epoch highest = 0;             // the highest epoch ever granted here
    Refusal refusal = Refusal::kNone;
    std::string refusal_text;               // the refusal's text for the operator; empty if there is none
    std::optional<rollout::Report> report;  // on the instance that a step was for

    void Refuse(Refusal why, std::string message) {
      refusal = why;
      refusal_text = std::move(message);
    }
  };

  // `stored`: the content of the store when it was opened. `instances`: the supervised instances, each with
  // the generation to begin with if the store has no record of it. `store` and `machine` must outlive the
  // agent.
  Agent(Store& store, Machine& machine, const StoredState& stored,
        const std::map<std::string, std::string>& instances, const rollout::InstanceLimits& limits,
        rollout::Duration lease_time, rollout::TimePoint now);

  // The commands. `now` is the steady clock's time, by which the lease expires. `unix_ms` is the wall
  // clock's, for the history. `epoch` and `claim_id` identify the lease under which a command is sent.

  // Answers with the highest epoch that was granted here and the holder of the lease.
  Answer ReadLease(rollout::TimePoint now) const;
  Answer Acquire(rollout::Epoch epoch, const rollout::Holder& holder, rollout::TimePoint now,
                 std::int64_t unix_ms);
  // Makes the plan durable and its change the open one.
  Answer Open(rollout::Epoch epoch, const rollout::Holder& holder, const rollout::Plan& plan,
              rollout::TimePoint now, std::int64_t unix_ms);
  Answer Renew(rollout::Epoch epoch, const std::string& claim_id, rollout::TimePoint now);
  // Releases the lease; with `close`, also closes the change. No effect if the lease has another epoch or
  // claim.
  Answer Release(rollout::Epoch epoch, const std::string& claim_id, bool close, std::int64_t unix_ms);
  // Renews the lease and makes the instance's step durable; ReconcileInstances() carries it out. Repeating
  // the same step has no further effect.
  Answer AcceptStep(const std::string& instance, const rollout::Step& step, rollout::Epoch epoch,
                    const std::string& claim_id, rollout::TimePoint now, std::int64_t unix_ms);

  // Compares every instance's process with its record, saves steps that have ended, and carries out actions
  // on the processes. Call it at least every kTickInterval, and whenever a process has changed.
  static constexpr rollout::Duration kTickInterval{100};
  void ReconcileInstances(rollout::TimePoint now, std::int64_t unix_ms);

  // Reports the instance's durable step and the present state of its process.
  rollout::Report ReportOf(const std::string& instance);
  std::vector<std::string> Names() const;
  // The generation that the instance is to run with, by its durable record.
  const std::string& GenerationOf(const std::string& instance) const {
    return instances_.at(instance).saved.generation;
  }
  // Returns whether the instance is to run, by its durable record.
  bool ShouldRun(const std::string& instance) const { return instances_.at(instance).saved.wanted; }
  const rollout::LeaseState& lease() const { return lease_.state(); }
  std::optional<rollout::Holder> holder(rollout::TimePoint now) const { return lease_.holder(now); }
  // Returns the plan of a change that was opened here; null if it was not, or if its plan has been deleted.
  const rollout::Plan* PlanOf(const std::string& change) const;

 private:
  struct SupervisedInstance {
    rollout::Instance instance;
    rollout::InstanceRecord saved;  // the durable record; older than `instance.record()` while saves fail
  };

  // Saves the lease's next state and then makes it the current one. If the save fails, nothing changes and
  // the command is refused in `answer`.
  void SaveLease(const rollout::Lessor& next, const rollout::Plan* opened, const Event& note, Answer& answer);
  // Lets `next` accept the step, or writes to `answer` why it can't be accepted.
  void CheckStep(rollout::Instance& next, const rollout::InstanceRecord& saved, const rollout::Step& step,
                 Answer& answer) const;
  // Saves a record that reconciling has changed. If the store fails, the next call tries again.
  void SaveStepEnd(const std::string& name, SupervisedInstance& supervised, std::int64_t unix_ms);

  Store& store_;
  Machine& machine_;
  rollout::Lessor lease_;
  std::map<std::string, SupervisedInstance> instances_;
  std::map<std::string, rollout::Plan> plans_;
};

}  // namespace mothrack::agent
