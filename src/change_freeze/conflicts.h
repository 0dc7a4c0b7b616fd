// What may go on while something is wrong: change kind x where the change lies to the incident's scope x
// incident kind; and which changes must not run at the same time.
//
// Pure functions of plain values; any thread. Source: docs/design/change_freeze.md, "What conflicts", which a
// test holds to the table here.
#pragma once

#include <cstdint>
#include <set>
#include <string>

namespace mothrack::change_freeze {

// What a change does. The order is that of the encoded state and of the table: new kinds go to the end.
enum class ChangeKind : std::uint8_t {
  kNewGeneration,
  kRestart,
  kStop,
  kUndo,
  kReload,
  kZoneLeave,
  kZoneReturn,
  kBreakGlass,
};
// Names by value, as people read them; of the enumerations below likewise.
inline constexpr const char* kChangeKinds[] = {"new generation", "restart",    "stop",        "undo",
                                               "reload",         "zone leave", "zone return", "break-glass"};

// What an incident was opened for: evidence of one of three kinds, or an operator's decision. People read
// kRejections as "refusals", in texts and on the page.
enum class IncidentKind : std::uint8_t { kZoneLeft, kCrashLoop, kRejections, kOperator };
inline constexpr const char* kIncidentKinds[] = {"zone left", "crash loop", "refusals", "operator"};

// Where a change lies to an incident's scope.
enum class Relation : std::uint8_t {
  kInside,       // all that it touches is in the scope
  kOverlapping,  // some of it, or it is not known
  kOutside,      // none of it
  kFleet,        // the scope is the whole fleet
};
inline constexpr const char* kRelations[] = {"inside", "overlapping", "outside", "fleet"};

// What an incident does to a change; the stronger comes first.
enum class Effect : std::uint8_t {
  kBlocked,  // does not begin, and takes no further step
  kPaused,   // does not begin; one that runs ends its batch and waits
  kAllowed,
  kRemedy,  // allowed where it names the incident as the one it mends, else as kPaused
};
inline constexpr const char* kEffects[] = {"blocked", "paused", "allowed", "remedy"};

// What an incident covers.
struct Scope {
  enum class Kind : std::uint8_t { kFleet, kSite, kZone, kInstances, kGeneration };
  Kind kind = Kind::kFleet;
  std::set<std::string> names{};  // empty for kFleet, and for no other kind
  bool operator==(const Scope&) const = default;
};

// What a change touches. Each set is complete or empty: empty means that it is not known.
struct Footprint {
  std::set<std::string> sites{};
  std::set<std::string> zones{};
  std::set<std::string> generations{};
  std::set<std::string> instances{};  // "agent/instance"
  bool operator==(const Footprint&) const = default;
};

Relation RelationOf(const Footprint& footprint, const Scope& scope);
Effect EffectOf(ChangeKind change, Relation relation, IncidentKind incident);

// Must two changes not run at once? Two that touch instances must not, as only one holds the rollout lease
// (rollout/lease.h). Two that move zones must not: each counts on the capacity of the others. One of each
// must not, unless their sites, zones or instances are known to be disjoint. Break-glass excludes nothing.
bool MutuallyExclusive(ChangeKind first, const Footprint& first_footprint, ChangeKind second,
                       const Footprint& second_footprint);

}  // namespace mothrack::change_freeze
