#include "rollout/fleet_model.h"

namespace mothrack::rollout::testing {

FleetModel::FleetModel(std::uint64_t seed, const Script* script) : random_(seed), script_(script) {
  for (int a = 0; a < kAgents; ++a) {
    Host host;
    host.name = "a" + std::to_string(a);
    host.hall = a < kAgents / 2 ? "bole" : "kality";
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
      tools_.back().next = TimePoint(milliseconds(i == 0 ? 100 : 500));
    }
    return;
  }
  constexpr double kFaultRates[] = {0.1, 0.4, 1, 2.5};
  fault_rate_ = kFaultRates[RandomUpTo(3)];
  // A generation that is bad everywhere, or on some machines only.
  if (Chance(0.35)) {
    for (const Host& host : hosts_) {
      if (Chance(0.5)) faulty_at_.insert(host.name);
    }
    exits_at_once_ = Chance(0.5);
  }
  for (int i = 0; i < 2; ++i) {
    tools_.emplace_back();
    tools_.back().who = "operator " + std::to_string(i);
    // Often at the same instant.
    tools_.back().next = TimePoint(milliseconds(i == 0 || Chance(0.5) ? 100 : RandomUpTo(20'000)));
  }
}

History FleetModel::Run() {
  while (history_.violation.empty() && now_.time_since_epoch() < kRecovery && !finished_) {
    now_ += milliseconds(20 + RandomUpTo(80));
    const bool calm = now_.time_since_epoch() >= kFaultPeriod;
    if (calm && !faults_over_) EndFaults();
    if (!calm) InjectFaults();
    Deliver();
    for (Host& host : hosts_) Supervise(host);
    for (Tool& tool : tools_) AdvanceTool(tool);
    CheckHalls();
  }
  if (history_.violation.empty() && !finished_) Violation("no end: " + Describe());
  return history_;
}

void FleetModel::Violation(const std::string& what) {
  if (history_.violation.empty()) {
    history_.violation = what + " at " + std::to_string(now_.time_since_epoch().count()) + " ms";
  }
}

std::string FleetModel::Describe() const {
  std::string text;
  for (const Host& host : hosts_) {
    for (const auto& [name, record] : host.disk.records) {
      const auto p = host.processes.find(name);
      text += host.name + '/' + name + '=' + record.generation + ':' + record.step.token() + ':' +
              std::to_string(static_cast<int>(record.phase)) + (p == host.processes.end() ? " down; " : "; ");
    }
  }
  for (const Tool& tool : tools_) {
    text += tool.who + (tool.change ? " changes " : tool.claim ? " claims " : " idle ") + tool.plan.id + "; ";
  }
  return text + last_message_;
}

void FleetModel::InjectFaults() {
  for (Host& host : hosts_) {
    if (host.up && Chance(0.0008 * fault_rate_)) KillAgent(host);
    if (Chance(host.cut_off ? 0.02 : 0.0008 * fault_rate_)) host.cut_off = !host.cut_off;
    if (Chance(host.disk_full ? 0.02 : 0.0008 * fault_rate_)) host.disk_full = !host.disk_full;
    for (auto& [name, process] : host.processes) {
      if (Chance(0.0002 * fault_rate_)) process.ends_at = now_;  // killed outside
      if (Chance(0.0003 * fault_rate_)) process.ignores_stop = true;
    }
  }
  for (Tool& tool : tools_) {
    if (tool.up && Chance(0.0008 * fault_rate_)) KillTool(tool);
  }
}

void FleetModel::KillTool(Tool& tool) {
  tool.up = false;
  ++tool.incarnation;
  ++history_.tool_deaths;
  tool.claim.reset();
  tool.change.reset();
  tool.next = now_ + milliseconds(RandomUpTo(15'000));
}

void FleetModel::EndFaults() {
  faults_over_ = true;
  for (Host& host : hosts_) {
    host.cut_off = host.disk_full = false;
    if (!host.up) host.back_at = now_;
  }
}

void FleetModel::KillAgent(Host& host) {
  ++history_.agent_deaths;
  host.up = false;
  host.back_at = now_ + milliseconds(RandomUpTo(8000));
  host.agent.reset();
}

void FleetModel::CrashPoint(bool after) {
  if (script_ != nullptr) {
    const int point = history_.points++;
    for (const int at : script_->agent_dies_at) {
      if (at == point) throw AgentDied();
    }
  } else if (!faults_over_ && (!after || saving_) && Chance(0.01 * fault_rate_)) {
    throw AgentDied();
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

void FleetModel::Send(const Host& host, std::function<void()> arrive, double late) {
  if (host.cut_off) return;
  if (!faults_over_ && Chance(0.05 * fault_rate_)) return;
  for (int deliveries = !faults_over_ && Chance(0.05 * fault_rate_) ? 2 : 1; deliveries > 0; --deliveries) {
    int delay = RandomUpTo(150);
    if (!faults_over_ && Chance(late * fault_rate_)) delay = RandomUpTo(12'000);  // a message from long ago
    messages_.emplace(now_ + milliseconds(delay), arrive);
  }
}

void FleetModel::Deliver() {
  while (!messages_.empty() && messages_.begin()->first <= now_) {
    const auto arrive = std::move(messages_.begin()->second);
    messages_.erase(messages_.begin());
    arrive();
  }
}

History Play(std::uint64_t seed) { return FleetModel(seed).Run(); }
History Play(std::uint64_t seed, const Script& script) { return FleetModel(seed, &script).Run(); }

}  // namespace mothrack::rollout::testing
