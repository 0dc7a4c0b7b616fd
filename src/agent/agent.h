// An agent's logic: the lease, the instances and their steps of one machine, without sockets, clocks and
// processes. It answers commands (src/agent/agent_api.h carries them over HTTP), looks after its instances,
// and acts by a Machine. What it says of itself is on disk first; what the disk refuses has not happened.
//
// Where the store takes nothing it goes on supervising by what it remembers, and takes no step of any change.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "agent/store.h"
#include "rollout/instance.h"
#include "rollout/lease.h"
#include "rollout/types.h"

namespace mothrack::agent {

// Requests of a process since its start.
struct RequestCounts {
  std::uint64_t total = 0;
  std::uint64_t failed = 0;  // rejected, failed or late
};

// The processes of a machine: what the agent sees of them, and how it acts on them.
class Machine {
 public:
  virtual ~Machine() = default;
  virtual rollout::ProcessState Inspect(const std::string& instance) = 0;
  virtual void Do(const std::string& instance, const rollout::Action& action) = 0;
  // Of the process that runs now.
  virtual RequestCounts RequestsOf(const std::string& instance) = 0;
  // Is there such a configuration for it? A step to another is refused.
  virtual bool HasGeneration(const std::string& generation) const = 0;
};

class Agent {
 public:
  struct Answer {
    rollout::Lessor::Verdict verdict = rollout::Lessor::Verdict::kGranted;
    std::optional<rollout::Holder> holder;  // who is in the way
    bool open = false;                      // the change that was asked for is open here
    rollout::Epoch highest = 0;
    std::string refused;  // a step, or anything that the disk did not take
    std::optional<rollout::Report> report;
  };

  // `instances`: those that it looks after, each with the generation that it begins with.
  Agent(Store& store, Machine& machine, const Stored& stored,
        const std::map<std::string, std::string>& instances, const rollout::InstanceLimits& limits,
        rollout::Duration lease_time, rollout::TimePoint now);

  Answer Highest(rollout::TimePoint now) const;
  Answer Acquire(rollout::Epoch epoch, const rollout::Holder& holder, rollout::TimePoint now,
                 std::int64_t unix_ms);
  Answer Open(rollout::Epoch epoch, const rollout::Holder& holder, const rollout::Plan& plan,
              rollout::TimePoint now, std::int64_t unix_ms);
  Answer Renew(rollout::Epoch epoch, const std::string& claim_id, rollout::TimePoint now);
  Answer Release(rollout::Epoch epoch, const std::string& claim_id, bool close, std::int64_t unix_ms);
  Answer Take(const std::string& instance, const rollout::Step& step, rollout::Epoch epoch,
              const std::string& claim_id, rollout::TimePoint now, std::int64_t unix_ms);

  // Looks after every instance. Call it at least every Tick, and whenever a process changed.
  static constexpr rollout::Duration kTick{100};
  void Live(rollout::TimePoint now, std::int64_t unix_ms);

  // What has reached the disk of each step, and its process as it is.
  rollout::Report ReportOf(const std::string& instance);
  std::vector<std::string> Names() const;
  // That the instance is to run with, by what is on disk.
  const std::string& GenerationOf(const std::string& instance) const {
    return kept_.at(instance).saved.generation;
  }
  bool WantedOf(const std::string& instance) const { return kept_.at(instance).saved.wanted; }
  const rollout::LeaseState& lease() const { return lease_.state(); }
  std::optional<rollout::Holder> holder(rollout::TimePoint now) const { return lease_.holder(now); }
  const rollout::Plan* PlanOf(const std::string& change) const;
  // A line of an instance's record that Reconcile() changed and the disk has not taken yet.
  bool behind() const;

 private:
  struct Kept {
    rollout::Instance instance;
    rollout::InstanceRecord saved;  // on disk
  };

  bool SaveLease(const rollout::Lessor& next, const rollout::Plan* opened, const Event& note, Answer& answer);

  Store& store_;
  Machine& machine_;
  rollout::Lessor lease_;
  std::map<std::string, Kept> kept_;
  std::map<std::string, rollout::Plan> plans_;
};

}  // namespace mothrack::agent
