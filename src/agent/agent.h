// An agent's logic: the lease of one machine, its instances and their steps, without sockets, clocks and
// processes. It answers commands (src/agent/agent_api.h receives them over HTTP), supervises its instances,
// and acts through a Machine. Whatever it reports is durable first; a save that fails has had no effect.
//
// While the store fails it goes on supervising by the records that it has in memory, and accepts no step of
// any change. Not thread-safe: called from the event loop only. docs/operators/rollouts.md has the operators'
// side.
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

// Requests of a process since its start.
struct RequestCounts {
  std::uint64_t total = 0;
  std::uint64_t failed = 0;  // rejected, failed, or answered after the deadline
};

// The processes of a machine: what the agent sees of them, and how it acts on them. `instance` is one that
// the agent was made with.
class Machine {
 public:
  virtual ~Machine() = default;
  // The instance's process as it is now.
  virtual rollout::ProcessState Inspect(const std::string& instance) = 0;
  // Carries out an action, at once or not at all: the next Inspect() shows what came of it.
  virtual void Execute(const std::string& instance, const rollout::Action& action) = 0;
  // Of the process that runs now.
  virtual RequestCounts RequestsOf(const std::string& instance) = 0;
  // Is the configuration generation stored here? A step to one that is not is refused.
  virtual bool HasGeneration(const std::string& generation) const = 0;
};

// Why a command that the lease would allow was refused.
enum class Refusal {
  kNone,                // it was not
  kPlanOfOtherChange,   // the plan to open is of another change than the lease
  kUnknownInstance,     // this agent has no such instance
  kStepOfOtherChange,   // the step is of a change or an epoch that is not open here
  kBusy,                // the instance has an accepted step of another change that has not ended
  kGenerationMismatch,  // the instance has another generation than the step starts from
  kUnknownGeneration,   // the step's generation is not stored here
  kSaveFailed           // the store refused the save: nothing has changed. Store::error() has the cause
};

class Agent {
 public:
  // What every command is answered with.
  struct Answer {
    rollout::Lessor::Verdict verdict = rollout::Lessor::Verdict::kGranted;
    std::optional<rollout::Holder> holder;  // who has the lease, or the open change, instead
    bool open = false;                      // the command's change is open here
    rollout::Epoch highest = 0;             // ever granted here
    Refusal refusal = Refusal::kNone;
    std::string refused;                    // the refusal, for the operator; empty where there is none
    std::optional<rollout::Report> report;  // of the instance that a step was for

    void Refuse(Refusal why, std::string message) {
      refusal = why;
      refused = std::move(message);
    }
  };

  // `stored`: what the store had at its start. `instances`: those that it supervises, each with the
  // generation that it begins with where the store has no record of it. `store` and `machine` outlive the
  // agent.
  Agent(Store& store, Machine& machine, const Stored& stored,
        const std::map<std::string, std::string>& instances, const rollout::InstanceLimits& limits,
        rollout::Duration lease_time, rollout::TimePoint now);

  // The commands. `now` is of the steady clock, by which the lease expires; `unix_ms` of the wall clock, for
  // the history that people read. `epoch` and `claim_id` name the lease that a command is sent under.

  // The highest epoch that was granted here, and who holds the lease.
  Answer ReadLease(rollout::TimePoint now) const;
  Answer Acquire(rollout::Epoch epoch, const rollout::Holder& holder, rollout::TimePoint now,
                 std::int64_t unix_ms);
  // Makes the plan durable and its change the open one.
  Answer Open(rollout::Epoch epoch, const rollout::Holder& holder, const rollout::Plan& plan,
              rollout::TimePoint now, std::int64_t unix_ms);
  Answer Renew(rollout::Epoch epoch, const std::string& claim_id, rollout::TimePoint now);
  // Gives the lease back; with `close`, the change is over. Of another epoch or claim: no effect.
  Answer Release(rollout::Epoch epoch, const std::string& claim_id, bool close, std::int64_t unix_ms);
  // Renews the lease and makes the instance's step durable; ReconcileInstances() carries it out. The same
  // step again has no further effect.
  Answer AcceptStep(const std::string& instance, const rollout::Step& step, rollout::Epoch epoch,
                    const std::string& claim_id, rollout::TimePoint now, std::int64_t unix_ms);

  // Compares every instance's process with its record, saves steps that have ended, and acts on the
  // processes. Call it at least every kTickInterval, and whenever a process changed.
  static constexpr rollout::Duration kTickInterval{100};
  void ReconcileInstances(rollout::TimePoint now, std::int64_t unix_ms);

  // The instance's step as far as it is durable, and its process as it is now.
  rollout::Report ReportOf(const std::string& instance);
  std::vector<std::string> Names() const;
  // The generation that the instance is to run with, by its durable record.
  const std::string& GenerationOf(const std::string& instance) const {
    return instances_.at(instance).saved.generation;
  }
  // Is the instance to run at all, by its durable record?
  bool WantedOf(const std::string& instance) const { return instances_.at(instance).saved.wanted; }
  const rollout::LeaseState& lease() const { return lease_.state(); }
  std::optional<rollout::Holder> holder(rollout::TimePoint now) const { return lease_.holder(now); }
  // The plan of a change that was opened here; null where none was, or it is too long ago.
  const rollout::Plan* PlanOf(const std::string& change) const;

 private:
  struct SupervisedInstance {
    rollout::Instance instance;
    rollout::InstanceRecord saved;  // the durable one; behind `instance.record()` while saves fail
  };

  // Makes the lease's next state durable, then the current one. On failure: nothing changed, `answer`
  // refused.
  void SaveLease(const rollout::Lessor& next, const rollout::Plan* opened, const Event& note, Answer& answer);
  // Why the step can't be accepted, into `answer`; else `next` has accepted it.
  void CheckStep(rollout::Instance& next, const rollout::InstanceRecord& saved, const rollout::Step& step,
                 Answer& answer) const;
  // Saves a record that reconciling has changed; tried again at the next call where the store fails.
  void SaveStepEnd(const std::string& name, SupervisedInstance& supervised, std::int64_t unix_ms);

  Store& store_;
  Machine& machine_;
  rollout::Lessor lease_;
  std::map<std::string, SupervisedInstance> instances_;
  std::map<std::string, rollout::Plan> plans_;
};

}  // namespace mothrack::agent
