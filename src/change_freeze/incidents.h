// What is wrong in the fleet, as operators and evidence say, and for how long that is so. Incidents are part
// of the replicated state (freeze_state.h); while one is open, stale or calming, the table of conflicts.h
// holds for its scope. Nothing closes because nobody speaks of it: an incident that is not renewed becomes
// stale, is shown so, and stays in force.
//
// Times are of the leader's steady clock; what is replicated is ages. Another leader counts on from the age
// that it reads, so that what is to lapse lapses late, never early.
//
// A value that FreezeState owns; not thread-safe. Source: docs/design/change_freeze.md, "Incidents" and
// "Rules of incidents".
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

// Without further evidence for so long, an incident by evidence is stale.
inline constexpr Duration kEvidenceTimeout{30'000};
// Hysteresis of rejected requests, as a share of all requests: what is clear is a quarter of what opens an
// incident, and has to last ten times as long.
inline constexpr double kRejectionsOpenRatio = 0.20;
inline constexpr double kRejectionsCalmRatio = 0.05;
inline constexpr Duration kRejectionsOpenAfter{3'000};
// Evidence has to stay clear for so long, at one leader, until the incident closes.
inline constexpr Duration kCalmDuration{30'000};
// Sites with an instance that is held for its crashes: a fault of one machine stays in one site.
inline constexpr int kCrashLoopMinSites = 2;

// What an observer measured; of any kind but kOperator.
struct Evidence {
  IncidentKind kind = IncidentKind::kRejections;
  Scope scope{};
  // kRejections: the share of requests that was rejected, 0 to 1. kCrashLoop: sites with an instance that is
  // held. kZoneLeft: 1 left, between 0 and 1 while it returns, 0 in.
  double level = 0;
  Duration sustained{0};  // for how long it has been at or above that level
};

enum class EvidenceSeverity : std::uint8_t {
  kFiring,         // opens an incident
  kIndeterminate,  // opens none, and keeps one open
  kClear,
};
EvidenceSeverity SeverityOf(const Evidence& evidence);

enum class IncidentState : std::uint8_t {
  kOpen,
  kCalming,  // its evidence is clear, not yet for long enough
  kStale,    // nobody has renewed it in time
  kMuted,    // closed by an operator while its evidence was not clear: not in force, and opens no other
};
inline constexpr const char* kIncidentStates[] = {"open", "calming", "stale", "muted"};

enum class IncidentEvent : std::uint8_t {
  kEvidenceNotClear,
  kEvidenceClear,
  kEvidenceStayedClear,  // for kCalmDuration
  kTimedOut,             // Incident::stale_after has passed since it was renewed
  kRenewed,              // by an operator
  kClosed,               // by an operator
};

// The state after `event`; std::nullopt: the incident is removed. "-" below.
//
//   state \ event   NotClear  Clear    StayedClear  TimedOut  Renewed  Closed
//   open            open      calming  -            stale     open     muted; of an operator: -
//   calming         open      calming  -            stale     open     -
//   stale           open      calming  -            stale     open     muted; of an operator: -
//   muted           muted     muted    -            -         open     muted
std::optional<IncidentState> NextIncidentState(IncidentState state, IncidentKind kind, IncidentEvent event);

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
  TimePoint clear_since{};  // of its evidence; not replicated: the calm is counted by one leader

  bool IsInForce() const { return state != IncidentState::kMuted; }
};

// Ids count from 1; 0 is none.
struct IncidentResult {
  std::uint64_t id = 0;
  Status status{};
};

class Incidents {
 public:
  // An operator opens one; an operator's incident of the same scope is renewed instead. Fails with
  // kInvalidRequest or kLimitReached.
  IncidentResult Open(const Scope& scope, const std::string& cause, const std::string& owner,
                      Duration stale_after, TimePoint now);
  // False: there is no such incident, or `owner` is empty or longer than kMaxTextBytes.
  bool Renew(std::uint64_t id, const std::string& owner, TimePoint now);
  // False: there is no such incident.
  bool Close(std::uint64_t id, TimePoint now);
  // The id of the incident that the evidence belongs to, opened by it or before; 0 and ok: none. Fails as
  // Open().
  IncidentResult OnEvidence(const Evidence& evidence, TimePoint now);
  // Time has passed: what was not renewed becomes stale, or is removed where it was muted.
  void ExpireStale(TimePoint now);

  const std::vector<Incident>& all() const { return all_; }
  // nullptr: there is none. Valid until the next change.
  const Incident* Find(std::uint64_t id) const;
  bool EqualIgnoringTimes(const Incidents& other) const;

  void Encode(Encoder& encoder, TimePoint now) const;
  // False: these bytes are none; what is here is then of no use.
  bool Decode(Decoder& decoder, TimePoint now);

 private:
  Incident* FindMutable(std::uint64_t id);
  Incident* FindByScope(IncidentKind kind, const Scope& scope);
  void Remove(std::uint64_t id);
  IncidentResult Add(IncidentKind kind, const Scope& scope, const std::string& cause,
                     const std::string& owner, Duration stale_after, TimePoint now);

  std::vector<Incident> all_;  // by id
  std::uint64_t last_id_ = 0;
};

}  // namespace mothrack::change_freeze
