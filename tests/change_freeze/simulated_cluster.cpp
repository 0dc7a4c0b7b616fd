// Machines, their disks, and the messages between them.
#include "change_freeze/simulated_cluster.h"

#include <algorithm>

namespace mothrack::change_freeze::testing {

SimulatedCluster::SimulatedCluster(std::uint64_t seed, int voters, InjectedFault injected,
                                   const Script* script)
    : random_(seed), injected_fault_(injected), script_(script) {
  for (int i = 0; i < voters; ++i) names_.insert("a" + std::to_string(i));
  constexpr double kFaultRates[] = {0.3, 1, 2, 4};
  fault_rate_ = script_ != nullptr ? 0 : kFaultRates[UniformUpTo(3)];
  for (const std::string& name : names_) {
    auto& machine = *machines_.emplace_back(std::make_unique<Machine>());
    machine.name = name;
    machine.site = machines_.size() % 2 == 1 ? "bole" : "kality";
    machine.rate = Chance(0.3) ? 1.05 : Chance(0.3) ? 0.92 : 0.99 + 0.02 * UniformUpTo(100) / 100;
    if (injected_fault_ == InjectedFault::kFastClocks) machine.rate = machines_.size() % 2 == 1 ? 2 : 1;
    machine.file.emplace();
    machine.position.emplace();
  }
  for (auto& machine : machines_) Start(*machine);
  for (int i = 0; i < 4; ++i) {
    Change change;
    change.name = "c" + std::to_string(i);
    change.kinds = {static_cast<ChangeKind>(i == 0 ? 0 : UniformUpTo(6))};
    if (Chance(0.7)) change.footprint.sites = {Chance(0.5) ? "bole" : "kality"};
    if (Chance(0.5)) change.footprint.zones = {Chance(0.5) ? "z1" : "z2"};
    changes_.push_back(change);
  }
}

History SimulatedCluster::Run() {
  while (history_.violation.empty() && now_ < kRecoveryDeadline && !finished_) {
    now_ += 20 + UniformUpTo(50);
    if (now_ >= (script_ != nullptr ? kScriptedPeriod : kFaultPeriod) && !faults_stopped_) StopFaults();
    if (!faults_stopped_ && script_ == nullptr) InjectFaults();
    Deliver();
    for (auto& machine : machines_) RunMachine(*machine);
    if (!faults_stopped_) {
      RunOperators();
      RunTools();
    }
    if (faults_stopped_) CheckRecovery();
    CheckRules();
  }
  if (history_.violation.empty() && !finished_)
    ReportViolation("not finished in time, stage " + std::to_string(static_cast<int>(stage_)) + ": " +
                    last_reason_ + DescribeMachines());
  return history_;
}

bool SimulatedCluster::Save(const VoterRecord& record) {
  Machine& machine = *saving_;
  CrashPoint();
  if (machine.disk_full) {
    ++history_.saves_failed;
    if (Chance(0.3)) machine.file = record;  // the record was written, but not its position
    return false;
  }
  if (OthersCurrent(machine) && CrashesHere()) {
    ++history_.torn_writes;
    machine.file.reset();
    throw Crashed();
  }
  if (machine.file) machine.writes_of_file.push_back(*machine.file);
  machine.file = record;
  CrashPoint();
  machine.position = PositionOf(record);
  CrashPoint();
  return true;
}

int SimulatedCluster::UniformUpTo(int maximum) {
  return static_cast<int>(random_() % static_cast<unsigned>(maximum + 1));
}

bool SimulatedCluster::Chance(double probability) {
  return static_cast<double>(random_() >> 11) * 0x1p-53 < probability;
}

TimePoint SimulatedCluster::Clock(const Machine& machine) const {
  return TimePoint(Duration(static_cast<std::int64_t>(machine.offset + machine.rate * now_)));
}

void SimulatedCluster::ReportViolation(const std::string& what) {
  if (history_.violation.empty()) history_.violation = what + " at " + std::to_string(now_) + " ms";
}

std::string SimulatedCluster::DescribeMachines() const {
  std::string text;
  for (const auto& machine : machines_) {
    text += "; " + machine->name +
            (machine->up ? " role " + std::to_string(static_cast<int>(machine->role)) : " down") + " term " +
            std::to_string(machine->file ? machine->file->term : 0);
    if (machine->file)
      text += " file " + std::to_string(machine->file->incarnation) + '.' +
              std::to_string(machine->file->serial) + (machine->file->stale ? " stale" : "");
    text += " position " + std::to_string(machine->position->incarnation) + '.' +
            std::to_string(machine->position->serial);
  }
  return text;
}

void SimulatedCluster::Send(const Machine& from, const Machine& to, std::function<void()> arrive) {
  if (from.partition != to.partition) return;
  if (!faults_stopped_ && Chance(0.05 * fault_rate_)) return;
  for (int deliveries = !faults_stopped_ && Chance(0.04 * fault_rate_) ? 2 : 1; deliveries > 0;
       --deliveries) {
    int delay = 1 + UniformUpTo(120);
    if (!faults_stopped_ && Chance(0.04 * fault_rate_)) delay = UniformUpTo(12'000);  // a long delay
    messages_.emplace(now_ + delay, std::pair(const_cast<Machine*>(&to), arrive));
  }
}

void SimulatedCluster::Deliver() {
  while (!messages_.empty() && messages_.begin()->first <= now_) {
    auto [to, arrive] = std::move(messages_.begin()->second);
    messages_.erase(messages_.begin());
    if (!to->up) continue;
    if (now_ < to->paused_until) {
      messages_.emplace(to->paused_until, std::pair(to, arrive));
    } else {
      arrive();
    }
  }
}

void SimulatedCluster::Decide(Machine& machine,
                              const std::function<void(PermitService&, std::vector<VoterMessage>&)>& act) {
  if (!machine.up) return;
  std::vector<VoterMessage> out;
  saving_ = &machine;
  const auto send = [&](std::vector<VoterMessage>& messages) {
    for (VoterMessage& message : messages) {
      Machine& to = *machines_[static_cast<std::size_t>(message.to[1] - '0')];
      Send(machine, to, [this, &to, message] {
        Decide(to, [&](PermitService& service, auto& more) { service.Receive(message, Clock(to), more); });
      });
    }
  };
  try {
    if (injected_fault_ == InjectedFault::kSentBeforeDurable ||
        injected_fault_ == InjectedFault::kWriteFailureIgnored) {
      PermitService updated = *machine.service;
      std::vector<VoterMessage> early;
      act(updated, early);
      if (injected_fault_ == InjectedFault::kSentBeforeDurable) send(early);
      const bool saved = updated.record() == machine.service->record() || Save(updated.record());
      if (saved || injected_fault_ == InjectedFault::kWriteFailureIgnored) *machine.service = updated;
      if (injected_fault_ == InjectedFault::kWriteFailureIgnored) send(early);
    } else {
      ApplyDurably(*machine.service, *this, Clock(machine), act, out);
      send(out);
    }
  } catch (const Crashed&) {
    return Crash(machine);
  }
  const Voter& voter = machine.service->voter();
  if (machine.role == Voter::Role::kRejoining && voter.role() == Voter::Role::kFollower) ++history_.rejoins;
  if (voter.role() != machine.role && voter.role() == Voter::Role::kEstablishing) {
    if (!winners_.emplace(voter.term(), machine.name).second)
      ReportViolation("two voters won term " + std::to_string(voter.term()));
  }
  if (voter.role() != machine.role && voter.role() == Voter::Role::kLeader) CheckWinner(machine);
  machine.role = voter.role();
  CheckCommitted(machine);
}

void SimulatedCluster::CheckWinner(const Machine& machine) {
  ++history_.elections;
  const auto written = last_written_.find(machine.service->record().value);
  if ((written == last_written_.end() ? ValueVersion() : written->second) < committed_) {
    ReportViolation(machine.name + " won term " + std::to_string(machine.service->voter().term()) +
                    " without the latest committed value");
  }
}

void SimulatedCluster::CheckCommitted(const Machine& machine) {
  const Voter& voter = machine.service->voter();
  if (voter.role() != Voter::Role::kEstablishing && voter.role() != Voter::Role::kLeader) return;
  ValueVersion& written = last_written_[machine.service->record().value];
  written = std::max(written, machine.service->record().value_version);
  if (voter.committed() > 0) committed_ = std::max(committed_, {voter.term(), voter.committed()});
}

bool SimulatedCluster::HoldsLease(const Machine& machine) const {
  if (!machine.up) return false;
  if (injected_fault_ == InjectedFault::kLeaseIgnored)
    return machine.role == Voter::Role::kLeader && machine.service->state() != nullptr;
  return machine.service->HoldsLease(Clock(machine));
}

void SimulatedCluster::RunMachine(Machine& machine) {
  if (!machine.up && now_ >= machine.restart_at) Start(machine);
  if (!machine.up || now_ < machine.paused_until) return;
  Decide(machine, [&](PermitService& service, auto& out) { service.Tick(Clock(machine), out); });
  if (!machine.up || now_ < machine.next_poll) return;
  machine.next_poll = now_ + 400;
  for (const Change& change : changes_) {
    for (auto& other : machines_) PollPermit(machine, *other, change.name);
  }
  if (!machine.permit_record.unreported.empty()) ReportBreakGlass(machine);
}

void SimulatedCluster::PollPermit(Machine& machine, Machine& other, const std::string& change) {
  const auto request_sent = Clock(machine);
  Send(machine, other, [this, &machine, &other, change, request_sent, process = machine.process] {
    std::optional<PermitConfirmation> confirmation = other.service->ConfirmPermit(change, Clock(other));
    if (!confirmation && injected_fault_ == InjectedFault::kLeaseIgnored && HoldsLease(other)) {
      FreezeState edited = *other.service->state();
      confirmation = edited.ConfirmPermit(change, Clock(other));
      confirmation->term = other.service->voter().term();
      confirmation->version = other.service->voter().committed();
    }
    Send(other, machine,
         [this, &machine, confirmation, request_sent, process,
          reason = other.service->LeaderlessReason(Clock(other))] {
           if (machine.process != process) return;
           confirmation
               ? OnConfirmation(
                     machine, *confirmation,
                     injected_fault_ == InjectedFault::kValidityFromAnswer ? Clock(machine) : request_sent)
               : machine.agent_permits->OnLeaderless(reason);
         });
  });
}

bool SimulatedCluster::SavePermits(Machine& machine, const AgentPermits& agent_permits) {
  try {
    CrashPoint();
    if (machine.disk_full) return ++history_.saves_failed, false;
    machine.permit_record = agent_permits.record();
    CrashPoint();
  } catch (const Crashed&) {
    Crash(machine);
    return false;
  }
  *machine.agent_permits = agent_permits;
  return true;
}

void SimulatedCluster::OnConfirmation(Machine& machine, const PermitConfirmation& confirmation,
                                      TimePoint request_sent) {
  AgentPermits updated = *machine.agent_permits;
  if (!updated.OnConfirmation(confirmation, request_sent)) {
    ++history_.late_confirmations;
    if (injected_fault_ == InjectedFault::kStaleConfirmationAccepted)
      *machine.agent_permits = AgentPermits(machine.name, {}),
      machine.agent_permits->OnConfirmation(confirmation, request_sent);
    return;
  }
  if (updated.record() == machine.agent_permits->record()) {
    *machine.agent_permits = updated;
  } else if (!SavePermits(machine, updated)) {
    return;
  }
  machine.highest_term = std::max(machine.highest_term, confirmation.term);
  machine.confirmations.emplace_back(confirmation, request_sent);
  if (machine.confirmations.size() > 60) machine.confirmations.erase(machine.confirmations.begin());
}

void SimulatedCluster::ReportBreakGlass(Machine& machine) {
  for (auto& other : machines_) {
    Send(machine, *other,
         [this, &machine, &other = *other, break_glass = machine.permit_record.unreported,
          process = machine.process] {
           if (!HoldsLease(other)) return;
           const std::uint64_t reported = other.service->state()->LastBreakGlassOf(machine.name);
           if (reported < break_glass.back().number) {
             Decide(other, [&](PermitService& service, auto& out) {
               service.Change(
                   Clock(other),
                   [&](FreezeState& edited) { return edited.RecordBreakGlass(break_glass), Status(); }, out);
             });
           }
           if (reported == 0) return;
           Send(other, machine, [this, &machine, reported, process] {
             if (machine.process != process) return;
             AgentPermits updated = *machine.agent_permits;
             updated.OnBreakGlassReported(reported);
             if (!(updated.record() == machine.agent_permits->record())) SavePermits(machine, updated);
           });
         });
  }
}

}  // namespace mothrack::change_freeze::testing
