#include "change_freeze/conflicts.h"

#include <algorithm>

namespace mothrack::change_freeze {
namespace {

using NameSet = std::set<std::string>;

Relation Compare(const NameSet& touched, const NameSet& scope) {
  if (touched.empty()) return Relation::kOverlapping;
  const auto in =
      std::count_if(touched.begin(), touched.end(), [&](const auto& name) { return scope.contains(name); });
  if (in == 0) return Relation::kOutside;
  return in == static_cast<std::ptrdiff_t>(touched.size()) ? Relation::kInside : Relation::kOverlapping;
}

bool KnownDisjoint(const NameSet& a, const NameSet& b) {
  return !a.empty() && !b.empty() && Compare(a, b) == Relation::kOutside;
}

// By change kind and relation, a letter for each incident kind: Blocked, Paused, Allowed, Remedy.
constexpr const char* kTable[8][4] = {
    {"BBBB", "PBPP", "PPAA", "BBBB"},  // new generation
    {"RRRR", "PPPP", "PAAA", "PRPB"},  // restart
    {"RRBB", "PPBP", "BAPA", "BBBB"},  // stop
    {"RRRR", "RRRR", "AAAA", "RRRR"},  // undo
    {"PBBB", "PBPP", "AAAA", "BBBB"},  // reload
    {"RRRR", "PPPP", "BABA", "BBBB"},  // zone leave
    {"RBPB", "PPPP", "AAAA", "PPPB"},  // zone return
    {"AAAA", "AAAA", "AAAA", "AAAA"},  // break-glass
};

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
  switch (kTable[static_cast<int>(change)][static_cast<int>(relation)][static_cast<int>(incident)]) {
    case 'P':
      return Effect::kPaused;
    case 'A':
      return Effect::kAllowed;
    case 'R':
      return Effect::kRemedy;
  }
  return Effect::kBlocked;
}

bool MutuallyExclusive(ChangeKind a, const Footprint& at, ChangeKind b, const Footprint& bt) {
  if (a == ChangeKind::kBreakGlass || b == ChangeKind::kBreakGlass) return false;
  if (MovesZone(a) == MovesZone(b)) return true;
  return !KnownDisjoint(at.zones, bt.zones) && !KnownDisjoint(at.sites, bt.sites) &&
         !KnownDisjoint(at.instances, bt.instances);
}

}  // namespace mothrack::change_freeze
