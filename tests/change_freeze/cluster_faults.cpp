// What fails, and when.
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
  for (auto& m : machines_) {
    if (m->up && Chance(0.0004 * fault_rate_)) Crash(*m);
    if (m->up && now_ >= m->paused_until && Chance(0.0004 * fault_rate_)) Pause(*m);
    // The leader, for longer than its lease.
    if (m->up && now_ >= m->paused_until && m->role == Voter::Role::kLeader && Chance(0.002 * fault_rate_))
      Pause(*m);
    if (Chance(m->disk_full ? 0.01 : 0.0005 * fault_rate_)) m->disk_full = !m->disk_full;
  }
  if (Chance(0.0015 * fault_rate_)) InjectCombinedFault();
  while (!scheduled_faults_.empty() && scheduled_faults_.begin()->first <= now_) {
    scheduled_faults_.begin()->second();
    scheduled_faults_.erase(scheduled_faults_.begin());
  }
  if (Chance(0.0003 * fault_rate_)) {
    for (auto& m : machines_) m->disk_full = m->disk_full || Chance(0.6);
  }
  if (Chance(0.002 * fault_rate_)) {
    for (auto& m : machines_) m->partition = Chance(0.6) ? 0 : UniformUpTo(2);
  } else if (Chance(0.01)) {
    for (auto& m : machines_) m->partition = 0;
  }
}

void SimulatedCluster::InjectCombinedFault() {
  Machine* leader = Leader();
  if (leader == nullptr) return;
  std::vector<Machine*> rest;
  for (auto& m : machines_) {
    if (m.get() != leader && m->up) rest.push_back(m.get());
  }
  if (rest.size() + 1 < machines_.size()) return;
  std::shuffle(rest.begin(), rest.end(), random_);
  const auto restart = [this](Machine& m, bool stale) {
    if (!m.up) return;
    Crash(m, stale);
    m.back_at = now_ + 50;
  };
  if (Chance(0.5)) {
    leader->partition = 1;
    for (Machine* m : rest) restart(*m, false);
    return;
  }
  const std::vector<Machine*> unreachable(rest.begin(),
                                          rest.begin() + static_cast<std::ptrdiff_t>(rest.size() / 2));
  rest.erase(rest.begin(), rest.begin() + static_cast<std::ptrdiff_t>(unreachable.size()));
  for (Machine* m : unreachable) m->partition = 1;
  scheduled_faults_.emplace(now_ + 600 + UniformUpTo(1500), [this, leader, unreachable, rest, restart] {
    const bool sound = OthersCurrent(*rest.front());
    for (Machine* m : rest) restart(*m, sound);
    for (Machine* m : unreachable) m->partition = 0;
    if (leader->up) Pause(*leader);
  });
}

void SimulatedCluster::Pause(Machine& m) {
  ++history_.pauses;
  if (m.role == Voter::Role::kLeader) ++history_.leaders_paused;
  m.paused_until = now_ + 500 + UniformUpTo(8000);
}

bool SimulatedCluster::OthersCurrent(const Machine& m) const {
  return std::all_of(machines_.begin(), machines_.end(), [&](const auto& o) {
    if (o.get() == &m) return true;
    if (!o->file || o->file->stale || PositionOf(*o->file) < *o->position ||
        (o->up && o->role == Voter::Role::kRejoining))
      return false;
    // One that asked to rejoin, and whose present file was put back then, has yet to learn that it must.
    return std::all_of(machines_.begin(), machines_.end(), [&](const auto& p) {
      return !p->file || !p->file->incarnations.contains(o->name) ||
             p->file->incarnations.at(o->name) <= o->file->incarnation;
    });
  });
}

void SimulatedCluster::Crash(Machine& m, bool stale_file) {
  ++history_.crashes;
  m.up = false;
  m.service.reset();
  m.agent_permits.reset();
  m.back_at = now_ + (script_ != nullptr ? 1000 : UniformUpTo(6000));
  // Only while the others' files are current: of three, two that rejoin at once wait for an operator
  // (docs/design/change_freeze.md).
  const bool others_current = OthersCurrent(m);
  const bool stale = script_ != nullptr ? script_->stale_file : Chance(0.3);
  if (!(stale && others_current) && !stale_file) return;
  if (m.writes_of_file.size() < 2) return;
  ++history_.stale_files;
  m.file =
      m.writes_of_file[m.writes_of_file.size() - 2 -
                       (script_ != nullptr ? 0 : UniformUpTo(static_cast<int>(m.writes_of_file.size()) - 2))];
}

void SimulatedCluster::Start(Machine& m) {
  m.up = true;
  ++m.process;
  m.offset = UniformUpTo(100'000);  // the steady clock starts anew with its machine
  VoterSettings settings;
  settings.local_voter = m.name;
  settings.voters = names_;
  auto condition = AssessRecord(m.file, m.position, false);
  if (injected_fault_ == InjectedFault::kStaleRecordTrusted) condition = RecordCondition::kCurrent;
  const Duration before =
      injected_fault_ == InjectedFault::kNoLeasePromiseAtStart ? settings.lease * 2 : Duration(0);
  m.service = std::make_unique<PermitService>(
      Voter(settings, m.file.value_or(VoterRecord()), condition, Clock(m) - before));
  m.agent_permits = std::make_unique<AgentPermits>(m.name, m.permit_record);
  m.confirmations.clear();
  m.role = m.service->voter().role();
}

void SimulatedCluster::StopFaults() {
  faults_stopped_ = true;
  since_ = now_;
  for (auto& m : machines_) {
    m->disk_full = false;
    m->partition = 0;
    m->paused_until = std::min(m->paused_until, now_);
    if (!m->up) m->back_at = now_;
  }
}

}  // namespace mothrack::change_freeze::testing
