#include "change_freeze/incidents.h"

#include <algorithm>
#include <utility>

namespace mothrack::change_freeze {

using State = IncidentState;

namespace {

// The owner of an incident that was opened by evidence.
constexpr const char* kEvidenceOwner = "evidence";

// Maximum age or timeout that is accepted, in ms (35 years), so that adding it to a time point cannot
// overflow.
constexpr std::uint64_t kMaxEncodedDuration = std::uint64_t{1} << 40;

EvidenceSeverity SeverityOfLevel(double level, double firing_from) {
  if (level >= firing_from) return EvidenceSeverity::kFiring;
  return level > 0 ? EvidenceSeverity::kIndeterminate : EvidenceSeverity::kClear;
}

Status CheckTexts(const Scope& scope, const std::string& cause, const std::string& owner) {
  const auto too_long = [](const std::string& text) { return text.size() > kMaxTextBytes; };
  if (too_long(cause) || too_long(owner) || scope.names.size() > kMaxScopeNames ||
      std::any_of(scope.names.begin(), scope.names.end(), too_long)) {
    return {StatusCode::kInvalidRequest,
            "a cause, owner or name is longer than " + std::to_string(kMaxTextBytes) +
                " bytes, or the scope has more than " + std::to_string(kMaxScopeNames) +
                " names; shorten it, or use a wider scope"};
  }
  if (scope.names.empty() != (scope.kind == Scope::Kind::kFleet)) {
    return {StatusCode::kInvalidRequest,
            "the scope of the fleet has no names, and any other scope needs one"};
  }
  return {};
}

std::uint64_t EncodedAge(TimePoint since, TimePoint now) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, (now - since).count()));
}

}  // namespace

EvidenceSeverity SeverityOf(const Evidence& evidence) {
  switch (evidence.kind) {
    case IncidentKind::kZoneLeft:
      return SeverityOfLevel(evidence.level, 1);
    case IncidentKind::kCrashLoop:
      return SeverityOfLevel(evidence.level, kCrashLoopMinSites);
    case IncidentKind::kRejections:
      if (evidence.level >= kRejectionsOpenRatio && evidence.sustained >= kRejectionsOpenAfter)
        return EvidenceSeverity::kFiring;
      return evidence.level > kRejectionsCalmRatio ? EvidenceSeverity::kIndeterminate
                                                   : EvidenceSeverity::kClear;
    case IncidentKind::kOperator:
      break;
  }
  return EvidenceSeverity::kIndeterminate;
}

std::optional<State> NextIncidentState(State state, IncidentKind kind, IncidentEvent event) {
  const bool muted = state == State::kMuted;
  switch (event) {
    case IncidentEvent::kEvidenceNotClear:
      return muted ? State::kMuted : State::kOpen;
    case IncidentEvent::kEvidenceClear:
      return muted ? State::kMuted : State::kCalming;
    case IncidentEvent::kEvidenceStayedClear:
      return std::nullopt;
    case IncidentEvent::kTimedOut:
      // A muted incident is not in force, so without further evidence it can be removed.
      if (muted) return std::nullopt;
      return State::kStale;
    case IncidentEvent::kRenewed:
      return State::kOpen;
    case IncidentEvent::kClosed:
      if (kind == IncidentKind::kOperator || state == State::kCalming) return std::nullopt;
      // Its evidence would open another incident at once, so it must become clear first.
      return State::kMuted;
  }
  return state;
}

IncidentResult Incidents::Open(const Scope& scope, const std::string& cause, const std::string& owner,
                               Duration stale_after, TimePoint now) {
  if (cause.empty() || owner.empty())
    return {0, {StatusCode::kInvalidRequest, "an incident needs a cause and an owner"}};
  if (const Incident* same = FindByScope(IncidentKind::kOperator, scope)) {
    const std::uint64_t id = same->id;
    Renew(id, owner, now);
    return {id, {}};
  }
  return Add(IncidentKind::kOperator, scope, cause, owner, stale_after, now);
}

IncidentResult Incidents::Add(IncidentKind kind, const Scope& scope, const std::string& cause,
                              const std::string& owner, Duration stale_after, TimePoint now) {
  if (Status status = CheckTexts(scope, cause, owner); !status.ok()) return {0, std::move(status)};
  if (all_.size() >= kMaxIncidents) {
    return {0,
            {StatusCode::kLimitReached,
             "there are " + std::to_string(kMaxIncidents) +
                 " incidents already; close one, or replace several by one for the fleet"}};
  }
  all_.push_back({++last_id_, kind, scope, cause, owner, State::kOpen, now, now, stale_after, {}});
  return {last_id_, {}};
}

