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
    auto& m = *machines_.emplace_back(std::make_unique<Machine>());
    m.name = name;
    m.site = machines_.size() % 2 == 1 ? "bole" : "kality";
    m.rate = Chance(0.3) ? 1.05 : Chance(0.3) ? 0.92 : 0.99 + 0.02 * UniformUpTo(100) / 100;
    if (injected_fault_ == InjectedFault::kFastClocks) m.rate = machines_.size() % 2 == 1 ? 2 : 1;
    m.file.emplace();
    m.position.emplace();
  }
  for (auto& m : machines_) Start(*m);
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
  while (history_.violation.empty() && now_ < kRecovery && !finished_) {
    now_ += 20 + UniformUpTo(50);
    if (now_ >= (script_ != nullptr ? kScriptedPeriod : kFaultPeriod) && !faults_stopped_) StopFaults();
    if (!faults_stopped_ && script_ == nullptr) InjectFaults();
    Deliver();
    for (auto& m : machines_) RunMachine(*m);
    if (!faults_stopped_) {
      RunOperators();
      RunTools();
    }
    if (faults_stopped_) CheckRecovery();
    Check();
  }
  if (history_.violation.empty() && !finished_)
    ReportViolation("no end, stage " + std::to_string(static_cast<int>(stage_)) + ": " + last_reason_ +
                    DescribeMachines());
  return history_;
}

bool SimulatedCluster::Save(const VoterRecord& record) {
  Machine& m = *saving_;
  CrashPoint();
  if (m.disk_full) {
    ++history_.saves_failed;
    if (Chance(0.3)) m.file = record;  // the record is there, and its position is not
    return false;
  }
  if (OthersCurrent(m) && CrashesHere()) {
    ++history_.torn_writes;
    m.file.reset();
    throw Crashed();
  }
  if (m.file) m.writes_of_file.push_back(*m.file);
  m.file = record;
  CrashPoint();
  m.position = PositionOf(record);
  CrashPoint();
  return true;
}

int SimulatedCluster::UniformUpTo(int most) {
  return static_cast<int>(random_() % static_cast<unsigned>(most + 1));
}

bool SimulatedCluster::Chance(double p) { return static_cast<double>(random_() >> 11) * 0x1p-53 < p; }

TimePoint SimulatedCluster::Clock(const Machine& m) const {
  return TimePoint(Duration(static_cast<std::int64_t>(m.offset + m.rate * now_)));
}

void SimulatedCluster::ReportViolation(const std::string& what) {
  if (history_.violation.empty()) history_.violation = what + " at " + std::to_string(now_) + " ms";
}

std::string SimulatedCluster::DescribeMachines() const {
  std::string text;
  for (const auto& m : machines_) {
    text += "; " + m->name + (m->up ? " role " + std::to_string(static_cast<int>(m->role)) : " down") +
            " term " + std::to_string(m->file ? m->file->term : 0);
    if (m->file)
      text += " file " + std::to_string(m->file->incarnation) + '.' + std::to_string(m->file->serial) +
              (m->file->stale ? " old" : "");
    text += " seal " + std::to_string(m->position->incarnation) + '.' + std::to_string(m->position->serial);
  }
  return text;
}

