// What may go on while something is wrong: change kind x where it lies to the incident's scope x incident
// kind. The table stands in docs/design/freeze.md, "What conflicts", and a test holds the two together.
#pragma once

#include <cstdint>
#include <set>
#include <string>

namespace mothrack::change_freeze {

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
inline constexpr const char* kChangeKinds[] = {"new generation", "restart",    "stop",        "undo",
                                               "reload",         "zone leave", "zone return", "break-glass"};

enum class IncidentKind : std::uint8_t { kZoneLeft, kCrashLoop, kRejections, kOperator };
inline constexpr const char* kIncidentKinds[] = {"zone left", "crash loop", "refusals", "operator"};

// Of a change to an incident's scope. What is not known of a change counts as overlapping.
enum class Relation : std::uint8_t { kInside, kOverlapping, kOutside, kFleet };
inline constexpr const char* kRelations[] = {"inside", "overlapping", "outside", "fleet"};

enum class Effect : std::uint8_t {
  kBlocked,  // begins not, and takes no further step
  kPaused,   // begins not; one that runs ends its batch and holds
  kAllowed,
  kRemedy,  // allowed where it names the incident, else as kPaused
};
inline constexpr const char* kEffects[] = {"blocked", "paused", "allowed", "remedy"};

struct Scope {
  enum class Kind : std::uint8_t { kFleet, kSite, kZone, kInstances, kGeneration };
  Kind kind = Kind::kFleet;
  std::set<std::string> names{};  // of kFleet: none
  bool operator==(const Scope&) const = default;
};

// What a change touches, each set whole or empty: empty is unknown.
struct Footprint {
  std::set<std::string> sites{};
  std::set<std::string> zones{};
  std::set<std::string> generations{};
  std::set<std::string> instances{};  // agent/instance
  bool operator==(const Footprint&) const = default;
};

Relation RelationOf(const Footprint& footprint, const Scope& scope);
Effect EffectOf(ChangeKind change, Relation relation, IncidentKind incident);

// Must two changes not run at once? Those that touch instances come one at a time, as the lease has it
// (src/rollout/lease.h), and so do those that move zones: each counts on the room that the rest has. Of one
// of each, those that may meet.
bool MutuallyExclusive(ChangeKind a, const Footprint& at, ChangeKind b, const Footprint& bt);

}  // namespace mothrack::change_freeze
