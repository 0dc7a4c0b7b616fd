#include "change_freeze/freeze_state.h"

#include <algorithm>

namespace mothrack::change_freeze {

namespace {

// The effect of one incident on a change, with a human-readable reason.
FreezeState::Evaluation EvaluateIncident(const Incident& incident, ChangeKind kind,
                                         const Footprint& footprint,
                                         const std::set<std::uint64_t>& remedies) {
  Effect effect = EffectOf(kind, RelationOf(footprint, incident.scope), incident.kind);
  std::string reason =
      "incident " + std::to_string(incident.id) + " (" + incident.cause + ", " + incident.owner + ')';
  if (effect == Effect::kRemedy) {
    effect = remedies.contains(incident.id) ? Effect::kAllowed : Effect::kPaused;
    reason += "; a change that remedies it must name it";
  }
  return {effect, std::move(reason)};
}

}  // namespace

FreezeState::Evaluation FreezeState::Evaluate(ChangeKind kind, const Footprint& footprint,
                                              const std::set<std::uint64_t>& remedies) const {
  Evaluation strongest;
  for (const Incident& incident : incidents.all()) {
    if (!incident.IsInForce()) continue;
    Evaluation evaluation = EvaluateIncident(incident, kind, footprint, remedies);
    if (evaluation.effect < strongest.effect) strongest = std::move(evaluation);
  }
  // Report a wrong remedy claim even if no incident blocks or pauses the change.
  for (const std::uint64_t id : remedies) {
    const Incident* incident = incidents.Find(id);
    if (strongest.effect != Effect::kAllowed || incident == nullptr) continue;
    if (EffectOf(kind, RelationOf(footprint, incident->scope), incident->kind) != Effect::kRemedy) {
      strongest = {Effect::kBlocked, "the change is not a remedy of incident " + std::to_string(id)};
    }
  }
  return strongest;
}

void FreezeState::Terminate(Permit& permit, PermitState state, const std::string& reason, TimePoint now) {
  permit.state = state;
  permit.reason = reason;
  if (!permit.ended) permit.ended_at = now;
  permit.ended = true;
}

Permit* FreezeState::FindPermit(const std::string& change) {
  const auto found = std::find_if(permits_.begin(), permits_.end(),
                                  [&](const Permit& permit) { return permit.change == change; });
  return found == permits_.end() ? nullptr : &*found;
}

// Checks the request against the change's own permit and those of others, in the order in which they were
// granted.
Status FreezeState::CheckAgainstPermits(const PermitRequest& request, TimePoint now) {
  Status ending{StatusCode::kPermitEnding, "the change's previous permit may still be in use; ask again"};
  for (Permit& permit : permits_) {
    if (permit.change != request.change) {
      if (MutuallyExclusive(permit.kind, permit.footprint, request.kind, request.footprint))
        return {StatusCode::kExcludedByPermit, permit.change + " has a permit; wait until it ends"};
      continue;
    }
    if (permit.ended) return ending;
    if (permit.kind == request.kind && permit.footprint == request.footprint) continue;
    Terminate(permit, PermitState::kBlocked,
              "the change continues as " + std::string(kChangeKinds[static_cast<int>(request.kind)]), now);
    return ending;
  }
  return {};
}

Status FreezeState::RequestPermit(const PermitRequest& wanted, TimePoint now) {
  PermitRequest request = wanted;
  if (request.footprint.instances.size() > kMaxFootprintInstances) request.footprint.instances.clear();
  Reevaluate(now);
  if (request.change.empty() || request.change.size() > kMaxTextBytes ||
      request.requester.size() > kMaxTextBytes || request.remedies.size() > kMaxIncidents) {
    return {StatusCode::kInvalidRequest, "name the change and its requester, in at most " +
                                             std::to_string(kMaxTextBytes) + " bytes each, and at most " +
                                             std::to_string(kMaxIncidents) + " incidents"};
  }
  const Evaluation evaluation = Evaluate(request.kind, request.footprint, request.remedies);
  if (Status status = CheckAgainstPermits(request, now); !status.ok()) return status;
  if (evaluation.effect != Effect::kAllowed) return {StatusCode::kBlockedByIncident, evaluation.reason};
  if (Permit* own = FindPermit(request.change)) {
    own->batch = std::max(own->batch, request.batch);
    own->remedies = request.remedies;
    own->last_polled = now;
    Reevaluate(now);
    return {};
  }
  if (permits_.size() >= kMaxPermits)
    return {StatusCode::kLimitReached, "there are too many permits; wait until one ends"};
  Permit permit;
  permit.change = request.change;
  permit.kind = request.kind;
  permit.footprint = request.footprint;
  permit.requester = request.requester;
  permit.remedies = request.remedies;
  permit.batch = request.batch;
  permit.ended_at = now;
  permit.last_polled = now;
  permits_.push_back(std::move(permit));
  return {};
}

void FreezeState::EndPermit(const std::string& change, TimePoint now) {
  if (Permit* permit = FindPermit(change))
    Terminate(*permit, PermitState::kNone, "the permit has ended", now);
}

PermitConfirmation FreezeState::ConfirmPermit(const std::string& change, TimePoint now) {
  PermitConfirmation confirmation;
  confirmation.change = change;
  if (Permit* permit = FindPermit(change)) {
    permit->last_polled = now;
    confirmation.kind = permit->kind;
    confirmation.state = permit->state;
    confirmation.batch = permit->batch;
    confirmation.reason = permit->reason;
  }
  return confirmation;
}

void FreezeState::OnCommitted(const FreezeState& before, TimePoint now) {
  for (Permit& permit : permits_) {
    const bool had_ended =
        std::any_of(before.permits_.begin(), before.permits_.end(),
                    [&](const Permit& earlier) { return earlier.change == permit.change && earlier.ended; });
    if (permit.ended && !had_ended) permit.ended_at = now;
  }
}

void FreezeState::Reevaluate(TimePoint now) {
  incidents.ExpireStale(now);
  std::erase_if(permits_, [&](const Permit& permit) {
    return permit.ended && now - permit.ended_at >= Lengthened(kPermitValidity);
  });
  for (Permit& permit : permits_) {
    if (permit.ended) continue;
    if (now - permit.last_polled >= kPermitIdleTimeout) {
      Terminate(permit, PermitState::kNone, "the permit timed out: no agent or tool polled it", now);
      continue;
    }
    // An incident that the change was to fix may have been closed since.
    std::erase_if(permit.remedies, [&](std::uint64_t id) { return incidents.Find(id) == nullptr; });
    const Evaluation evaluation = Evaluate(permit.kind, permit.footprint, permit.remedies);
    permit.reason = evaluation.reason;
    if (evaluation.effect == Effect::kBlocked) {
      Terminate(permit, PermitState::kBlocked, evaluation.reason, now);
    } else {
      permit.state = evaluation.effect == Effect::kPaused ? PermitState::kPaused : PermitState::kRunning;
    }
  }
}

void FreezeState::RecordBreakGlass(const std::vector<BreakGlassRecord>& records) {
  for (const BreakGlassRecord& record : records) {
    std::uint64_t& last = last_break_glass_[record.agent];
    if (record.number <= last) continue;
    last = record.number;
    break_glass_.push_back(record);
  }
  if (break_glass_.size() > kMaxBreakGlassRecords)
    break_glass_.erase(break_glass_.begin(), break_glass_.end() - kMaxBreakGlassRecords);
}

std::uint64_t FreezeState::LastBreakGlassOf(const std::string& agent) const {
  const auto found = last_break_glass_.find(agent);
  return found == last_break_glass_.end() ? 0 : found->second;
}

bool FreezeState::EqualIgnoringTimes(const FreezeState& other) const {
  const auto equal = [](const Permit& a, const Permit& b) {
    return a.change == b.change && a.kind == b.kind && a.batch == b.batch && a.state == b.state &&
           a.ended == b.ended && a.remedies == b.remedies && a.footprint == b.footprint;
  };
  return incidents.EqualIgnoringTimes(other.incidents) && last_break_glass_ == other.last_break_glass_ &&
         std::equal(permits_.begin(), permits_.end(), other.permits_.begin(), other.permits_.end(), equal);
}

}  // namespace mothrack::change_freeze
