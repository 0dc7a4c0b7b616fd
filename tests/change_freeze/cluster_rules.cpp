// What must hold at each moment of a history.
#include <algorithm>

#include "change_freeze/simulated_cluster.h"

namespace mothrack::change_freeze::testing {

bool SimulatedCluster::InForce(const Machine& m, const Change& change, ChangeKind kind,
                               std::uint32_t batch) const {
  return m.up && m.agent_permits->Check(change.name, kind, batch, Clock(m)).verdict ==
                     AgentPermits::Verdict::kAllowed;
}

void SimulatedCluster::Check() {
  const Machine* leader = nullptr;
  for (const auto& m : machines_) {
    if (!HoldsLease(*m)) continue;
    if (leader != nullptr) ReportViolation(leader->name + " and " + m->name + " both lead");
    leader = m.get();
    for (const Freeze& freeze : freezes_) {
      if (freeze.acked_at < 0 || freeze.closing) continue;
      const Incident* incident = m->service->state()->incidents.Find(freeze.id);
      if (incident == nullptr || !incident->IsInForce())
        ReportViolation("incident " + std::to_string(freeze.id) + " is lost");
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
        ReportViolation(a->name + " and " + b->name + " are both in force");
    }
  }
}

void SimulatedCluster::CheckConfirmation(const Machine& m, const Change& change, ChangeKind kind) {
  for (const auto& [confirmation, request_sent] : m.confirmations) {
    if (confirmation.term == m.highest_term && confirmation.change == change.name &&
        confirmation.kind == kind && confirmation.state != PermitState::kNone &&
        confirmation.state != PermitState::kBlocked && Clock(m) < request_sent + Shortened(kPermitValidity)) {
      return;
    }
  }
  ReportViolation(m.name + " acts for " + change.name + " by an older word");
}

void SimulatedCluster::CheckFreeze(const Machine& m, const Change& change, ChangeKind kind,
                                   const Freeze& freeze) {
  if (freeze.acked_at < 0 || freeze.closing) return;
  const Effect effect = EffectOf(kind, RelationOf(change.footprint, freeze.scope), IncidentKind::kOperator);
  if (effect == Effect::kAllowed || (effect == Effect::kRemedy && change.remedies.contains(freeze.id)))
    return;
  const auto limit = freeze.limit.find({change.name, kind});
  const std::int64_t last = limit == freeze.limit.end() ? -1 : limit->second;
  if (InForce(m, change, kind, static_cast<std::uint32_t>(last + 1))) {
    ReportViolation(change.name + " begins batch " + std::to_string(last + 1) + " at " + m.name +
                    " in incident " + std::to_string(freeze.id));
  }
  if (effect == Effect::kBlocked && now_ > freeze.acked_at + kPermitBound) {
    ReportViolation(change.name + " goes on at " + m.name + " in incident " + std::to_string(freeze.id));
  }
}

}  // namespace mothrack::change_freeze::testing
