// What may proceed during an incident, by kind of change, relation of the change to the incident's scope, and
// kind of incident; and which changes must not run at the same time.
//
// Pure functions of plain values; any thread. Source: docs/design/change_freeze.md, "What conflicts"; a test
// compares its table with the one here.
#pragma once

#include <cstdint>
#include <set>
#include <string>

namespace mothrack::change_freeze {

// The kind of a change. The order is that of the encoded state and of the table, so new kinds must be
// appended.
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
// Human-readable names, indexed by value; likewise for the enumerations below.
inline constexpr const char* kChangeKinds[] = {"new generation", "restart",    "stop",        "undo",
                                               "reload",         "zone leave", "zone return", "break-glass"};

// Why an incident was opened: evidence of one of three kinds, or an operator's decision. Texts and the page
// call kRejections "refusals".
enum class IncidentKind : std::uint8_t { kZoneLeft, kCrashLoop, kRejections, kOperator };
inline constexpr const char* kIncidentKinds[] = {"zone left", "crash loop", "refusals", "operator"};

// The relation of a change to an incident's scope.
enum class Relation : std::uint8_t {
  kInside,       // everything that it touches is in the scope
  kOverlapping,  // a part of it, or unknown
  kOutside,      // none of it
  kFleet,        // the scope is the whole fleet
};
inline constexpr const char* kRelations[] = {"inside", "overlapping", "outside", "fleet"};

// The effect of an incident on a change, strongest first.
enum class Effect : std::uint8_t {
  kBlocked,  // may not begin or take a further step
  kPaused,   // may not begin; a running one finishes its batch and waits
  kAllowed,
  kRemedy,  // allowed if it names the incident as the one it fixes, otherwise like kPaused
};
inline constexpr const char* kEffects[] = {"blocked", "paused", "allowed", "remedy"};

// The part of the fleet that an incident covers.
struct Scope {
  enum class Kind : std::uint8_t { kFleet, kSite, kZone, kInstances, kGeneration };
  Kind kind = Kind::kFleet;
  std::set<std::string> names{};  // empty if and only if kFleet
  bool operator==(const Scope&) const = default;
};

// The part of the fleet that a change touches. Each set is either complete or empty; empty means unknown.
struct Footprint {
  std::set<std::string> sites{};
  std::set<std::string> zones{};
  std::set<std::string> generations{};
  std::set<std::string> instances{};  // "agent/instance"
  bool operator==(const Footprint&) const = default;
};

// Returns the relation of the footprint to the scope.
Relation RelationOf(const Footprint& footprint, const Scope& scope);
// Looks up the effect in the table.
Effect EffectOf(ChangeKind change, Relation relation, IncidentKind incident);

// Whether two changes must not run at the same time. Two that touch instances must not, because only one can
// hold the rollout lease (rollout/lease.h). Two that move zones must not, because each relies on the capacity
// of the others. One of each must not, unless their sites, zones or instances are known to be disjoint.
// Break-glass excludes nothing.
bool MutuallyExclusive(ChangeKind first, const Footprint& first_footprint, ChangeKind second,
                       const Footprint& second_footprint);

}  // namespace mothrack::change_freeze