bool Incidents::Renew(std::uint64_t id, const std::string& owner, TimePoint now) {
  Incident* incident = FindMutable(id);
  if (incident == nullptr || owner.empty() || owner.size() > kMaxTextBytes) return false;
  incident->state = *NextIncidentState(incident->state, incident->kind, IncidentEvent::kRenewed);
  incident->owner = owner;
  incident->renewed = now;
  return true;
}

bool Incidents::Close(std::uint64_t id, TimePoint now) {
  Incident* incident = FindMutable(id);
  if (incident == nullptr) return false;
  const auto next = NextIncidentState(incident->state, incident->kind, IncidentEvent::kClosed);
  if (!next) {
    Remove(id);
  } else if (incident->state != *next) {
    incident->state = *next;
    incident->renewed = now;
    incident->clear_since = now;
  }
  return true;
}

IncidentResult Incidents::OnEvidence(const Evidence& evidence, TimePoint now) {
  if (evidence.kind == IncidentKind::kOperator) return {};
  const EvidenceSeverity severity = SeverityOf(evidence);
  Incident* incident = FindByScope(evidence.kind, evidence.scope);
  if (incident == nullptr) {
    if (severity != EvidenceSeverity::kFiring) return {};
    return Add(evidence.kind, evidence.scope, kIncidentKinds[static_cast<int>(evidence.kind)], kEvidenceOwner,
               kEvidenceTimeout, now);
  }
  const bool clear = severity == EvidenceSeverity::kClear;
  const bool counting = incident->state == State::kMuted || incident->state == State::kCalming;
  if (!clear || !counting) incident->clear_since = now;
  incident->renewed = now;
  const auto event = clear ? IncidentEvent::kEvidenceClear : IncidentEvent::kEvidenceNotClear;
  incident->state = *NextIncidentState(incident->state, incident->kind, event);
  const std::uint64_t id = incident->id;
  if (clear && now - incident->clear_since >= kCalmDuration) Remove(id);
  return {id, {}};
}

void Incidents::ExpireStale(TimePoint now) {
  std::erase_if(all_, [&](Incident& incident) {
    if (now - incident.renewed < incident.stale_after) return false;
    const auto next = NextIncidentState(incident.state, incident.kind, IncidentEvent::kTimedOut);
    if (next) incident.state = *next;
    return !next.has_value();
  });
}

const Incident* Incidents::Find(std::uint64_t id) const {
  const auto found =
      std::find_if(all_.begin(), all_.end(), [&](const Incident& incident) { return incident.id == id; });
  return found == all_.end() ? nullptr : &*found;
}

Incident* Incidents::FindMutable(std::uint64_t id) {
  const auto found =
      std::find_if(all_.begin(), all_.end(), [&](const Incident& incident) { return incident.id == id; });
  return found == all_.end() ? nullptr : &*found;
}

Incident* Incidents::FindByScope(IncidentKind kind, const Scope& scope) {
  const auto found = std::find_if(all_.begin(), all_.end(), [&](const Incident& incident) {
    return incident.kind == kind && incident.scope == scope;
  });
  return found == all_.end() ? nullptr : &*found;
}

void Incidents::Remove(std::uint64_t id) {
  std::erase_if(all_, [&](const Incident& incident) { return incident.id == id; });
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
  for (const Incident& incident : all_) {
    encoder.Number(incident.id);
    encoder.Enum(incident.kind);
    encoder.Enum(incident.scope.kind);
    encoder.Names(incident.scope.names);
    encoder.Text(incident.cause);
    encoder.Text(incident.owner);
    encoder.Enum(incident.state);
    encoder.Number(EncodedAge(incident.opened, now));
    encoder.Number(EncodedAge(incident.renewed, now));
    encoder.Number(static_cast<std::uint64_t>(incident.stale_after.count()));
  }
}

bool Incidents::Decode(Decoder& decoder, TimePoint now) {
  const auto duration = [&] { return Duration(decoder.Number(kMaxEncodedDuration)); };
  last_id_ = decoder.Number();
  all_.clear();
  for (auto left = decoder.Number(kMaxIncidents); left > 0 && decoder.ok(); --left) {
    Incident incident;
    incident.id = decoder.Number();
    incident.kind = decoder.Enum(IncidentKind::kOperator);
    incident.scope.kind = decoder.Enum(Scope::Kind::kGeneration);
    incident.scope.names = decoder.Names();
    incident.cause = decoder.Text();
    incident.owner = decoder.Text();
    incident.state = decoder.Enum(State::kMuted);
    incident.opened = now - duration();
    incident.renewed = now - duration();
    incident.stale_after = duration();
    incident.clear_since = now;
    all_.push_back(std::move(incident));
  }
  return decoder.ok();
}

}  // namespace mothrack::change_freeze
