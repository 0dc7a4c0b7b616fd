// The incidents in the fleet, reported by operators or by evidence, and their lifetime. Incidents are part of
// the replicated state (freeze_state.h). While one is open, stale or calming, the table of conflicts.h
// applies to its scope. An incident does not close because reports stop: one that is not renewed becomes
// stale, is shown as stale, and stays in force.
//
// Times are on the leader's steady clock; ages are replicated. Another leader continues from the age that it
// reads, so that timeouts end late, never early.
//
// A value owned by FreezeState; not thread-safe. Source: docs/design/change_freeze.md, "Incidents" and "Rules
// of incidents".
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "change_freeze/bounds.h"
#include "change_freeze/clock_tolerance.h"
#include "change_freeze/conflicts.h"
#include "change_freeze/encoding.h"
#include "change_freeze/status.h"

namespace mothrack::change_freeze {

// An incident opened by evidence becomes stale after this time without further evidence.
inline constexpr Duration kEvidenceTimeout{30'000};
// Hysteresis of rejected requests, as a share of all requests. The threshold for clear evidence is a quarter
// of the one that opens an incident, and must last ten times as long.
inline constexpr double kRejectionsOpenRatio = 0.20;
inline constexpr double kRejectionsCalmRatio = 0.05;
inline constexpr Duration kRejectionsOpenAfter{3'000};
// How long evidence must stay clear, at one leader, before the incident closes.
inline constexpr Duration kCalmDuration{30'000};
// Minimum number of sites with an instance that is held because of crashes. A fault of one machine affects
// only one site.
inline constexpr int kCrashLoopMinSites = 2;

// An observer's measurement. `kind` is never kOperator.
struct Evidence {
  IncidentKind kind = IncidentKind::kRejections;
  Scope scope{};
  // kRejections: the share of rejected requests, 0 to 1. kCrashLoop: the number of sites with a held
  // instance. kZoneLeft: 1 while the zone is left, between 0 and 1 while it returns, 0 while it is in use.
  double level = 0;
  Duration sustained{0};  // how long it has been at or above that level
};

// The significance of evidence for an incident.
enum class EvidenceSeverity : std::uint8_t {
  kFiring,         // opens an incident
  kIndeterminate,  // opens none, but keeps one open
  kClear,
};
// Compares the level with the thresholds above.
EvidenceSeverity SeverityOf(const Evidence& evidence);

// The state of an incident; NextIncidentState() has the transitions.
enum class IncidentState : std::uint8_t {
  kOpen,
  kCalming,  // its evidence is clear, but not for long enough yet
  kStale,    // not renewed in time
  kMuted,    // closed by an operator while its evidence was not clear: not in force, and prevents a new one
};
// Human-readable names, indexed by IncidentState.
inline constexpr const char* kIncidentStates[] = {"open", "calming", "stale", "muted"};

// The events that change the state of an incident.
enum class IncidentEvent : std::uint8_t {
  kEvidenceNotClear,
  kEvidenceClear,
  kEvidenceStayedClear,  // for kCalmDuration
  kTimedOut,             // Incident::stale_after has passed since it was last renewed
  kRenewed,              // by an operator
  kClosed,               // by an operator
};

// Returns the state after `event`, or std::nullopt ("-" below) if the incident is removed.
//
//   state \ event   NotClear  Clear    StayedClear  TimedOut  Renewed  Closed
//   open            open      calming  -            stale     open     muted; of an operator: -
//   calming         open      calming  -            stale     open     -
//   stale           open      calming  -            stale     open     muted; of an operator: -
//   muted           muted     muted    -            -         open     muted
std::optional<IncidentState> NextIncidentState(IncidentState state, IncidentKind kind, IncidentEvent event);

// One incident.
struct Incident {
  std::uint64_t id = 0;
  IncidentKind kind = IncidentKind::kOperator;
  Scope scope{};
  std::string cause{};
  std::string owner{};
  IncidentState state = IncidentState::kOpen;
  TimePoint opened{};
  TimePoint renewed{};      // by evidence or by an operator
  Duration stale_after{0};  // counted from `renewed`
  TimePoint clear_since{};  // of the evidence; not replicated, since one leader counts kCalmDuration

  bool IsInForce() const { return state != IncidentState::kMuted; }
};

// Result of opening an incident or reporting evidence. Ids count from 1; 0 means none.
struct IncidentResult {
  std::uint64_t id = 0;
  Status status{};
};

// All incidents; at most kMaxIncidents.
class Incidents {
 public:
  // Opens an operator's incident. If an operator's incident of the same scope exists, renews that instead.
  // Fails with kInvalidRequest or kLimitReached.
  IncidentResult Open(const Scope& scope, const std::string& cause, const std::string& owner,
                      Duration stale_after, TimePoint now);
  // Returns false if there is no such incident, or if `owner` is empty or longer than kMaxTextBytes.
  bool Renew(std::uint64_t id, const std::string& owner, TimePoint now);
  // Returns false if there is no such incident.
  bool Close(std::uint64_t id, TimePoint now);
  // Returns the id of the incident to which the evidence belongs, whether this evidence or an earlier one
  // opened it; 0 and ok if there is none. Fails like Open().
  IncidentResult OnEvidence(const Evidence& evidence, TimePoint now);
  // Marks incidents that were not renewed in time as stale; removes them if they are muted.
  void ExpireStale(TimePoint now);

  const std::vector<Incident>& all() const { return all_; }
  // Returns nullptr if there is none. The result is valid until the next change.
  const Incident* Find(std::uint64_t id) const;
  bool EqualIgnoringTimes(const Incidents& other) const;

  void Encode(Encoder& encoder, TimePoint now) const;
  // Returns false if the bytes are invalid; this object must not be used then.
  bool Decode(Decoder& decoder, TimePoint now);

 private:
  Incident* FindMutable(std::uint64_t id);
  Incident* FindByScope(IncidentKind kind, const Scope& scope);
  void Remove(std::uint64_t id);
  IncidentResult Add(IncidentKind kind, const Scope& scope, const std::string& cause,
                     const std::string& owner, Duration stale_after, TimePoint now);

  std::vector<Incident> all_;  // sorted by id
  std::uint64_t last_id_ = 0;
};

}  // namespace mothrack::change_freeze
