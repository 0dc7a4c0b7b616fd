// The rules that the simulated fleet checks.
#include "rollout/fleet_model.h"

namespace mothrack::rollout::testing {

const InstanceRecord& FleetModel::RecordOf(const InstanceName& name) const {
  return std::find_if(hosts_.begin(), hosts_.end(), [&](const Host& host) { return host.name == name.agent; })
      ->disk.records.at(name.instance);
}

void FleetModel::CheckEnd(const Plan& plan, ChangeEnd end) {
  for (const Target& target : plan.targets) {
    const InstanceRecord& record = RecordOf(target.name);
    const std::string& wanted = end == ChangeEnd::kCompleted ? target.to : target.from;
    if (record.phase == Phase::kAccepted)
      ReportViolation(plan.id + " ended, and " + record.step.token() + " has not");
    const bool had_step = accepted_steps_.contains({plan.id, target.name});
    if (end == ChangeEnd::kCompleted && !had_step) ReportViolation(plan.id + " completed without a step");
    if (had_step && record.generation != wanted)
      ReportViolation(plan.id + " ended with " + record.generation + ", not " + wanted);
  }
}

void FleetModel::CheckUnavailableInstances() {
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
  if (halls.size() > 1) ReportViolation("instances of both halls are down for a change: " + Describe());
  if (down > PolicyOf(false).max_unavailable)
    ReportViolation("more are down than max_unavailable: " + Describe());
}

bool FleetModel::IsSettled() {
  for (const Host& host : hosts_) {
    if (!host.up) return false;
    for (const auto& [name, record] : host.disk.records) {
      if (record.phase == Phase::kAccepted) return false;
      const auto it = host.processes.find(name);
      if (it == host.processes.end()) {
        if (!host.agent->ReportOf(name).held) return false;
      } else if (it->second.generation != record.generation) {
        ReportViolation(host.name + '/' + name + " runs " + it->second.generation + ", and " +
                        record.generation + " is on record");
      }
    }
  }
  return true;
}

}  // namespace mothrack::rollout::testing
