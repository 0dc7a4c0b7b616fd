#include "rollout/fleet_model.h"

namespace mothrack::rollout::testing {

// The agent's disk, and its processes, as the agent sees them.
class Disk : public agent::Store {
 public:
  Disk(FleetModel& world, Host& host) : world_(world), host_(host) {}
  bool SaveLease(const LeaseState& state, const Plan* opened, const agent::Event&) override {
    return world_.Save(host_, [&] {
      host_.disk.lease = state;
      if (opened != nullptr) host_.disk.plans[opened->id] = *opened;
    });
  }
  bool SaveRecord(const std::string& instance, const InstanceRecord& record, const agent::Event&) override {
    return world_.Save(host_, [&] {
      host_.disk.records[instance] = record;
      if (!record.step.undo) world_.taken_.insert({record.step.change, {host_.name, instance}});
    });
  }
  void Note(const agent::Event&) override {}
  std::vector<agent::Event> Events(std::size_t) const override { return {}; }
  std::string fault() const override { return {}; }

 private:
  FleetModel& world_;
  Host& host_;
};

class Box : public agent::Machine {
 public:
  Box(FleetModel& world, Host& host) : world_(world), host_(host) {}
  ProcessState Inspect(const std::string& instance) override { return world_.Inspect(host_, instance); }
  void Do(const std::string& instance, const Action& action) override { world_.Do(host_, instance, action); }
  agent::RequestCounts RequestsOf(const std::string&) override { return {}; }
  bool HasGeneration(const std::string&) const override { return true; }

 private:
  FleetModel& world_;
  Host& host_;
};

void FleetModel::Boot(Host& host) {
  host.up = true;
  host.store = std::make_unique<Disk>(*this, host);
  host.machine = std::make_unique<Box>(*this, host);
  std::map<std::string, std::string> begin;
  for (const auto& [name, record] : host.disk.records) begin[name] = "g0";
  host.agent = std::make_unique<agent::Agent>(*host.store, *host.machine, host.disk, begin, Limits(),
                                              kLeaseTime, now_);
}

Host& FleetModel::Of(const std::string& name) {
  return *std::find_if(hosts_.begin(), hosts_.end(), [&](const Host& h) { return h.name == name; });
}

void FleetModel::Live(Host& host) {
  std::erase_if(host.processes, [&](const auto& p) { return p.second.ends_at && now_ >= *p.second.ends_at; });
  if (host.up) {
    Call(host, [this](agent::Agent& agent) { return agent.Live(now_, 0), true; });
  } else if (now_ >= host.back_at) {
    Boot(host);
  }
}

ProcessState FleetModel::Inspect(const Host& host, const std::string& name) const {
  const auto it = host.processes.find(name);
  if (it == host.processes.end()) return {};
  const Process& p = it->second;
  return {true, p.token, p.generation, now_ >= p.ready_at && !p.draining, p.draining};
}

void FleetModel::Do(Host& host, const std::string& name, const Action& action) {
  if (action.kind == Action::Kind::kSay) return;
  Point(false);
  const auto it = host.processes.find(name);
  if (action.kind == Action::Kind::kStart) {
    if (it != host.processes.end()) return Violation("two processes for " + host.name + '/' + name);
    if (!action.token.empty() && !started_.insert(host.name + '/' + name + ' ' + action.token).second) {
      ++history_.started_again;
    }
    Process p{action.token, action.generation, now_ + milliseconds(100 + Upto(500)), {}, false, false, 0};
    if (action.generation != "g0" && bad_at_.contains(host.name)) {
      if (dies_at_once_) p.ends_at = now_ + milliseconds(Upto(300));
      p.ready_at = TimePoint::max();
    }
    host.processes[name] = p;
  } else if (it != host.processes.end() && action.kind == Action::Kind::kStop) {
    if (++it->second.stops > 1) Violation("stopped twice: " + host.name + '/' + name);
    it->second.draining = true;
    if (!it->second.deaf) it->second.ends_at = now_ + milliseconds(200 + Upto(600));
  } else if (it != host.processes.end()) {
    it->second.ends_at = now_;
  }
  Point(true);
}

agent::Agent::Answer FleetModel::Counted(agent::Agent::Answer answer, Epoch epoch, bool command) {
  if (answer.verdict != Lessor::Verdict::kGranted) {
    ++history_.fenced;
  } else if (command) {
    if (epoch < last_taken_) Violation("a holder's command was taken after a later holder's");
    last_taken_ = std::max(last_taken_, epoch);
  }
  return answer;
}

}  // namespace mothrack::rollout::testing
