#include "rollout/fleet_model.h"

namespace mothrack::rollout::testing {

const InstanceRecord& FleetModel::RecordOf(const InstanceName& name) const {
  return std::find_if(hosts_.begin(), hosts_.end(), [&](const Host& h) { return h.name == name.agent; })
      ->disk.records.at(name.instance);
}

void FleetModel::CheckEnd(const Plan& plan, ChangeEnd end) {
  for (const Target& target : plan.targets) {
    const InstanceRecord& record = RecordOf(target.name);
    const std::string& wanted = end == ChangeEnd::kCompleted ? target.to : target.from;
    if (record.phase == Phase::kAccepted)
      Violation(plan.id + " ended, and " + record.step.token() + " has not");
    const bool had = accepted_steps_.contains({plan.id, target.name});
    if (end == ChangeEnd::kCompleted && !had) Violation(plan.id + " completed without a step");
    if (had && record.generation != wanted)
      Violation(plan.id + " ended with " + record.generation + ", not " + wanted);
  }
}

void FleetModel::CheckHalls() {
  std::set<std::string> halls;
  std::size_t down = 0;
  for (const Host& host : hosts_) {
    for (const auto& [name, record] : host.disk.records) {
      const auto it = host.processes.find(name);
      const bool stopped = it != host.processes.end() && it->second.draining;
      const bool by_step = record.phase == Phase::kAccepted &&
                           (it == host.processes.end() || it->second.token == record.token);
      const bool failed = record.phase == Phase::kFailed && host.disk.lease.open &&
                          host.disk.lease.open->change == record.step.change &&
                          (it == host.processes.end() || now_ < it->second.ready_at);
      if (!stopped && !by_step && !failed) continue;
      halls.insert(host.hall);
      ++down;
    }
  }
  if (halls.size() > 1) Violation("instances of both halls are down for a change: " + Describe());
  if (down > PolicyOf(false).max_unavailable) Violation("more are down than max_unavailable: " + Describe());
}

bool FleetModel::Settled() {
  for (const Host& host : hosts_) {
    if (!host.up) return false;
    for (const auto& [name, record] : host.disk.records) {
      if (record.phase == Phase::kAccepted) return false;
      const auto it = host.processes.find(name);
      if (it == host.processes.end()) {
        if (!host.agent->ReportOf(name).held) return false;
      } else if (it->second.generation != record.generation) {
        Violation(host.name + '/' + name + " runs " + it->second.generation + ", and " + record.generation +
                  " is on record");
      }
    }
  }
  return true;
}

}  // namespace mothrack::rollout::testing
