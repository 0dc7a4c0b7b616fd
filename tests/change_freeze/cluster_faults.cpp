// Faults and the times at which they occur.
#include <algorithm>

#include "change_freeze/simulated_cluster.h"

namespace mothrack::change_freeze::testing {

bool SimulatedCluster::CrashesHere() {
  if (script_ == nullptr) return !faults_stopped_ && Chance(0.004 * fault_rate_);
  const int point = history_.crash_points++;
  return point == script_->crash_at || point == script_->then_crash_at;
}

void SimulatedCluster::CrashPoint() {
  if (CrashesHere()) throw Crashed();
}

void SimulatedCluster::InjectFaults() {
  for (auto& machine : machines_) {
    if (machine->up && Chance(0.0004 * fault_rate_)) Crash(*machine);
    if (machine->up && now_ >= machine->paused_until && Chance(0.0004 * fault_rate_)) Pause(*machine);
    // Additional pauses of the leader, often for longer than its lease.
    if (machine->up && now_ >= machine->paused_until && machine->role == Voter::Role::kLeader &&
        Chance(0.002 * fault_rate_))
      Pause(*machine);
    if (Chance(machine->disk_full ? 0.01 : 0.0005 * fault_rate_)) machine->disk_full = !machine->disk_full;
  }
  if (Chance(0.0015 * fault_rate_)) InjectCombinedFault();
  while (!scheduled_faults_.empty() && scheduled_faults_.begin()->first <= now_) {
    scheduled_faults_.begin()->second();
    scheduled_faults_.erase(scheduled_faults_.begin());
  }
  if (Chance(0.0003 * fault_rate_)) {
    for (auto& machine : machines_) machine->disk_full = machine->disk_full || Chance(0.6);
  }
  if (Chance(0.002 * fault_rate_)) {
    for (auto& machine : machines_) machine->partition = Chance(0.6) ? 0 : UniformUpTo(2);
  } else if (Chance(0.01)) {
    for (auto& machine : machines_) machine->partition = 0;
  }
}

void SimulatedCluster::InjectCombinedFault() {
  Machine* leader = Leader();
  if (leader == nullptr) return;
  std::vector<Machine*> rest;
  for (auto& machine : machines_) {
    if (machine.get() != leader && machine->up) rest.push_back(machine.get());
  }
  if (rest.size() + 1 < machines_.size()) return;
  std::shuffle(rest.begin(), rest.end(), random_);
  const auto restart = [this](Machine& machine, bool stale) {
    if (!machine.up) return;
    Crash(machine, stale);
    machine.restart_at = now_ + 50;
  };
  if (Chance(0.5)) {
    leader->partition = 1;
    for (Machine* machine : rest) restart(*machine, false);
    return;
  }
  const std::vector<Machine*> unreachable(rest.begin(),
                                          rest.begin() + static_cast<std::ptrdiff_t>(rest.size() / 2));
  rest.erase(rest.begin(), rest.begin() + static_cast<std::ptrdiff_t>(unreachable.size()));
  for (Machine* machine : unreachable) machine->partition = 1;
  scheduled_faults_.emplace(now_ + 600 + UniformUpTo(1500), [this, leader, unreachable, rest, restart] {
    const bool others_current = OthersCurrent(*rest.front());
    for (Machine* machine : rest) restart(*machine, others_current);
    for (Machine* machine : unreachable) machine->partition = 0;
    if (leader->up) Pause(*leader);
  });
}

void SimulatedCluster::Pause(Machine& machine) {
  ++history_.pauses;
  if (machine.role == Voter::Role::kLeader) ++history_.leaders_paused;
  machine.paused_until = now_ + 500 + UniformUpTo(8000);
}

bool SimulatedCluster::OthersCurrent(const Machine& machine) const {
  return std::all_of(machines_.begin(), machines_.end(), [&](const auto& other) {
    if (other.get() == &machine) return true;
    if (!other->file || other->file->stale || PositionOf(*other->file) < *other->position ||
        (other->up && other->role == Voter::Role::kRejoining))
      return false;
    // A machine that requested to rejoin and whose file was then replaced by its current one does not know
    // yet that it has to rejoin.
    return std::all_of(machines_.begin(), machines_.end(), [&](const auto& peer) {
      return !peer->file || !peer->file->incarnations.contains(other->name) ||
             peer->file->incarnations.at(other->name) <= other->file->incarnation;
    });
  });
}

void SimulatedCluster::Crash(Machine& machine, bool stale_file) {
  ++history_.crashes;
  machine.up = false;
  machine.service.reset();
  machine.agent_permits.reset();
  machine.restart_at = now_ + (script_ != nullptr ? 1000 : UniformUpTo(6000));
  // A file may become stale only while the files of all others are current: if two of three voters have to
  // rejoin at the same time, they wait for an operator (docs/design/change_freeze.md).
  const bool others_current = OthersCurrent(machine);
  const bool stale = script_ != nullptr ? script_->stale_file : Chance(0.3);
  if (!(stale && others_current) && !stale_file) return;
  if (machine.writes_of_file.size() < 2) return;
  ++history_.stale_files;
  machine.file =
      machine.writes_of_file[machine.writes_of_file.size() - 2 -
                             (script_ != nullptr
                                  ? 0
                                  : UniformUpTo(static_cast<int>(machine.writes_of_file.size()) - 2))];
}

void SimulatedCluster::Start(Machine& machine) {
  machine.up = true;
  ++machine.process;
  machine.offset = UniformUpTo(100'000);  // the steady clock restarts with its machine
  VoterSettings settings;
  settings.local_voter = machine.name;
  settings.voters = names_;
  auto condition = AssessRecord(machine.file, machine.position, false);
  if (injected_fault_ == InjectedFault::kStaleRecordTrusted) condition = RecordCondition::kCurrent;
  const Duration clock_shift =
      injected_fault_ == InjectedFault::kNoLeasePromiseAtStart ? settings.lease * 2 : Duration(0);
  machine.service = std::make_unique<PermitService>(
      Voter(settings, machine.file.value_or(VoterRecord()), condition, Clock(machine) - clock_shift));
  machine.agent_permits = std::make_unique<AgentPermits>(machine.name, machine.permit_record);
  machine.confirmations.clear();
  machine.role = machine.service->voter().role();
}

void SimulatedCluster::StopFaults() {
  faults_stopped_ = true;
  stage_since_ = now_;
  for (auto& machine : machines_) {
    machine->disk_full = false;
    machine->partition = 0;
    machine->paused_until = std::min(machine->paused_until, now_);
    if (!machine->up) machine->restart_at = now_;
  }
}

}  // namespace mothrack::change_freeze::testing
