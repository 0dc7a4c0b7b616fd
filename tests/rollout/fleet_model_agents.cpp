// The simulated machines and the agents on them.
#include "rollout/fleet_model.h"

namespace mothrack::rollout::testing {

// The agent's store; it writes to the simulated disk.
class FakeStore : public agent::Store {
 public:
  FakeStore(FleetModel& model, Host& host) : model_(model), host_(host) {}
  std::optional<agent::StoreError> SaveLease(const LeaseState& state, const Plan* opened,
                                             const agent::Event&) override {
    return model_.Save(host_, [&] {
      host_.disk.lease = state;
      if (opened != nullptr) host_.disk.plans[opened->id] = *opened;
    });
  }
  std::optional<agent::StoreError> SaveRecord(const std::string& instance, const InstanceRecord& record,
                                              const agent::Event&) override {
    return model_.Save(host_, [&] {
      host_.disk.records[instance] = record;
      if (!record.step.undo) model_.accepted_steps_.insert({record.step.change, {host_.name, instance}});
    });
  }
  void Note(const agent::Event&) override {}
  std::vector<agent::Event> Events(std::size_t) const override { return {}; }
  std::optional<agent::StoreError> error() const override { return std::nullopt; }

 private:
  FleetModel& model_;
  Host& host_;
};

// The agent's machine; it runs simulated processes.
class FakeMachine : public agent::Machine {
 public:
  FakeMachine(FleetModel& model, Host& host) : model_(model), host_(host) {}
  ProcessState Inspect(const std::string& instance) override { return model_.Inspect(host_, instance); }
  void Execute(const std::string& instance, const Action& action) override {
    model_.Execute(host_, instance, action);
  }
  agent::RequestCounts RequestsOf(const std::string&) override { return {}; }
  bool HasGeneration(const std::string&) const override { return true; }

 private:
  FleetModel& model_;
  Host& host_;
};

void FleetModel::StartAgent(Host& host) {
  host.up = true;
  host.store = std::make_unique<FakeStore>(*this, host);
  host.machine = std::make_unique<FakeMachine>(*this, host);
  std::map<std::string, std::string> initial_generations;
  for (const auto& [name, record] : host.disk.records) initial_generations[name] = "g0";
  host.agent = std::make_unique<agent::Agent>(*host.store, *host.machine, host.disk, initial_generations,
                                              TestLimits(), kLeaseDuration, now_);
}

Host& FleetModel::HostNamed(const std::string& name) {
  return *std::find_if(hosts_.begin(), hosts_.end(), [&](const Host& host) { return host.name == name; });
}

void FleetModel::Supervise(Host& host) {
  std::erase_if(host.processes, [&](const auto& entry) {
    const Process& process = entry.second;
    return process.exits_at && now_ >= *process.exits_at;
  });
  if (host.up) {
    Call(host, [this](agent::Agent& agent) { return agent.ReconcileInstances(now_, 0), true; });
  } else if (now_ >= host.restart_at) {
    StartAgent(host);
  }
}

ProcessState FleetModel::Inspect(const Host& host, const std::string& name) const {
  const auto it = host.processes.find(name);
  if (it == host.processes.end()) return {};
  const Process& process = it->second;
  return {true, process.token, process.generation, now_ >= process.ready_at && !process.draining,
          process.draining};
}

void FleetModel::Execute(Host& host, const std::string& name, const Action& action) {
  if (action.kind == Action::Kind::kLog) return;
  CrashPoint(false);
  const auto it = host.processes.find(name);
  if (action.kind == Action::Kind::kStart) {
    if (it != host.processes.end()) return ReportViolation("two processes for " + host.name + '/' + name);
    if (!action.token.empty() &&
        !started_tokens_.insert(host.name + '/' + name + ' ' + action.token).second) {
      ++history_.repeated_starts;
    }
    Process process{
        action.token, action.generation, now_ + milliseconds(100 + UniformUpTo(500)), {}, false, false, 0};
    if (action.generation != "g0" && faulty_hosts_.contains(host.name)) {
      if (exits_at_once_) process.exits_at = now_ + milliseconds(UniformUpTo(300));
      process.ready_at = TimePoint::max();
    }
    host.processes[name] = process;
  } else if (it != host.processes.end() && action.kind == Action::Kind::kStop) {
    if (++it->second.planned_stops > 1) ReportViolation("stopped twice: " + host.name + '/' + name);
    it->second.draining = true;
    if (!it->second.ignores_stop) it->second.exits_at = now_ + milliseconds(200 + UniformUpTo(600));
  } else if (it != host.processes.end()) {
    it->second.exits_at = now_;
  }
  CrashPoint(true);
}

agent::Agent::Answer FleetModel::CheckFencing(agent::Agent::Answer answer, Epoch epoch, bool command) {
  if (answer.verdict != Lessor::Verdict::kGranted) {
    ++history_.fenced;
  } else if (command) {
    if (epoch < highest_accepted_epoch_)
      ReportViolation("a holder's command was accepted after a later holder's");
    highest_accepted_epoch_ = std::max(highest_accepted_epoch_, epoch);
  }
  return answer;
}

}  // namespace mothrack::rollout::testing
