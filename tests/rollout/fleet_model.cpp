#include "rollout/fleet_model.h"

namespace mothrack::rollout::testing {

FleetModel::FleetModel(std::uint64_t seed, const Script* script) : random_(seed), script_(script) {
  for (int index = 0; index < kAgents; ++index) {
    Host host;
    host.name = "a" + std::to_string(index);
    host.hall = index < kAgents / 2 ? "bole" : "kality";
    for (int i = 0; i < kInstances; ++i) {
      const std::string name = "i" + std::to_string(i);
      host.disk.records[name].generation = "g0";
      host.processes[name] = {"", "g0", TimePoint{}, {}, false, false, 0};
    }
    hosts_.push_back(std::move(host));
  }
  for (Host& host : hosts_) StartAgent(host);
  if (script_ != nullptr) {
    fault_rate_ = 0;
    for (int i = 0; i < 2; ++i) {
      tools_.emplace_back();
      tools_.back().who = "operator " + std::to_string(i);
      tools_.back().next_action_at = TimePoint(milliseconds(i == 0 ? 100 : 500));
    }
    return;
  }
  constexpr double kFaultRates[] = {0.1, 0.4, 1, 2.5};
  fault_rate_ = kFaultRates[UniformUpTo(3)];
  // On some of the machines, every generation except g0 may be faulty.
  if (Chance(0.35)) {
    for (const Host& host : hosts_) {
      if (Chance(0.5)) faulty_hosts_.insert(host.name);
    }
    exits_at_once_ = Chance(0.5);
  }
  for (int i = 0; i < 2; ++i) {
    tools_.emplace_back();
    tools_.back().who = "operator " + std::to_string(i);
    // The second operator often starts at the same time as the first.
    tools_.back().next_action_at = TimePoint(milliseconds(i == 0 || Chance(0.5) ? 100 : UniformUpTo(20'000)));
  }
}

History FleetModel::Run() {
  while (history_.violation.empty() && now_.time_since_epoch() < kRecoveryDeadline && !finished_) {
    now_ += milliseconds(20 + UniformUpTo(80));
    const bool fault_free = now_.time_since_epoch() >= kFaultPeriod;
    if (fault_free && !faults_stopped_) StopFaults();
    if (!fault_free) InjectFaults();
    Deliver();
    for (Host& host : hosts_) Supervise(host);
    for (Tool& tool : tools_) AdvanceTool(tool);
    CheckUnavailableInstances();
  }
  if (history_.violation.empty() && !finished_) ReportViolation("not finished in time: " + Describe());
  return history_;
}

void FleetModel::ReportViolation(const std::string& what) {
  if (history_.violation.empty()) {
    history_.violation = what + " at " + std::to_string(now_.time_since_epoch().count()) + " ms";
  }
}

std::string FleetModel::Describe() const {
  std::string text;
  for (const Host& host : hosts_) {
    for (const auto& [name, record] : host.disk.records) {
      const auto process = host.processes.find(name);
      text += host.name + '/' + name + '=' + record.generation + ':' + record.step.token() + ':' +
              std::to_string(static_cast<int>(record.phase)) +
              (process == host.processes.end() ? " down; " : "; ");
    }
  }
  for (const Tool& tool : tools_) {
    text += tool.who + (tool.change ? " changes " : tool.claim ? " claims " : " idle ") + tool.plan.id + "; ";
  }
  return text + last_message_;
}

void FleetModel::InjectFaults() {
  for (Host& host : hosts_) {
    if (host.up && Chance(0.0008 * fault_rate_)) CrashAgent(host);
    if (Chance(host.unreachable ? 0.02 : 0.0008 * fault_rate_)) host.unreachable = !host.unreachable;
    if (Chance(host.disk_full ? 0.02 : 0.0008 * fault_rate_)) host.disk_full = !host.disk_full;
    for (auto& [name, process] : host.processes) {
      if (Chance(0.0002 * fault_rate_)) process.exits_at = now_;  // killed from outside
      if (Chance(0.0003 * fault_rate_)) process.ignores_stop = true;
    }
  }
  for (Tool& tool : tools_) {
    if (tool.up && Chance(0.0008 * fault_rate_)) CrashTool(tool);
  }
}

void FleetModel::CrashTool(Tool& tool) {
  tool.up = false;
  ++tool.incarnation;
  ++history_.tool_crashes;
  tool.claim.reset();
  tool.change.reset();
  tool.next_action_at = now_ + milliseconds(UniformUpTo(15'000));
}

void FleetModel::StopFaults() {
  faults_stopped_ = true;
  for (Host& host : hosts_) {
    host.unreachable = host.disk_full = false;
    if (!host.up) host.restart_at = now_;
  }
}

void FleetModel::CrashAgent(Host& host) {
  ++history_.agent_crashes;
  host.up = false;
  host.restart_at = now_ + milliseconds(UniformUpTo(8000));
  host.agent.reset();
}

void FleetModel::CrashPoint(bool after) {
  if (script_ != nullptr) {
    const int point = history_.crash_points++;
    for (const int crash_point : script_->agent_crashes_at) {
      if (crash_point == point) throw AgentCrashed();
    }
  } else if (!faults_stopped_ && (!after || saving_) && Chance(0.01 * fault_rate_)) {
    throw AgentCrashed();
  }
}

std::optional<agent::StoreError> FleetModel::Save(Host& host, const std::function<void()>& write) {
  saving_ = true;
  CrashPoint(false);
  if (host.disk_full) {
    saving_ = false;
    ++history_.saves_failed;
    return agent::StoreError{agent::StoreError::Cause::kSaveFailed, "the disk is full"};
  }
  write();
  CrashPoint(true);
  saving_ = false;
  return std::nullopt;
}

void FleetModel::Send(const Host& host, std::function<void()> on_delivery, double late_probability) {
  if (host.unreachable) return;
  if (!faults_stopped_ && Chance(0.05 * fault_rate_)) return;
  for (int deliveries = !faults_stopped_ && Chance(0.05 * fault_rate_) ? 2 : 1; deliveries > 0;
       --deliveries) {
    int delay = UniformUpTo(150);
    if (!faults_stopped_ && Chance(late_probability * fault_rate_))
      delay = UniformUpTo(12'000);  // a long delay
    messages_.emplace(now_ + milliseconds(delay), on_delivery);
  }
}

void FleetModel::Deliver() {
  while (!messages_.empty() && messages_.begin()->first <= now_) {
    const auto on_delivery = std::move(messages_.begin()->second);
    messages_.erase(messages_.begin());
    on_delivery();
  }
}

History RunHistory(std::uint64_t seed) { return FleetModel(seed).Run(); }
History RunHistory(std::uint64_t seed, const Script& script) { return FleetModel(seed, &script).Run(); }

}  // namespace mothrack::rollout::testing
