// The rules that must hold at each time of a history.
#include <algorithm>

#include "change_freeze/simulated_cluster.h"

namespace mothrack::change_freeze::testing {

bool SimulatedCluster::InForce(const Machine& machine, const Change& change, ChangeKind kind,
                               std::uint32_t batch) const {
  return machine.up && machine.agent_permits->Check(change.name, kind, batch, Clock(machine)).verdict ==
                           AgentPermits::Verdict::kAllowed;
}

void SimulatedCluster::CheckRules() {
  const Machine* leader = nullptr;
  for (const auto& machine : machines_) {
    if (!HoldsLease(*machine)) continue;
    if (leader != nullptr) ReportViolation(leader->name + " and " + machine->name + " both hold the lease");
    leader = machine.get();
    for (const Freeze& freeze : freezes_) {
      if (freeze.committed_at < 0 || freeze.closing) continue;
      const Incident* incident = machine->service->state()->incidents.Find(freeze.id);
      if (incident == nullptr || !incident->IsInForce())
        ReportViolation("incident " + std::to_string(freeze.id) + " is lost");
    }
  }
  std::vector<std::pair<const Change*, ChangeKind>> in_force;
  for (const auto& machine : machines_) {
    for (const Change& change : changes_) {
      for (const ChangeKind kind : change.kinds) {
        if (!InForce(*machine, change, kind, 0)) continue;
        in_force.emplace_back(&change, kind);
        CheckConfirmation(*machine, change, kind);
        for (const Freeze& freeze : freezes_) CheckFreeze(*machine, change, kind, freeze);
      }
    }
  }
  for (const auto& [first, first_kind] : in_force) {
    for (const auto& [second, second_kind] : in_force) {
      if (first == second && first_kind == second_kind) continue;
      if (first == second || MutuallyExclusive(first_kind, first->footprint, second_kind, second->footprint))
        ReportViolation(first->name + " and " + second->name + " are both in force");
    }
  }
}

void SimulatedCluster::CheckConfirmation(const Machine& machine, const Change& change, ChangeKind kind) {
  for (const auto& [confirmation, request_sent] : machine.confirmations) {
    if (confirmation.term == machine.highest_term && confirmation.change == change.name &&
        confirmation.kind == kind && confirmation.state != PermitState::kNone &&
        confirmation.state != PermitState::kBlocked &&
        Clock(machine) < request_sent + Shortened(kPermitValidity)) {
      return;
    }
  }
  ReportViolation(machine.name + " acts for " + change.name + " on an outdated confirmation");
}

void SimulatedCluster::CheckFreeze(const Machine& machine, const Change& change, ChangeKind kind,
                                   const Freeze& freeze) {
  if (freeze.committed_at < 0 || freeze.closing) return;
  const Effect effect = EffectOf(kind, RelationOf(change.footprint, freeze.scope), IncidentKind::kOperator);
  if (effect == Effect::kAllowed || (effect == Effect::kRemedy && change.remedies.contains(freeze.id)))
    return;
  const auto limit = freeze.last_batches.find({change.name, kind});
  const std::int64_t last = limit == freeze.last_batches.end() ? -1 : limit->second;
  if (InForce(machine, change, kind, static_cast<std::uint32_t>(last + 1))) {
    ReportViolation(change.name + " begins batch " + std::to_string(last + 1) + " at " + machine.name +
                    " in incident " + std::to_string(freeze.id));
  }
  if (effect == Effect::kBlocked && now_ > freeze.committed_at + kPermitBound) {
    ReportViolation(change.name + " continues at " + machine.name + " in incident " +
                    std::to_string(freeze.id));
  }
}

}  // namespace mothrack::change_freeze::testing
