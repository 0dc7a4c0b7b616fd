#include "change_freeze/incidents.h"

#include <algorithm>
#include <utility>

namespace mothrack::change_freeze {

using State = Incident::State;

Sign SignOf(const Evidence& e) {
  switch (e.kind) {
    case IncidentKind::kZoneLeft:
      return e.level >= 1 ? Sign::kBad : e.level > 0 ? Sign::kBetween : Sign::kCalm;
    case IncidentKind::kCrashLoop:
      return e.level >= kHallsOfCrashLoop ? Sign::kBad : e.level > 0 ? Sign::kBetween : Sign::kCalm;
    case IncidentKind::kRefusals:
      if (e.level >= kRefusalsOpen && e.lasted >= kRefusalsFor) return Sign::kBad;
      return e.level > kRefusalsCalm ? Sign::kBetween : Sign::kCalm;
    case IncidentKind::kOperator:
      break;
  }
  return Sign::kBetween;
}

Incident* Incidents::Of(IncidentKind kind, const Scope& scope) {
  const auto it = std::find_if(all_.begin(), all_.end(),
                               [&](const Incident& i) { return i.kind == kind && i.scope == scope; });
  return it == all_.end() ? nullptr : &*it;
}

const Incident* Incidents::Find(std::uint64_t id) const {
  const auto it = std::find_if(all_.begin(), all_.end(), [&](const Incident& i) { return i.id == id; });
  return it == all_.end() ? nullptr : &*it;
}

std::uint64_t Incidents::Add(IncidentKind kind, const Scope& scope, const std::string& cause,
                             const std::string& owner, Duration lasts, TimePoint now, std::string& why) {
  if (cause.size() > kLongestText || owner.size() > kLongestText || scope.names.size() > kMostNames ||
      std::any_of(scope.names.begin(), scope.names.end(),
                  [](const auto& n) { return n.size() > kLongestText; })) {
    why = "a cause, owner or name is longer than " + std::to_string(kLongestText) +
          " bytes, or the scope has more than " + std::to_string(kMostNames) +
          " names; shorten it, or take a wider scope";
    return 0;
  }
  if (scope.names.empty() != (scope.kind == Scope::Kind::kFleet)) {
    why = "a scope has names, unless it is the fleet";
    return 0;
  }
  if (all_.size() >= kMostIncidents) {
    why = "there are " + std::to_string(kMostIncidents) +
          " incidents already; close one, or open one for the fleet instead of some";
    return 0;
  }
  all_.push_back({++last_id_, kind, scope, cause, owner, State::kOpen, now, now, lasts, {}});
  return last_id_;
}

std::uint64_t Incidents::Open(const Scope& scope, const std::string& cause, const std::string& owner,
                              Duration lasts, TimePoint now, std::string& why) {
  if (cause.empty() || owner.empty()) return why = "an incident needs a cause and an owner", 0;
  if (Incident* same = Of(IncidentKind::kOperator, scope)) {
    Renew(same->id, owner, now);
    return same->id;
  }
  return Add(IncidentKind::kOperator, scope, cause, owner, lasts, now, why);
}

bool Incidents::Renew(std::uint64_t id, const std::string& owner, TimePoint now) {
  Incident* incident = const_cast<Incident*>(Find(id));
  if (incident == nullptr || owner.empty() || owner.size() > kLongestText) return false;
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

std::uint64_t Incidents::Hear(const Evidence& evidence, TimePoint now, std::string& why) {
  if (evidence.kind == IncidentKind::kOperator) return 0;
  const Sign sign = SignOf(evidence);
  Incident* incident = Of(evidence.kind, evidence.scope);
  if (incident == nullptr) {
    if (sign != Sign::kBad) return 0;
    return Add(evidence.kind, evidence.scope, kIncidentKinds[static_cast<int>(evidence.kind)], "evidence",
               kEvidenceLasts, now, why);
  }
  incident->renewed = now;
  if (incident->state == State::kMuted) {
    if (sign != Sign::kCalm) incident->calm_since = now;
  } else if (sign != Sign::kCalm) {
    incident->state = State::kOpen;
  } else if (incident->state != State::kCalming) {
    incident->state = State::kCalming;
    incident->calm_since = now;
  }
  const std::uint64_t id = incident->id;
  const bool calm = sign == Sign::kCalm && now - incident->calm_since >= kCalmFor;
  if (calm) std::erase_if(all_, [&](const Incident& i) { return i.id == id; });
  return id;
}

void Incidents::Turn(TimePoint now) {
  std::erase_if(all_, [&](Incident& incident) {
    if (now - incident.renewed < incident.lasts) return false;
    // One that was closed by hand and of which nobody speaks any more freezes nothing: that may go.
    if (incident.state == State::kMuted) return true;
    incident.state = State::kStale;
    return false;
  });
}

bool Incidents::Alike(const Incidents& other) const {
  const auto alike = [](const Incident& a, const Incident& b) {
    return a.id == b.id && a.state == b.state && a.owner == b.owner;
  };
  return last_id_ == other.last_id_ &&
         std::equal(all_.begin(), all_.end(), other.all_.begin(), other.all_.end(), alike);
}

void Incidents::Pack(Packer& packer, TimePoint now) const {
  packer.Number(last_id_);
  packer.Number(all_.size());
  for (const Incident& i : all_) {
    packer.Number(i.id);
    packer.Number(static_cast<std::uint64_t>(i.kind));
    packer.Number(static_cast<std::uint64_t>(i.scope.kind));
    packer.Names(i.scope.names);
    packer.Text(i.cause);
    packer.Text(i.owner);
    packer.Number(static_cast<std::uint64_t>(i.state));
    packer.Number(static_cast<std::uint64_t>(std::max<std::int64_t>(0, (now - i.opened).count())));
    packer.Number(static_cast<std::uint64_t>(std::max<std::int64_t>(0, (now - i.renewed).count())));
    packer.Number(static_cast<std::uint64_t>(i.lasts.count()));
  }
}

bool Incidents::Unpack(Unpacker& unpacker, TimePoint now) {
  const auto ago = [&] { return now - Duration(unpacker.Number(std::uint64_t{1} << 40)); };
  last_id_ = unpacker.Number();
  all_.clear();
  for (auto left = unpacker.Number(kMostIncidents); left > 0 && unpacker.ok(); --left) {
    Incident i;
    i.id = unpacker.Number();
    i.kind = static_cast<IncidentKind>(unpacker.Number(3));
    i.scope.kind = static_cast<Scope::Kind>(unpacker.Number(4));
    i.scope.names = unpacker.Names();
    i.cause = unpacker.Text();
    i.owner = unpacker.Text();
    i.state = static_cast<State>(unpacker.Number(3));
    i.opened = ago();
    i.renewed = ago();
    i.lasts = Duration(unpacker.Number(std::uint64_t{1} << 40));
    i.calm_since = now;  // the calm is counted by one coordinator
    all_.push_back(i);
  }
  return unpacker.ok();
}

}  // namespace mothrack::change_freeze