void SimulatedCluster::Send(const Machine& from, const Machine& to, std::function<void()> arrive) {
  if (from.partition != to.partition) return;
  if (!faults_stopped_ && Chance(0.05 * fault_rate_)) return;
  for (int deliveries = !faults_stopped_ && Chance(0.04 * fault_rate_) ? 2 : 1; deliveries > 0;
       --deliveries) {
    int delay = 1 + UniformUpTo(120);
    if (!faults_stopped_ && Chance(0.04 * fault_rate_))
      delay = UniformUpTo(12'000);  // a message from long ago
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

void SimulatedCluster::Decide(Machine& m,
                              const std::function<void(PermitService&, std::vector<VoterMessage>&)>& act) {
  if (!m.up) return;
  std::vector<VoterMessage> out;
  saving_ = &m;
  const auto send = [&](std::vector<VoterMessage>& messages) {
    for (VoterMessage& message : messages) {
      Machine& to = *machines_[static_cast<std::size_t>(message.to[1] - '0')];
      Send(m, to, [this, &to, message] {
        Decide(to, [&](PermitService& service, auto& more) { service.Receive(message, Clock(to), more); });
      });
    }
  };
  try {
    if (injected_fault_ == InjectedFault::kSentBeforeDurable ||
        injected_fault_ == InjectedFault::kWriteFailureIgnored) {
      PermitService updated = *m.service;
      std::vector<VoterMessage> early;
      act(updated, early);
      if (injected_fault_ == InjectedFault::kSentBeforeDurable) send(early);
      const bool saved = updated.record() == m.service->record() || Save(updated.record());
      if (saved || injected_fault_ == InjectedFault::kWriteFailureIgnored) *m.service = updated;
      if (injected_fault_ == InjectedFault::kWriteFailureIgnored) send(early);
    } else {
      ApplyDurably(*m.service, *this, Clock(m), act, out);
      send(out);
    }
  } catch (const Crashed&) {
    return Crash(m);
  }
  const Voter& voter = m.service->voter();
  if (m.role == Voter::Role::kRejoining && voter.role() == Voter::Role::kFollower) ++history_.rejoins;
  if (voter.role() != m.role && voter.role() == Voter::Role::kEstablishing) {
    if (!winners_.emplace(voter.term(), m.name).second)
      ReportViolation("two won term " + std::to_string(voter.term()));
  }
  if (voter.role() != m.role && voter.role() == Voter::Role::kLeader) CheckWinner(m);
  m.role = voter.role();
  CheckCommitted(m);
}

void SimulatedCluster::CheckWinner(const Machine& m) {
  ++history_.elections;
  const auto at = written_.find(m.service->record().value);
  if ((at == written_.end() ? ValueVersion() : at->second) < committed_) {
    ReportViolation(m.name + " won term " + std::to_string(m.service->voter().term()) +
                    " without what was committed");
  }
}

void SimulatedCluster::CheckCommitted(const Machine& m) {
  const Voter& voter = m.service->voter();
  if (voter.role() != Voter::Role::kEstablishing && voter.role() != Voter::Role::kLeader) return;
  ValueVersion& at = written_[m.service->record().value];
  at = std::max(at, m.service->record().value_version);
  if (voter.committed() > 0) committed_ = std::max(committed_, {voter.term(), voter.committed()});
}

bool SimulatedCluster::HoldsLease(const Machine& m) const {
  if (!m.up) return false;
  if (injected_fault_ == InjectedFault::kLeaseIgnored)
    return m.role == Voter::Role::kLeader && m.service->state() != nullptr;
  return m.service->HoldsLease(Clock(m));
}

void SimulatedCluster::RunMachine(Machine& m) {
  if (!m.up && now_ >= m.back_at) Start(m);
  if (!m.up || now_ < m.paused_until) return;
  Decide(m, [&](PermitService& service, auto& out) { service.Tick(Clock(m), out); });
  if (!m.up || now_ < m.next_poll) return;
  m.next_poll = now_ + 400;
  for (const Change& change : changes_) {
    for (auto& other : machines_) PollPermit(m, *other, change.name);
  }
  if (!m.permit_record.unreported.empty()) ReportBreakGlass(m);
}

void SimulatedCluster::PollPermit(Machine& m, Machine& other, const std::string& change) {
  const auto request_sent = Clock(m);
  Send(m, other, [this, &m, &other, change, request_sent, process = m.process] {
    std::optional<PermitConfirmation> confirmation = other.service->ConfirmPermit(change, Clock(other));
    if (!confirmation && injected_fault_ == InjectedFault::kLeaseIgnored && HoldsLease(other)) {
      FreezeState edited = *other.service->state();
      confirmation = edited.ConfirmPermit(change, Clock(other));
      confirmation->term = other.service->voter().term();
      confirmation->version = other.service->voter().committed();
    }
    Send(other, m,
         [this, &m, confirmation, request_sent, process,
          reason = other.service->LeaderlessReason(Clock(other))] {
           if (m.process != process) return;
           confirmation ? OnConfirmation(
                              m, *confirmation,
                              injected_fault_ == InjectedFault::kValidityFromAnswer ? Clock(m) : request_sent)
                        : m.agent_permits->OnLeaderless(reason);
         });
  });
}

bool SimulatedCluster::SavePermits(Machine& m, const AgentPermits& agent_permits) {
  try {
    CrashPoint();
    if (m.disk_full) return ++history_.saves_failed, false;
    m.permit_record = agent_permits.record();
    CrashPoint();
  } catch (const Crashed&) {
    Crash(m);
    return false;
  }
  *m.agent_permits = agent_permits;
  return true;
}

void SimulatedCluster::OnConfirmation(Machine& m, const PermitConfirmation& confirmation,
                                      TimePoint request_sent) {
  AgentPermits updated = *m.agent_permits;
  if (!updated.OnConfirmation(confirmation, request_sent)) {
    ++history_.late_confirmations;
    if (injected_fault_ == InjectedFault::kStaleConfirmationAccepted)
      *m.agent_permits = AgentPermits(m.name, {}),
      m.agent_permits->OnConfirmation(confirmation, request_sent);
    return;
  }
  if (updated.record() == m.agent_permits->record()) {
    *m.agent_permits = updated;
  } else if (!SavePermits(m, updated)) {
    return;
  }
  m.highest_term = std::max(m.highest_term, confirmation.term);
  m.confirmations.emplace_back(confirmation, request_sent);
  if (m.confirmations.size() > 60) m.confirmations.erase(m.confirmations.begin());
}

void SimulatedCluster::ReportBreakGlass(Machine& m) {
  for (auto& other : machines_) {
    Send(m, *other,
         [this, &m, &other = *other, break_glass = m.permit_record.unreported, process = m.process] {
           if (!HoldsLease(other)) return;
           const std::uint64_t reported = other.service->state()->LastBreakGlassOf(m.name);
           if (reported < break_glass.back().number) {
             Decide(other, [&](PermitService& service, auto& out) {
               service.Change(
                   Clock(other),
                   [&](FreezeState& edited) { return edited.RecordBreakGlass(break_glass), Status(); }, out);
             });
           }
           if (reported == 0) return;
           Send(other, m, [this, &m, reported, process] {
             if (m.process != process) return;
             AgentPermits updated = *m.agent_permits;
             updated.OnBreakGlassReported(reported);
             if (!(updated.record() == m.agent_permits->record())) SavePermits(m, updated);
           });
         });
  }
}

}  // namespace mothrack::change_freeze::testing
