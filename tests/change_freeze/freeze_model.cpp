#include "change_freeze/freeze_model.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "change_freeze/change_freeze.h"

namespace mothrack::change_freeze::testing {
namespace {

constexpr int kFaultPeriod = 30'000;     // true ms for which faults come
constexpr int kScriptedPeriod = 10'000;  // the same of a script
constexpr int kRecovery = 100'000;       // and by then all must work again
constexpr int kPermitBound = 2000;

// Thrown through the program's own code: the machine's process dies there.
struct Crashed {};

struct Machine {
  std::string name;
  std::string hall;
  double rate = 1;
  double offset = 0;
  bool up = true;
  int process = 0;  // counts its starts
  int back_at = 0;
  int paused_until = 0;
  bool disk_full = false;
  int group = 0;  // of a partition
  std::optional<VoterRecord> file;
  std::optional<RecordPosition> position;
  std::vector<VoterRecord> copies;
  PermitRecord permit_record;
  std::unique_ptr<PermitService> service;
  std::unique_ptr<AgentPermits> agent_permits;
  Voter::Role role = Voter::Role::kFollower;
  int next_poll = 0;
  // What the book may know, told apart from it: words of this process's life, and the highest term of any.
  std::vector<std::pair<PermitConfirmation, TimePoint>> confirmations;
  Term highest_term = 0;
};

struct Change {
  std::string name;
  std::vector<ChangeKind> kinds;  // the last one is wanted
  Footprint footprint;
  std::set<std::uint64_t> remedies;
  std::uint32_t batch = 0;
  bool done = false;
  Machine* at = nullptr;  // where its question is
  int process = 0;
  PermitService::Receipt receipt;
};

struct Freeze {
  std::uint64_t id = 0;
  Scope scope;
  Machine* at = nullptr;
  int process = 0;
  PermitService::Receipt receipt;
  int acked_at = -1;  // true time
  bool closing = false;
  std::map<std::pair<std::string, ChangeKind>, std::int64_t> limit;  // the last batch that could begin
};

class SimulatedCluster : public RecordStore {
 public:
  SimulatedCluster(std::uint64_t seed, int voters, InjectedFault injected, const Script* script)
      : random_(seed), injected_fault_(injected), script_(script) {
    for (int i = 0; i < voters; ++i) names_.insert("a" + std::to_string(i));
    constexpr double kFaultRates[] = {0.3, 1, 2, 4};
    fault_rate_ = script_ != nullptr ? 0 : kFaultRates[UniformUpTo(3)];
    for (const std::string& name : names_) {
      auto& m = *machines_.emplace_back(std::make_unique<Machine>());
      m.name = name;
      m.hall = machines_.size() % 2 == 1 ? "bole" : "kality";
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

  History Run() {
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
      Violation("no end, stage " + std::to_string(stage_) + ": " + last_reason_ + DescribeMachines());
    return history_;
  }

  bool Save(const VoterRecord& record) override {
    Machine& m = *saving_;
    CrashPoint();
    if (m.disk_full) {
      ++history_.saves_failed;
      if (Chance(0.3)) m.file = record;  // it is there, and its seal is not
      return false;
    }
    if (OthersCurrent(m) && CrashesHere()) {
      ++history_.torn_writes;
      m.file.reset();
      throw Crashed();
    }
    if (m.file) m.copies.push_back(*m.file);
    m.file = record;
    CrashPoint();
    m.position = PositionOf(record);
    CrashPoint();
    return true;
  }

 private:
  int UniformUpTo(int most) { return static_cast<int>(random_() % static_cast<unsigned>(most + 1)); }
  bool Chance(double p) { return static_cast<double>(random_() >> 11) * 0x1p-53 < p; }
  TimePoint Clock(const Machine& m) const {
    return TimePoint(Duration(static_cast<std::int64_t>(m.offset + m.rate * now_)));
  }
  void Violation(const std::string& what) {
    if (history_.violation.empty()) history_.violation = what + " at " + std::to_string(now_) + " ms";
  }

  std::string DescribeMachines() const {
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

  // ---- Faults ----

  bool CrashesHere() {
    if (script_ == nullptr) return !faults_stopped_ && Chance(0.004 * fault_rate_);
    const int point = history_.crash_points++;
    return point == script_->crash_at || point == script_->then_crash_at;
  }
  void CrashPoint() {
    if (CrashesHere()) throw Crashed();
  }

  void InjectFaults() {
    for (auto& m : machines_) {
      if (m->up && Chance(0.0004 * fault_rate_)) Crash(*m);
      if (m->up && now_ >= m->paused_until && Chance(0.0004 * fault_rate_)) Pause(*m);
      // The one that leads, for longer than its lease.
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
      for (auto& m : machines_) m->group = Chance(0.6) ? 0 : UniformUpTo(2);
    } else if (Chance(0.01)) {
      for (auto& m : machines_) m->group = 0;
    }
  }

  // What harms only together. Half of the rest hears nothing while the coordinator and the others go on;
  // those come back with what they had before, as the coordinator falls silent. Or: it is cut off, and all
  // others start anew at once.
  void InjectCombinedFault() {
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
      leader->group = 1;
      for (Machine* m : rest) restart(*m, false);
      return;
    }
    const std::vector<Machine*> unreachable(rest.begin(),
                                            rest.begin() + static_cast<std::ptrdiff_t>(rest.size() / 2));
    rest.erase(rest.begin(), rest.begin() + static_cast<std::ptrdiff_t>(unreachable.size()));
    for (Machine* m : unreachable) m->group = 1;
    scheduled_faults_.emplace(now_ + 600 + UniformUpTo(1500), [this, leader, unreachable, rest, restart] {
      const bool sound = OthersCurrent(*rest.front());
      for (Machine* m : rest) restart(*m, sound);
      for (Machine* m : unreachable) m->group = 0;
      if (leader->up) Pause(*leader);
    });
  }

  void Pause(Machine& m) {
    ++history_.pauses;
    if (m.role == Voter::Role::kLeader) ++history_.leaders_paused;
    m.paused_until = now_ + 500 + UniformUpTo(8000);
  }

  bool OthersCurrent(const Machine& m) const {
    return std::all_of(machines_.begin(), machines_.end(), [&](const auto& o) {
      if (o.get() == &m) return true;
      if (!o->file || o->file->stale || PositionOf(*o->file) < *o->position ||
          (o->up && o->role == Voter::Role::kRejoining))
        return false;
      // One that asked to join, and whose present file was put back then, has yet to learn that it must.
      return std::all_of(machines_.begin(), machines_.end(), [&](const auto& p) {
        return !p->file || !p->file->incarnations.contains(o->name) ||
               p->file->incarnations.at(o->name) <= o->file->incarnation;
      });
    });
  }

  void Crash(Machine& m, bool stale_copy = false) {
    ++history_.crashes;
    m.up = false;
    m.service.reset();
    m.agent_permits.reset();
    m.back_at = now_ + (script_ != nullptr ? 1000 : UniformUpTo(6000));
    // With nothing amiss with the others' files: of three, two that are lost wait for an operator
    // (docs/design/freeze.md).
    const bool others_current = OthersCurrent(m);
    const bool stale = script_ != nullptr ? script_->stale_copy : Chance(0.3);
    if (!(stale && others_current) && !stale_copy) return;
    if (m.copies.size() < 2) return;
    ++history_.stale_copies;
    m.file = m.copies[m.copies.size() - 2 -
                      (script_ != nullptr ? 0 : UniformUpTo(static_cast<int>(m.copies.size()) - 2))];
  }

  void Start(Machine& m) {
    m.up = true;
    ++m.process;
    m.offset = UniformUpTo(100'000);  // a steady clock of a machine that was started anew is another one
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

  void StopFaults() {
    faults_stopped_ = true;
    since_ = now_;
    for (auto& m : machines_) {
      m->disk_full = false;
      m->group = 0;
      m->paused_until = std::min(m->paused_until, now_);
      if (!m->up) m->back_at = now_;
    }
  }

  // ---- Messages ----

  void Send(const Machine& from, const Machine& to, std::function<void()> arrive) {
    if (from.group != to.group) return;
    if (!faults_stopped_ && Chance(0.05 * fault_rate_)) return;
    for (int copies = !faults_stopped_ && Chance(0.04 * fault_rate_) ? 2 : 1; copies > 0; --copies) {
      int delay = 1 + UniformUpTo(120);
      if (!faults_stopped_ && Chance(0.04 * fault_rate_)) delay = UniformUpTo(12'000);  // from long ago
      messages_.emplace(now_ + delay, std::pair(const_cast<Machine*>(&to), arrive));
    }
  }

  void Deliver() {
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

  void Decide(Machine& m, const std::function<void(PermitService&, std::vector<VoterMessage>&)>& act) {
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
        PermitService copy = *m.service;
        std::vector<VoterMessage> early;
        act(copy, early);
        if (injected_fault_ == InjectedFault::kSentBeforeDurable) send(early);
        const bool saved = copy.record() == m.service->record() || Save(copy.record());
        if (saved || injected_fault_ == InjectedFault::kWriteFailureIgnored) *m.service = copy;
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
        Violation("two won term " + std::to_string(voter.term()));
    }
    if (voter.role() != m.role && voter.role() == Voter::Role::kLeader) CheckWinner(m);
    m.role = voter.role();
    CheckCommitted(m);
  }

  // ---- The register ----

  // Whoever wins has read what was committed, or what was written after it.
  void CheckWinner(const Machine& m) {
    ++history_.elections;
    const auto at = written_.find(m.service->record().value);
    if ((at == written_.end() ? ValueVersion() : at->second) < committed_) {
      Violation(m.name + " won term " + std::to_string(m.service->voter().term()) +
                " without what was committed");
    }
  }

  void CheckCommitted(const Machine& m) {
    const Voter& voter = m.service->voter();
    if (voter.role() != Voter::Role::kEstablishing && voter.role() != Voter::Role::kLeader) return;
    ValueVersion& at = written_[m.service->record().value];
    at = std::max(at, m.service->record().value_version);
    if (voter.committed() > 0) committed_ = std::max(committed_, {voter.term(), voter.committed()});
  }

  // ---- A machine ----

  bool HoldsLease(const Machine& m) const {
    if (!m.up) return false;
    if (injected_fault_ == InjectedFault::kLeaseIgnored)
      return m.role == Voter::Role::kLeader && m.service->state() != nullptr;
    return m.service->HoldsLease(Clock(m));
  }

  void RunMachine(Machine& m) {
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

  void PollPermit(Machine& m, Machine& other, const std::string& change) {
    const auto request_sent = Clock(m);
    Send(m, other, [this, &m, &other, change, request_sent, process = m.process] {
      std::optional<PermitConfirmation> confirmation = other.service->ConfirmPermit(change, Clock(other));
      if (!confirmation && injected_fault_ == InjectedFault::kLeaseIgnored && HoldsLease(other)) {
        FreezeState working_copy = *other.service->state();
        confirmation = working_copy.ConfirmPermit(change, Clock(other));
        confirmation->term = other.service->voter().term();
        confirmation->version = other.service->voter().committed();
      }
      Send(other, m,
           [this, &m, confirmation, request_sent, process,
            reason = other.service->LeaderlessReason(Clock(other))] {
             if (m.process != process) return;
             confirmation
                 ? OnConfirmation(
                       m, *confirmation,
                       injected_fault_ == InjectedFault::kValidityFromAnswer ? Clock(m) : request_sent)
                 : m.agent_permits->OnLeaderless(reason);
           });
    });
  }

  bool SavePermits(Machine& m, const AgentPermits& agent_permits) {
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

  void OnConfirmation(Machine& m, const PermitConfirmation& confirmation, TimePoint request_sent) {
    AgentPermits copy = *m.agent_permits;
    if (!copy.OnConfirmation(confirmation, request_sent)) {
      ++history_.late_confirmations;
      if (injected_fault_ == InjectedFault::kStaleConfirmationAccepted)
        *m.agent_permits = AgentPermits(m.name, {}),
        m.agent_permits->OnConfirmation(confirmation, request_sent);
      return;
    }
    if (copy.record() == m.agent_permits->record()) {
      *m.agent_permits = copy;
    } else if (!SavePermits(m, copy)) {
      return;
    }
    m.highest_term = std::max(m.highest_term, confirmation.term);
    m.confirmations.emplace_back(confirmation, request_sent);
    if (m.confirmations.size() > 60) m.confirmations.erase(m.confirmations.begin());
  }

  void ReportBreakGlass(Machine& m) {
    for (auto& other : machines_) {
      Send(m, *other,
           [this, &m, &other = *other, break_glass = m.permit_record.unreported, process = m.process] {
             if (!HoldsLease(other)) return;
             const std::uint64_t reported = other.service->state()->LastBreakGlassOf(m.name);
             if (reported < break_glass.back().number) {
               Decide(other, [&](PermitService& service, auto& out) {
                 service.Change(
                     Clock(other),
                     [&](FreezeState& working_copy) {
                       return working_copy.RecordBreakGlass(break_glass), Status();
                     },
                     out);
               });
             }
             if (reported == 0) return;
             Send(other, m, [this, &m, reported, process] {
               if (m.process != process) return;
               AgentPermits copy = *m.agent_permits;
               copy.OnBreakGlassReported(reported);
               if (!(copy.record() == m.agent_permits->record())) SavePermits(m, copy);
             });
           });
    }
  }

  // ---- Operators ----

  Machine* Leader() {
    for (auto& m : machines_) {
      if (now_ >= m->paused_until && HoldsLease(*m)) return m.get();
    }
    return nullptr;
  }

  void RunOperators() {
    Machine* leader = Leader();
    if (leader != nullptr && freezes_.size() < 12 && Chance(script_ != nullptr ? 0.01 : 0.015)) Open(*leader);
    for (Freeze& freeze : freezes_) PollFreeze(freeze);
    if (leader != nullptr && !freezes_.empty() && Chance(0.01)) {
      Freeze& freeze = freezes_[static_cast<std::size_t>(UniformUpTo(static_cast<int>(freezes_.size()) - 1))];
      if (freeze.acked_at >= 0) Close(*leader, freeze);
    }
    if (leader != nullptr && Chance(0.02)) {
      const Evidence evidence{IncidentKind::kRejections,
                              {Scope::Kind::kSite, {Chance(0.5) ? "bole" : "kality"}},
                              UniformUpTo(100) / 200.0,
                              kRejectionsOpenAfter};
      Decide(*leader,
             [&](PermitService& service, auto& out) { service.OnEvidence(evidence, Clock(*leader), out); });
    }
    Machine& m = *machines_[static_cast<std::size_t>(UniformUpTo(static_cast<int>(machines_.size()) - 1))];
    if (m.up && now_ >= m.paused_until && Chance(0.001)) {
      AgentPermits copy = *m.agent_permits;
      if (copy.BreakGlass({"c9", "ann", OperatorRole::kOperator, "a test"}, Clock(m)).ok() &&
          SavePermits(m, copy))
        ++history_.break_glass;
    }
  }

  void Open(Machine& leader) {
    Freeze freeze;
    if (Chance(0.7)) freeze.scope = {Scope::Kind::kSite, {Chance(0.5) ? "bole" : "kality"}};
    freeze.at = &leader;
    freeze.process = leader.process;
    Decide(leader, [&](PermitService& service, auto& out) {
      freeze.receipt = service.Change(
          Clock(leader),
          [&](FreezeState& working_copy) {
            const IncidentResult opened =
                working_copy.incidents.Open(freeze.scope, "a test", "ann", Duration(20'000), Clock(leader));
            freeze.id = opened.id;
            return opened.status;
          },
          out);
    });
    if (leader.process == freeze.process && freeze.receipt.version > 0) freezes_.push_back(freeze);
  }

  // Has it been decided? Then it counts from now on.
  void PollFreeze(Freeze& freeze) {
    Machine& m = *freeze.at;
    if (freeze.acked_at >= 0 || !m.up || m.process != freeze.process || now_ < m.paused_until) return;
    if (!m.service->IsCommitted(freeze.receipt)) return;
    ++history_.freezes;
    freeze.acked_at = now_;
    for (const Permit& permit : m.service->state()->permits()) {
      freeze.limit[{permit.change, permit.kind}] = permit.batch;
      if (permit.state == PermitState::kPaused) ++history_.paused;
      if (permit.state == PermitState::kBlocked) ++history_.blocked;
    }
  }

  void Close(Machine& leader, Freeze& freeze) {
    for (Freeze& other : freezes_) other.closing = other.closing || other.id == freeze.id;
    Decide(leader, [&](PermitService& service, auto& out) {
      service.Change(
          Clock(leader),
          [&](FreezeState& working_copy) {
            return working_copy.incidents.Close(freeze.id, Clock(leader)), Status();
          },
          out);
    });
  }

  // ---- Tools ----

  void RunTools() {
    Machine* leader = Leader();
    for (Change& change : changes_) {
      if (leader == nullptr || change.done || !Chance(0.05)) continue;
      if (change.at != nullptr && change.at->up && change.at->process == change.process &&
          change.at->service->IsCommitted(change.receipt)) {
        change.at = nullptr;
        ++change.batch;
      }
      if (Chance(0.02)) {
        Decide(*leader, [&](PermitService& service, auto& out) {
          service.Change(
              Clock(*leader),
              [&](FreezeState& l) { return l.EndPermit(change.name, Clock(*leader)), Status(); }, out);
        });
        continue;
      }
      if (Chance(0.05) && change.kinds.back() != ChangeKind::kUndo) {
        change.kinds.push_back(ChangeKind::kUndo);
        change.batch = 0;
        for (const Freeze& freeze : freezes_) change.remedies.insert(freeze.id);
      }
      RequestPermit(*leader, change);
    }
  }

  void RequestPermit(Machine& leader, Change& change) {
    change.at = &leader;
    change.process = leader.process;
    Decide(leader, [&](PermitService& service, auto& out) {
      change.receipt = service.Change(
          Clock(leader),
          [&](FreezeState& working_copy) {
            return working_copy.RequestPermit(
                {change.name, change.kinds.back(), change.footprint, "bob", change.remedies, change.batch},
                Clock(leader));
          },
          out);
      if (!change.receipt.status.ok()) last_reason_ = change.receipt.status.message;
    });
  }

  // ---- The end ----

  // With no further fault: an incident and a change come through, and nobody acts against the last freeze.
  void CheckRecovery() {
    Machine* leader = Leader();
    if (leader == nullptr) {
      last_reason_ = "nobody leads";
      return;
    }
    const FreezeState& state = *leader->service->state();
    Change& last = changes_.back();
    if (stage_ == 0) {
      for (Freeze& freeze : freezes_) freeze.closing = true;
      for (Change& change : changes_) change.done = true;
      // What was on its way may still come in.
      if (!state.incidents.all().empty() || !state.permits().empty()) since_ = now_;
      if (now_ > since_ + 1500) {
        stage_ = 1;
        last = {};
        last.name = "last";
        last.kinds = {ChangeKind::kRestart};
        last.footprint.sites = {"bole"};
      } else {
        Decide(*leader, [&](PermitService& service, auto& out) {
          service.Change(
              Clock(*leader),
              [&](FreezeState& working_copy) {
                for (const Incident& i : std::vector<Incident>(state.incidents.all())) {
                  if (i.state != IncidentState::kMuted) working_copy.incidents.Close(i.id, Clock(*leader));
                }
                for (const Change& change : changes_) working_copy.EndPermit(change.name, Clock(*leader));
                return Status();
              },
              out);
        });
        last_reason_ = "what is left does not go";
      }
    } else if (stage_ == 1) {
      const auto& permits = state.permits();
      if (!state.incidents.all().empty() || (!permits.empty() && permits.front().change != "last")) {
        stage_ = 0;  // of before the calm, read by a new coordinator
        since_ = now_;
        return;
      }
      RequestPermit(*leader, last);
      const bool all = std::all_of(machines_.begin(), machines_.end(), [&](const auto& m) {
        return m->up &&
               m->agent_permits->Check("last", ChangeKind::kRestart, 0, Clock(*m)).verdict ==
                   AgentPermits::Verdict::kAllowed &&
               m->permit_record.unreported.empty() && m->role != Voter::Role::kRejoining;
      });
      if (all) stage_ = 2;
    } else {
      if (stage_ == 2) {
        Open(*leader);
        since_ = now_;
      }
      if (freezes_.empty()) return;
      PollFreeze(freezes_.back());
      stage_ = 3;
      if (freezes_.back().closing || (freezes_.back().acked_at < 0 && now_ > since_ + 2000)) stage_ = 2;
      finished_ = freezes_.back().acked_at >= 0 && !freezes_.back().closing &&
                  now_ > freezes_.back().acked_at + kPermitBound + 200;
    }
  }

  // ---- Rules ----

  bool InForce(const Machine& m, const Change& change, ChangeKind kind, std::uint32_t batch) const {
    return m.up && m.agent_permits->Check(change.name, kind, batch, Clock(m)).verdict ==
                       AgentPermits::Verdict::kAllowed;
  }

  void Check() {
    const Machine* leader = nullptr;
    for (const auto& m : machines_) {
      if (!HoldsLease(*m)) continue;
      if (leader != nullptr) Violation(leader->name + " and " + m->name + " both lead");
      leader = m.get();
      for (const Freeze& freeze : freezes_) {
        if (freeze.acked_at < 0 || freeze.closing) continue;
        const Incident* incident = m->service->state()->incidents.Find(freeze.id);
        if (incident == nullptr || !incident->IsInForce())
          Violation("incident " + std::to_string(freeze.id) + " is lost");
      }
    }
    std::vector<std::pair<const Change*, ChangeKind>> force;
    for (const auto& m : machines_) {
      for (const Change& change : changes_) {
        for (const ChangeKind kind : change.kinds) {
          if (!InForce(*m, change, kind, 0)) continue;
          force.emplace_back(&change, kind);
          CheckConfirmation(*m, change, kind);
          for (const Freeze& freeze : freezes_) CheckFreeze(*m, change, kind, freeze);
        }
      }
    }
    for (const auto& [a, ak] : force) {
      for (const auto& [b, bk] : force) {
        if (a == b && ak == bk) continue;
        if (a == b || MutuallyExclusive(ak, a->footprint, bk, b->footprint))
          Violation(a->name + " and " + b->name + " are both in force");
      }
    }
  }

  // There is a word of the highest term that this agent ever heard, and its question is not too old.
  void CheckConfirmation(const Machine& m, const Change& change, ChangeKind kind) {
    for (const auto& [confirmation, request_sent] : m.confirmations) {
      if (confirmation.term == m.highest_term && confirmation.change == change.name &&
          confirmation.kind == kind && confirmation.state != PermitState::kNone &&
          confirmation.state != PermitState::kBlocked &&
          Clock(m) < request_sent + Shortened(kPermitValidity)) {
        return;
      }
    }
    Violation(m.name + " acts for " + change.name + " by an older word");
  }

  void CheckFreeze(const Machine& m, const Change& change, ChangeKind kind, const Freeze& freeze) {
    if (freeze.acked_at < 0 || freeze.closing) return;
    const Effect effect = EffectOf(kind, RelationOf(change.footprint, freeze.scope), IncidentKind::kOperator);
    if (effect == Effect::kAllowed || (effect == Effect::kRemedy && change.remedies.contains(freeze.id)))
      return;
    const auto limit = freeze.limit.find({change.name, kind});
    const std::int64_t last = limit == freeze.limit.end() ? -1 : limit->second;
    if (InForce(m, change, kind, static_cast<std::uint32_t>(last + 1))) {
      Violation(change.name + " begins batch " + std::to_string(last + 1) + " at " + m.name +
                " in incident " + std::to_string(freeze.id));
    }
    if (effect == Effect::kBlocked && now_ > freeze.acked_at + kPermitBound) {
      Violation(change.name + " goes on at " + m.name + " in incident " + std::to_string(freeze.id));
    }
  }

  std::mt19937_64 random_;
  const InjectedFault injected_fault_;
  const Script* script_;
  double fault_rate_ = 1;
  int now_ = 0;
  bool faults_stopped_ = false;
  bool finished_ = false;
  int stage_ = 0;
  std::string last_reason_;
  std::set<std::string> names_;
  std::vector<std::unique_ptr<Machine>> machines_;
  Machine* saving_ = nullptr;
  std::multimap<int, std::pair<Machine*, std::function<void()>>> messages_;
  std::multimap<int, std::function<void()>> scheduled_faults_;
  std::vector<Change> changes_;
  std::vector<Freeze> freezes_;
  int since_ = 0;  // of what Finish() waits for
  std::map<Term, std::string> winners_;
  std::map<std::string, ValueVersion> written_;
  ValueVersion committed_;
  History history_;
};

}  // namespace

History RunHistory(std::uint64_t seed, int voters, InjectedFault injected) {
  return SimulatedCluster(seed, voters, injected, nullptr).Run();
}
History RunHistory(std::uint64_t seed, int voters, const Script& script) {
  return SimulatedCluster(seed, voters, InjectedFault::kNothing, &script).Run();
}

}  // namespace mothrack::change_freeze::testing
