#include "change_freeze/freeze_state.h"

#include <algorithm>

namespace mothrack::change_freeze {

FreezeState::Evaluation FreezeState::Evaluate(ChangeKind kind, const Footprint& footprint,
                                              const std::set<std::uint64_t>& remedies) const {
  Evaluation worst;
  for (const Incident& incident : incidents.all()) {
    if (!incident.IsInForce()) continue;
    Effect effect = EffectOf(kind, RelationOf(footprint, incident.scope), incident.kind);
    std::string reason =
        "incident " + std::to_string(incident.id) + " (" + incident.cause + ", " + incident.owner + ')';
    if (effect == Effect::kRemedy) {
      effect = remedies.contains(incident.id) ? Effect::kAllowed : Effect::kPaused;
      reason += "; as its remedy, name it";
    }
    if (effect < worst.effect) worst = {effect, reason};
  }
  // What is no remedy of the incident that it names is told so, also where nothing stands against it.
  for (const std::uint64_t id : remedies) {
    const Incident* incident = incidents.Find(id);
    if (worst.effect != Effect::kAllowed || incident == nullptr) continue;
    if (EffectOf(kind, RelationOf(footprint, incident->scope), incident->kind) != Effect::kRemedy) {
      worst = {Effect::kBlocked, "this is no remedy of incident " + std::to_string(id)};
    }
  }
  return worst;
}

void FreezeState::Terminate(Permit& permit, PermitConfirmation::State state, const std::string& reason,
                            TimePoint now) {
  permit.state = state;
  permit.reason = reason;
  if (!permit.ended) permit.ended_at = now;
  permit.ended = true;
}

std::string FreezeState::RequestPermit(const PermitRequest& wanted, TimePoint now) {
  PermitRequest request = wanted;
  if (request.footprint.instances.size() > kMaxFootprintInstances) request.footprint.instances.clear();
  Reevaluate(now);
  if (request.change.empty() || request.change.size() > kMaxTextBytes || request.who.size() > kMaxTextBytes ||
      request.remedies.size() > kMaxIncidents) {
    return "name the change and who wants it";
  }
  const Evaluation evaluation = Evaluate(request.kind, request.footprint, request.remedies);
  Permit* own = nullptr;
  for (Permit& permit : permits_) {
    if (permit.change == request.change) {
      own = &permit;
      if (permit.ended) return "its former permit is still on its way; ask again";
      if (permit.kind == request.kind && permit.footprint == request.footprint) continue;
      Terminate(permit, PermitConfirmation::State::kBlocked,
                "it goes on as " + std::string(kChangeKinds[static_cast<int>(request.kind)]), now);
      return "its former permit is still on its way; ask again";
    }
    if (MutuallyExclusive(permit.kind, permit.footprint, request.kind, request.footprint))
      return permit.change + " has a permit; wait for its end";
  }
  if (evaluation.effect != Effect::kAllowed) return evaluation.reason;
  if (own != nullptr) {
    own->batch = std::max(own->batch, request.batch);
    own->remedies = request.remedies;
    own->last_polled = now;
    Reevaluate(now);
    return {};
  }
  if (permits_.size() >= kMaxPermits) return "there are too many permits; wait for an end";
  permits_.push_back({request.change,
                      request.kind,
                      request.footprint,
                      request.who,
                      request.remedies,
                      request.batch,
                      PermitConfirmation::State::kRunning,
                      {},
                      false,
                      now,
                      now});
  return {};
}

void FreezeState::EndPermit(const std::string& change, TimePoint now) {
  for (Permit& permit : permits_) {
    if (permit.change == change) Terminate(permit, PermitConfirmation::State::kNone, "it has ended", now);
  }
}

PermitConfirmation FreezeState::ConfirmPermit(const std::string& change, TimePoint now) {
  for (Permit& permit : permits_) {
    if (permit.change != change) continue;
    permit.last_polled = now;
    return {0, 0, change, permit.kind, permit.state, permit.batch, permit.reason};
  }
  return {0, 0, change, ChangeKind::kRestart, PermitConfirmation::State::kNone, 0, {}};
}

void FreezeState::OnCommitted(const FreezeState& before, TimePoint now) {
  for (Permit& permit : permits_) {
    const bool was = std::any_of(before.permits_.begin(), before.permits_.end(),
                                 [&](const Permit& p) { return p.change == permit.change && p.ended; });
    if (permit.ended && !was) permit.ended_at = now;
  }
}

void FreezeState::Reevaluate(TimePoint now) {
  incidents.ExpireStale(now);
  std::erase_if(permits_,
                [&](const Permit& p) { return p.ended && now - p.ended_at >= Lengthened(kPermitValidity); });
  for (Permit& permit : permits_) {
    if (permit.ended) continue;
    if (now - permit.last_polled >= kPermitIdleTimeout) {
      Terminate(permit, PermitConfirmation::State::kNone, "nobody asked for it any more", now);
      continue;
    }
    // An incident that it mended may be closed by now.
    std::erase_if(permit.remedies, [&](std::uint64_t id) { return incidents.Find(id) == nullptr; });
    const Evaluation evaluation = Evaluate(permit.kind, permit.footprint, permit.remedies);
    permit.reason = evaluation.reason;
    if (evaluation.effect == Effect::kBlocked) {
      Terminate(permit, PermitConfirmation::State::kBlocked, evaluation.reason, now);
    } else {
      permit.state = evaluation.effect == Effect::kPaused ? PermitConfirmation::State::kPaused
                                                          : PermitConfirmation::State::kRunning;
    }
  }
}

void FreezeState::RecordBreakGlass(const std::vector<BreakGlassRecord>& break_glass) {
  for (const BreakGlassRecord& one : break_glass) {
    std::uint64_t& last = last_break_glass_[one.agent];
    if (one.number <= last) continue;
    last = one.number;
    break_glass_.push_back(one);
  }
  if (break_glass_.size() > kMaxBreakGlassRecords)
    break_glass_.erase(break_glass_.begin(), break_glass_.end() - kMaxBreakGlassRecords);
}

std::uint64_t FreezeState::LastBreakGlassOf(const std::string& agent) const {
  const auto it = last_break_glass_.find(agent);
  return it == last_break_glass_.end() ? 0 : it->second;
}

bool FreezeState::EqualIgnoringTimes(const FreezeState& other) const {
  const auto equal = [](const Permit& a, const Permit& b) {
    return a.change == b.change && a.kind == b.kind && a.batch == b.batch && a.state == b.state &&
           a.ended == b.ended && a.remedies == b.remedies && a.footprint == b.footprint;
  };
  return incidents.EqualIgnoringTimes(other.incidents) && last_break_glass_ == other.last_break_glass_ &&
         std::equal(permits_.begin(), permits_.end(), other.permits_.begin(), other.permits_.end(), equal);
}

std::string FreezeState::Encode(TimePoint now) const {
  Encoder encoder;
  encoder.Number(1);  // of this form
  incidents.Encode(encoder, now);
  encoder.Number(permits_.size());
  for (const Permit& p : permits_) {
    encoder.Text(p.change);
    encoder.Number(static_cast<std::uint64_t>(p.kind));
    for (const auto* names :
         {&p.footprint.sites, &p.footprint.zones, &p.footprint.generations, &p.footprint.instances}) {
      encoder.Names(*names);
    }
    encoder.Text(p.who);
    encoder.Number(p.remedies.size());
    for (const std::uint64_t id : p.remedies) encoder.Number(id);
    encoder.Number(p.batch);
    encoder.Number(static_cast<std::uint64_t>(p.state));
    encoder.Text(p.reason);
    encoder.Number(p.ended ? 1 : 0);
  }
  encoder.Number(last_break_glass_.size());
  for (const auto& [agent, number] : last_break_glass_) {
    encoder.Text(agent);
    encoder.Number(number);
  }
  encoder.Number(break_glass_.size());
  for (const BreakGlassRecord& g : break_glass_) {
    encoder.Number(g.number);
    for (const auto* text : {&g.agent, &g.change, &g.who, &g.reason}) encoder.Text(*text);
  }
  return encoder.bytes();
}

std::optional<FreezeState> FreezeState::Decode(const std::string& bytes, TimePoint now) {
  FreezeState state;
  if (bytes.empty()) return state;  // of a fleet that was founded just now
  Decoder decoder(bytes);
  if (decoder.Number() != 1 || !state.incidents.Decode(decoder, now)) return std::nullopt;
  for (auto left = decoder.Number(kMaxPermits); left > 0 && decoder.ok(); --left) {
    Permit p;
    p.change = decoder.Text();
    p.kind = static_cast<ChangeKind>(decoder.Number(7));
    for (auto* names :
         {&p.footprint.sites, &p.footprint.zones, &p.footprint.generations, &p.footprint.instances}) {
      *names = decoder.Names();
    }
    p.who = decoder.Text();
    for (auto ids = decoder.Number(kMaxIncidents); ids > 0 && decoder.ok(); --ids)
      p.remedies.insert(decoder.Number());
    p.batch = static_cast<std::uint32_t>(decoder.Number(UINT32_MAX));
    p.state = static_cast<PermitConfirmation::State>(decoder.Number(3));
    p.reason = decoder.Text();
    p.ended = decoder.Number(1) == 1;
    p.ended_at = p.last_polled = now;
    state.permits_.push_back(p);
  }
  for (auto left = decoder.Number(bytes.size()); left > 0 && decoder.ok(); --left) {
    const std::string agent = decoder.Text();
    state.last_break_glass_[agent] = decoder.Number();
  }
  for (auto left = decoder.Number(kMaxBreakGlassRecords); left > 0 && decoder.ok(); --left) {
    BreakGlassRecord g;
    g.number = decoder.Number();
    for (auto* text : {&g.agent, &g.change, &g.who, &g.reason}) *text = decoder.Text();
    state.break_glass_.push_back(g);
  }
  if (!decoder.done()) return std::nullopt;
  return state;
}

}  // namespace mothrack::change_freeze
