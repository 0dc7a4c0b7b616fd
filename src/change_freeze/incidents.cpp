#include "change_freeze/incidents.h"

#include <algorithm>
#include <utility>

namespace mothrack::change_freeze {

using State = Incident::State;

Severity SeverityOf(const Evidence& e) {
  switch (e.kind) {
    case IncidentKind::kZoneLeft:
      return e.level >= 1 ? Severity::kFiring : e.level > 0 ? Severity::kIndeterminate : Severity::kClear;
    case IncidentKind::kCrashLoop:
      return e.level >= kCrashLoopMinSites ? Severity::kFiring
             : e.level > 0                 ? Severity::kIndeterminate
                                           : Severity::kClear;
    case IncidentKind::kRejections:
      if (e.level >= kRejectionsOpenRatio && e.sustained >= kRejectionsOpenAfter) return Severity::kFiring;
      return e.level > kRejectionsCalmRatio ? Severity::kIndeterminate : Severity::kClear;
    case IncidentKind::kOperator:
      break;
  }
  return Severity::kIndeterminate;
}

Incident* Incidents::FindByScope(IncidentKind kind, const Scope& scope) {
  const auto it = std::find_if(all_.begin(), all_.end(),
                               [&](const Incident& i) { return i.kind == kind && i.scope == scope; });
  return it == all_.end() ? nullptr : &*it;
}

const Incident* Incidents::Find(std::uint64_t id) const {
  const auto it = std::find_if(all_.begin(), all_.end(), [&](const Incident& i) { return i.id == id; });
  return it == all_.end() ? nullptr : &*it;
}

std::uint64_t Incidents::Add(IncidentKind kind, const Scope& scope, const std::string& cause,
                             const std::string& owner, Duration stale_after, TimePoint now,
                             std::string& reason) {
  if (cause.size() > kMaxTextBytes || owner.size() > kMaxTextBytes || scope.names.size() > kMaxScopeNames ||
      std::any_of(scope.names.begin(), scope.names.end(),
                  [](const auto& n) { return n.size() > kMaxTextBytes; })) {
    reason = "a cause, owner or name is longer than " + std::to_string(kMaxTextBytes) +
             " bytes, or the scope has more than " + std::to_string(kMaxScopeNames) +
             " names; shorten it, or take a wider scope";
    return 0;
  }
  if (scope.names.empty() != (scope.kind == Scope::Kind::kFleet)) {
    reason = "a scope has names, unless it is the fleet";
    return 0;
  }
  if (all_.size() >= kMaxIncidents) {
    reason = "there are " + std::to_string(kMaxIncidents) +
             " incidents already; close one, or open one for the fleet instead of some";
    return 0;
  }
  all_.push_back({++last_id_, kind, scope, cause, owner, State::kOpen, now, now, stale_after, {}});
  return last_id_;
}

std::uint64_t Incidents::Open(const Scope& scope, const std::string& cause, const std::string& owner,
                              Duration stale_after, TimePoint now, std::string& reason) {
  if (cause.empty() || owner.empty()) return reason = "an incident needs a cause and an owner", 0;
  if (Incident* same = FindByScope(IncidentKind::kOperator, scope)) {
    Renew(same->id, owner, now);
    return same->id;
  }
  return Add(IncidentKind::kOperator, scope, cause, owner, stale_after, now, reason);
}

bool Incidents::Renew(std::uint64_t id, const std::string& owner, TimePoint now) {
  Incident* incident = const_cast<Incident*>(Find(id));
  if (incident == nullptr || owner.empty() || owner.size() > kMaxTextBytes) return false;
  incident->state = State::kOpen;
  incident->owner = owner;
  incident->renewed = now;
  return true;
}

bool Incidents::Close(std::uint64_t id, TimePoint now) {
  Incident* incident = const_cast<Incident*>(Find(id));
  if (incident == nullptr) return false;
  if (incident->kind == IncidentKind::kOperator || incident->state == State::kCalming) {
    std::erase_if(all_, [&](const Incident& i) { return i.id == id; });
  } else if (incident->state != State::kMuted) {
    // Its evidence would open the next one at once; it has to be calm once.
    incident->state = State::kMuted;
    incident->renewed = incident->calm_since = now;
  }
  return true;
}

std::uint64_t Incidents::OnEvidence(const Evidence& evidence, TimePoint now, std::string& reason) {
  if (evidence.kind == IncidentKind::kOperator) return 0;
  const Severity severity = SeverityOf(evidence);
  Incident* incident = FindByScope(evidence.kind, evidence.scope);
  if (incident == nullptr) {
    if (severity != Severity::kFiring) return 0;
    return Add(evidence.kind, evidence.scope, kIncidentKinds[static_cast<int>(evidence.kind)], "evidence",
               kEvidenceTimeout, now, reason);
  }
  incident->renewed = now;
  if (incident->state == State::kMuted) {
    if (severity != Severity::kClear) incident->calm_since = now;
  } else if (severity != Severity::kClear) {
    incident->state = State::kOpen;
  } else if (incident->state != State::kCalming) {
    incident->state = State::kCalming;
    incident->calm_since = now;
  }
  const std::uint64_t id = incident->id;
  const bool calm = severity == Severity::kClear && now - incident->calm_since >= kCalmDuration;
  if (calm) std::erase_if(all_, [&](const Incident& i) { return i.id == id; });
  return id;
}

void Incidents::ExpireStale(TimePoint now) {
  std::erase_if(all_, [&](Incident& incident) {
    if (now - incident.renewed < incident.stale_after) return false;
    // One that was closed by hand and of which nobody speaks any more freezes nothing: that may go.
    if (incident.state == State::kMuted) return true;
    incident.state = State::kStale;
    return false;
  });
}

bool Incidents::EqualIgnoringTimes(const Incidents& other) const {
  const auto equal = [](const Incident& a, const Incident& b) {
    return a.id == b.id && a.state == b.state && a.owner == b.owner;
  };
  return last_id_ == other.last_id_ &&
         std::equal(all_.begin(), all_.end(), other.all_.begin(), other.all_.end(), equal);
}

void Incidents::Encode(Encoder& encoder, TimePoint now) const {
  encoder.Number(last_id_);
  encoder.Number(all_.size());
  for (const Incident& i : all_) {
    encoder.Number(i.id);
    encoder.Number(static_cast<std::uint64_t>(i.kind));
    encoder.Number(static_cast<std::uint64_t>(i.scope.kind));
    encoder.Names(i.scope.names);
    encoder.Text(i.cause);
    encoder.Text(i.owner);
    encoder.Number(static_cast<std::uint64_t>(i.state));
    encoder.Number(static_cast<std::uint64_t>(std::max<std::int64_t>(0, (now - i.opened).count())));
    encoder.Number(static_cast<std::uint64_t>(std::max<std::int64_t>(0, (now - i.renewed).count())));
    encoder.Number(static_cast<std::uint64_t>(i.stale_after.count()));
  }
}

bool Incidents::Decode(Decoder& decoder, TimePoint now) {
  const auto ago = [&] { return now - Duration(decoder.Number(std::uint64_t{1} << 40)); };
  last_id_ = decoder.Number();
  all_.clear();
  for (auto left = decoder.Number(kMaxIncidents); left > 0 && decoder.ok(); --left) {
    Incident i;
    i.id = decoder.Number();
    i.kind = static_cast<IncidentKind>(decoder.Number(3));
    i.scope.kind = static_cast<Scope::Kind>(decoder.Number(4));
    i.scope.names = decoder.Names();
    i.cause = decoder.Text();
    i.owner = decoder.Text();
    i.state = static_cast<State>(decoder.Number(3));
    i.opened = ago();
    i.renewed = ago();
    i.stale_after = Duration(decoder.Number(std::uint64_t{1} << 40));
    i.calm_since = now;  // the calm is counted by one coordinator
    all_.push_back(i);
  }
  return decoder.ok();
}

}  // namespace mothrack::change_freeze
