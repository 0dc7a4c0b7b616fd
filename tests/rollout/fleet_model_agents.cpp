#include "rollout/fleet_model.h"

namespace mothrack::rollout::testing {

// The agent's disk, and its processes, as the agent sees them.
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
  std::map<std::string, std::string> begin;
  for (const auto& [name, record] : host.disk.records) begin[name] = "g0";
  host.agent = std::make_unique<agent::Agent>(*host.store, *host.machine, host.disk, begin, Limits(),
                                              kLeaseTime, now_);
}

Host& FleetModel::Of(const std::string& name) {
  return *std::find_if(hosts_.begin(), hosts_.end(), [&](const Host& h) { return h.name == name; });
}

void FleetModel::Supervise(Host& host) {
  std::erase_if(host.processes, [&](const auto& p) { return p.second.ends_at && now_ >= *p.second.ends_at; });
  if (host.up) {
    Call(host, [this](agent::Agent& agent) { return agent.ReconcileInstances(now_, 0), true; });
  } else if (now_ >= host.back_at) {
    StartAgent(host);
  }
}

ProcessState FleetModel::Inspect(const Host& host, const std::string& name) const {
  const auto it = host.processes.find(name);
  if (it == host.processes.end()) return {};
  const Process& p = it->second;
  return {true, p.token, p.generation, now_ >= p.ready_at && !p.draining, p.draining};
}

void FleetModel::Execute(Host& host, const std::string& name, const Action& action) {
  if (action.kind == Action::Kind::kLog) return;
  CrashPoint(false);
  const auto it = host.processes.find(name);
  if (action.kind == Action::Kind::kStart) {
    if (it != host.processes.end()) return Violation("two processes for " + host.name + '/' + name);
    if (!action.token.empty() && !started_.insert(host.name + '/' + name + ' ' + action.token).second) {
      ++history_.started_again;
    }
    Process p{
        action.token, action.generation, now_ + milliseconds(100 + RandomUpTo(500)), {}, false, false, 0};
    if (action.generation != "g0" && faulty_at_.contains(host.name)) {
      if (exits_at_once_) p.ends_at = now_ + milliseconds(RandomUpTo(300));
      p.ready_at = TimePoint::max();
    }
    host.processes[name] = p;
  } else if (it != host.processes.end() && action.kind == Action::Kind::kStop) {
    if (++it->second.stops > 1) Violation("stopped twice: " + host.name + '/' + name);
    it->second.draining = true;
    if (!it->second.ignores_stop) it->second.ends_at = now_ + milliseconds(200 + RandomUpTo(600));
  } else if (it != host.processes.end()) {
    it->second.ends_at = now_;
  }
  CrashPoint(true);
}

agent::Agent::Answer FleetModel::CheckFencing(agent::Agent::Answer answer, Epoch epoch, bool command) {
  if (answer.verdict != Lessor::Verdict::kGranted) {
    ++history_.fenced;
  } else if (command) {
    if (epoch < highest_accepted_epoch_) Violation("a holder's command was taken after a later holder's");
    highest_accepted_epoch_ = std::max(highest_accepted_epoch_, epoch);
  }
  return answer;
}

}  // namespace mothrack::rollout::testing
