// Operators who open and close incidents, tools that request permits, and the recovery at the end.
#include <algorithm>

#include "change_freeze/simulated_cluster.h"

namespace mothrack::change_freeze::testing {

Machine* SimulatedCluster::Leader() {
  for (auto& machine : machines_) {
    if (now_ >= machine->paused_until && HoldsLease(*machine)) return machine.get();
  }
  return nullptr;
}

void SimulatedCluster::RunOperators() {
  Machine* leader = Leader();
  if (leader != nullptr && freezes_.size() < 12 && Chance(script_ != nullptr ? 0.01 : 0.015)) Open(*leader);
  for (Freeze& freeze : freezes_) PollFreeze(freeze);
  if (leader != nullptr && !freezes_.empty() && Chance(0.01)) {
    Freeze& freeze = freezes_[static_cast<std::size_t>(UniformUpTo(static_cast<int>(freezes_.size()) - 1))];
    if (freeze.committed_at >= 0) Close(*leader, freeze);
  }
  if (leader != nullptr && Chance(0.02)) {
    Evidence evidence;
    evidence.kind = IncidentKind::kRejections;
    evidence.scope.kind = Scope::Kind::kSite;
    evidence.scope.names = {Chance(0.5) ? "bole" : "kality"};
    evidence.level = UniformUpTo(100) / 200.0;
    evidence.sustained = kRejectionsOpenAfter;
    Decide(*leader,
           [&](PermitService& service, auto& out) { service.OnEvidence(evidence, Clock(*leader), out); });
  }
  Machine& machine =
      *machines_[static_cast<std::size_t>(UniformUpTo(static_cast<int>(machines_.size()) - 1))];
  if (machine.up && now_ >= machine.paused_until && Chance(0.001)) {
    AgentPermits updated = *machine.agent_permits;
    if (updated.BreakGlass({"c9", "ann", OperatorRole::kOperator, "a test"}, Clock(machine)).ok() &&
        SavePermits(machine, updated))
      ++history_.break_glass;
  }
}

void SimulatedCluster::Open(Machine& leader) {
  Freeze freeze;
  if (Chance(0.7)) freeze.scope = {Scope::Kind::kSite, {Chance(0.5) ? "bole" : "kality"}};
  freeze.sent_to = &leader;
  freeze.process = leader.process;
  Decide(leader, [&](PermitService& service, auto& out) {
    freeze.receipt = service.Change(
        Clock(leader),
        [&](FreezeState& edited) {
          const IncidentResult opened =
              edited.incidents.Open(freeze.scope, "a test", "ann", Duration(20'000), Clock(leader));
          freeze.id = opened.id;
          return opened.status;
        },
        out);
  });
  if (leader.process == freeze.process && freeze.receipt.version > 0) freezes_.push_back(freeze);
}

void SimulatedCluster::PollFreeze(Freeze& freeze) {
  Machine& machine = *freeze.sent_to;
  if (freeze.committed_at >= 0 || !machine.up || machine.process != freeze.process ||
      now_ < machine.paused_until)
    return;
  if (!machine.service->IsCommitted(freeze.receipt)) return;
  ++history_.freezes;
  freeze.committed_at = now_;
  for (const Permit& permit : machine.service->state()->permits()) {
    freeze.last_batches[{permit.change, permit.kind}] = permit.batch;
    if (permit.state == PermitState::kPaused) ++history_.permits_paused;
    if (permit.state == PermitState::kBlocked) ++history_.permits_blocked;
  }
}

void SimulatedCluster::Close(Machine& leader, Freeze& freeze) {
  for (Freeze& other : freezes_) other.closing = other.closing || other.id == freeze.id;
  Decide(leader, [&](PermitService& service, auto& out) {
    service.Change(
        Clock(leader),
        [&](FreezeState& edited) { return edited.incidents.Close(freeze.id, Clock(leader)), Status(); }, out);
  });
}

void SimulatedCluster::RunTools() {
  Machine* leader = Leader();
  for (Change& change : changes_) {
    if (leader == nullptr || change.done || !Chance(0.05)) continue;
    if (change.sent_to != nullptr && change.sent_to->up && change.sent_to->process == change.process &&
        change.sent_to->service->IsCommitted(change.receipt)) {
      change.sent_to = nullptr;
      ++change.batch;
    }
    if (Chance(0.02)) {
      Decide(*leader, [&](PermitService& service, auto& out) {
        service.Change(
            Clock(*leader),
            [&](FreezeState& edited) { return edited.EndPermit(change.name, Clock(*leader)), Status(); },
            out);
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

void SimulatedCluster::RequestPermit(Machine& leader, Change& change) {
  change.sent_to = &leader;
  change.process = leader.process;
  Decide(leader, [&](PermitService& service, auto& out) {
    change.receipt = service.Change(
        Clock(leader),
        [&](FreezeState& edited) {
          return edited.RequestPermit(
              {change.name, change.kinds.back(), change.footprint, "bob", change.remedies, change.batch},
              Clock(leader));
        },
        out);
    if (!change.receipt.status.ok()) last_reason_ = change.receipt.status.message;
  });
}

void SimulatedCluster::CheckRecovery() {
  Machine* leader = Leader();
  if (leader == nullptr) {
    last_reason_ = "there is no leader";
    return;
  }
  switch (stage_) {
    case RecoveryStage::kDraining:
      return AwaitDrained(*leader);
    case RecoveryStage::kPermitting:
      return AwaitPermit(*leader);
    case RecoveryStage::kFreezing:
    case RecoveryStage::kConfirming:
      return AwaitFreeze(*leader);
  }
}

void SimulatedCluster::AwaitDrained(Machine& leader) {
  const FreezeState& state = *leader.service->state();
  for (Freeze& freeze : freezes_) freeze.closing = true;
  for (Change& change : changes_) change.done = true;
  // Requests in flight may still take effect.
  if (!state.incidents.all().empty() || !state.permits().empty()) stage_since_ = now_;
  if (now_ > stage_since_ + 1500) {
    stage_ = RecoveryStage::kPermitting;
    Change& last = changes_.back();
    last = {};
    last.name = "last";
    last.kinds = {ChangeKind::kRestart};
    last.footprint.sites = {"bole"};
    return;
  }
  const auto end_all = [&](FreezeState& edited) {
    for (const Incident& incident : std::vector<Incident>(state.incidents.all())) {
      if (incident.state != IncidentState::kMuted) edited.incidents.Close(incident.id, Clock(leader));
    }
    for (const Change& change : changes_) edited.EndPermit(change.name, Clock(leader));
    return Status();
  };
  Decide(leader, [&](PermitService& service, auto& out) { service.Change(Clock(leader), end_all, out); });
  last_reason_ = "earlier incidents or permits remain";
}

void SimulatedCluster::AwaitPermit(Machine& leader) {
  const FreezeState& state = *leader.service->state();
  const auto& permits = state.permits();
  if (!state.incidents.all().empty() || (!permits.empty() && permits.front().change != "last")) {
    stage_ = RecoveryStage::kDraining;  // a new leader has read earlier incidents or permits
    stage_since_ = now_;
    return;
  }
  RequestPermit(leader, changes_.back());
  const bool permitted_everywhere = std::all_of(machines_.begin(), machines_.end(), [&](const auto& machine) {
    return machine->up &&
           machine->agent_permits->Check("last", ChangeKind::kRestart, 0, Clock(*machine)).verdict ==
               AgentPermits::Verdict::kAllowed &&
           machine->permit_record.unreported.empty() && machine->role != Voter::Role::kRejoining;
  });
  if (permitted_everywhere) stage_ = RecoveryStage::kFreezing;
}

void SimulatedCluster::AwaitFreeze(Machine& leader) {
  if (stage_ == RecoveryStage::kFreezing) {
    Open(leader);
    stage_since_ = now_;
  }
  if (freezes_.empty()) return;
  Freeze& freeze = freezes_.back();
  PollFreeze(freeze);
  const bool must_reopen = freeze.closing || (freeze.committed_at < 0 && now_ > stage_since_ + 2000);
  stage_ = must_reopen ? RecoveryStage::kFreezing : RecoveryStage::kConfirming;
  finished_ = freeze.committed_at >= 0 && !freeze.closing && now_ > freeze.committed_at + kPermitBound + 200;
}

}  // namespace mothrack::change_freeze::testing
