// What is wrong in the fleet, as its operators and its evidence say. Incidents are part of the coordinator's
// replicated state; while one is open, stale or calming, the table of src/change_freeze/conflicts.h holds for
// its scope. Nothing of it lifts itself because nobody speaks: an incident that nobody renews is stale, is
// shown as that, and freezes on.
//
// Times are of the coordinator's steady clock; what is replicated is ages (Pack). Another coordinator counts
// on from the age that it reads, so that what is to lapse lapses late, never early.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "change_freeze/conflicts.h"
#include "change_freeze/encoding.h"
#include "rollout/types.h"

namespace mothrack::change_freeze {

using rollout::Duration;
using rollout::TimePoint;

// As many can be told apart by people on call; a fleet with more is frozen as one.
inline constexpr std::size_t kMaxIncidents = 32;
// Of a cause, an owner or a reason, so that all of them together stay far below the register's 64 KiB.
inline constexpr std::size_t kMaxTextBytes = 200;
inline constexpr std::size_t kMaxScopeNames = 16;  // in an incident's scope
// Without evidence, or past an operator's own end: stale.
inline constexpr Duration kEvidenceTimeout{30'000};
// Hysteresis of refusals, as a share of all requests: calm is a quarter of what opens one, and lasts ten
// times as long.
inline constexpr double kRejectionsOpenRatio = 0.20;
inline constexpr double kRejectionsCalmRatio = 0.05;
inline constexpr Duration kRejectionsOpenAfter{3'000};
inline constexpr Duration kCalmDuration{30'000};
// Instances held for their crashes, in as many halls: a machine's own trouble stays in one.
inline constexpr int kCrashLoopMinSites = 2;

struct Evidence {
  IncidentKind kind = IncidentKind::kRejections;
  Scope scope{};
  double level =
      0;  // share refused; halls with an instance held; of a zone: 1 left, between while it returns, 0 in
  Duration sustained{0};  // at or above that level
};

enum class Severity : std::uint8_t { kFiring, kIndeterminate, kClear };
Severity SeverityOf(const Evidence& evidence);

struct Incident {
  enum class State : std::uint8_t {
    kOpen,
    kCalming,  // its evidence is calm, not yet for long enough
    kStale,
    kMuted,  // closed by hand while its evidence was bad: freezes nothing, and its evidence opens no other
  };
  std::uint64_t id = 0;
  IncidentKind kind = IncidentKind::kOperator;
  Scope scope{};
  std::string cause{};
  std::string owner{};
  State state = State::kOpen;
  TimePoint opened{};
  TimePoint renewed{};
  Duration stale_after{0};  // from there until it is stale
  TimePoint calm_since{};

  bool IsInForce() const { return state != State::kMuted; }
};
inline constexpr const char* kIncidentStates[] = {"open", "calming", "stale", "muted"};

class Incidents {
 public:
  // The operator's: the id; an incident of the same scope is renewed. 0: refused, and why.
  std::uint64_t Open(const Scope& scope, const std::string& cause, const std::string& owner,
                     Duration stale_after, TimePoint now, std::string& reason);
  bool Renew(std::uint64_t id, const std::string& owner, TimePoint now);
  bool Close(std::uint64_t id, TimePoint now);
  // The id of the incident it belongs to; 0: none, or there is no room (then `why` tells).
  std::uint64_t OnEvidence(const Evidence& evidence, TimePoint now, std::string& reason);
  void ExpireStale(TimePoint now);

  const std::vector<Incident>& all() const { return all_; }
  const Incident* Find(std::uint64_t id) const;
  // Differs from another's by more than ages?
  bool EqualIgnoringTimes(const Incidents& other) const;

  void Encode(Encoder& encoder, TimePoint now) const;
  bool Decode(Decoder& decoder, TimePoint now);

 private:
  Incident* FindByScope(IncidentKind kind, const Scope& scope);
  std::uint64_t Add(IncidentKind kind, const Scope& scope, const std::string& cause, const std::string& owner,
                    Duration stale_after, TimePoint now, std::string& reason);
  std::vector<Incident> all_;
  std::uint64_t last_id_ = 0;
};

}  // namespace mothrack::change_freeze
