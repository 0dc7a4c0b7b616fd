#include "change_freeze/conflicts.h"

#include <algorithm>

namespace mothrack::change_freeze {
namespace {

using NameSet = std::set<std::string>;

Relation Compare(const NameSet& touched, const NameSet& scope) {
  if (touched.empty()) return Relation::kOverlapping;
  const auto in_scope =
      std::count_if(touched.begin(), touched.end(), [&](const auto& name) { return scope.contains(name); });
  if (in_scope == 0) return Relation::kOutside;
  return in_scope == static_cast<std::ptrdiff_t>(touched.size()) ? Relation::kInside : Relation::kOverlapping;
}

bool KnownDisjoint(const NameSet& a, const NameSet& b) {
  return !a.empty() && !b.empty() && Compare(a, b) == Relation::kOutside;
}

// Abbreviations, so that a row of the table fits on one line.
constexpr Effect kB = Effect::kBlocked;
constexpr Effect kP = Effect::kPaused;
constexpr Effect kA = Effect::kAllowed;
constexpr Effect kR = Effect::kRemedy;

// Indexed by kind of change, relation (inside, overlapping, outside, fleet) and kind of incident (zone left,
// crash loop, rejections, operator).
// clang-format off
constexpr Effect kEffectTable[8][4][4] = {
    {{kB, kB, kB, kB}, {kP, kB, kP, kP}, {kP, kP, kA, kA}, {kB, kB, kB, kB}},  // new generation
    {{kR, kR, kR, kR}, {kP, kP, kP, kP}, {kP, kA, kA, kA}, {kP, kR, kP, kB}},  // restart
    {{kR, kR, kB, kB}, {kP, kP, kB, kP}, {kB, kA, kP, kA}, {kB, kB, kB, kB}},  // stop
    {{kR, kR, kR, kR}, {kR, kR, kR, kR}, {kA, kA, kA, kA}, {kR, kR, kR, kR}},  // undo
    {{kP, kB, kB, kB}, {kP, kB, kP, kP}, {kA, kA, kA, kA}, {kB, kB, kB, kB}},  // reload
    {{kR, kR, kR, kR}, {kP, kP, kP, kP}, {kB, kA, kB, kA}, {kB, kB, kB, kB}},  // zone leave
    {{kR, kB, kP, kB}, {kP, kP, kP, kP}, {kA, kA, kA, kA}, {kP, kP, kP, kB}},  // zone return
    {{kA, kA, kA, kA}, {kA, kA, kA, kA}, {kA, kA, kA, kA}, {kA, kA, kA, kA}},  // break-glass
};
// clang-format on

bool MovesZone(ChangeKind kind) { return kind == ChangeKind::kZoneLeave || kind == ChangeKind::kZoneReturn; }

}  // namespace

Relation RelationOf(const Footprint& footprint, const Scope& scope) {
  switch (scope.kind) {
    case Scope::Kind::kFleet:
      return Relation::kFleet;
    case Scope::Kind::kSite:
      return Compare(footprint.sites, scope.names);
    case Scope::Kind::kZone:
      return Compare(footprint.zones, scope.names);
    case Scope::Kind::kInstances:
      return Compare(footprint.instances, scope.names);
    case Scope::Kind::kGeneration:
      return Compare(footprint.generations, scope.names);
  }
  return Relation::kFleet;
}

Effect EffectOf(ChangeKind change, Relation relation, IncidentKind incident) {
  return kEffectTable[static_cast<int>(change)][static_cast<int>(relation)][static_cast<int>(incident)];
}

bool MutuallyExclusive(ChangeKind first, const Footprint& first_footprint, ChangeKind second,
                       const Footprint& second_footprint) {
  if (first == ChangeKind::kBreakGlass || second == ChangeKind::kBreakGlass) return false;
  if (MovesZone(first) == MovesZone(second)) return true;
  return !KnownDisjoint(first_footprint.zones, second_footprint.zones) &&
         !KnownDisjoint(first_footprint.sites, second_footprint.sites) &&
         !KnownDisjoint(first_footprint.instances, second_footprint.instances);
}

}  // namespace mothrack::change_freeze
