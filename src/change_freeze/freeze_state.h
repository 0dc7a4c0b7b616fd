// The replicated state, which survives the loss of any minority of the voters: incidents, permits, and the
// break-glass records that agents reported. It decides which change may run. Nothing takes effect before it
// is committed.
//
// A value owned by PermitService; not thread-safe. It is replicated as bytes (Encode()), through
// Voter::Propose. Source: docs/design/change_freeze.md, "In force within two seconds".
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "change_freeze/bounds.h"
#include "change_freeze/break_glass.h"
#include "change_freeze/conflicts.h"
#include "change_freeze/incidents.h"
#include "change_freeze/permit.h"
#include "change_freeze/status.h"

namespace mothrack::change_freeze {

class FreezeState {
 public:
  Incidents incidents;

  // The combined effect of the incidents on a change: the strongest effect, and a text that names its
  // incident.
  struct Evaluation {
    Effect effect = Effect::kAllowed;
    std::string reason{};
  };
  // `remedies`: ids of the incidents that the change claims to fix. A wrong claim blocks it.
  Evaluation Evaluate(ChangeKind kind, const Footprint& footprint,
                      const std::set<std::uint64_t>& remedies) const;

  // On success the change's permit covers the requested batch once this state is committed; repeating the
  // request changes nothing. A request with another kind or footprint ends the change's current permit and
  // fails with kPermitEnding until that permit is over. Also fails with kInvalidRequest, kExcludedByPermit,
  // kBlockedByIncident or kLimitReached.
  Status RequestPermit(const PermitRequest& wanted, TimePoint now);
  // Ends the permit of a change that is done or withdrawn.
  void EndPermit(const std::string& change, TimePoint now);
  // An agent still uses the permit: records the poll and returns the permit's status. The caller sets `term`
  // and `version`.
  PermitConfirmation ConfirmPermit(const std::string& change, TimePoint now);
  // Stores what an agent reported: each record once, and the latest kMaxBreakGlassRecords of all agents.
  void RecordBreakGlass(const std::vector<BreakGlassRecord>& records);
  // The highest number of that agent's records; 0 if there is none.
  std::uint64_t LastBreakGlassOf(const std::string& agent) const;
  // This state was committed and replaces `before`. Agents received confirmations from `before` until now, so
  // the end of a permit that ended in between is counted from now.
  void OnCommitted(const FreezeState& before, TimePoint now);
  // Updates permits after time has passed or incidents have changed.
  void Reevaluate(TimePoint now);

  const std::vector<Permit>& permits() const { return permits_; }
  const std::vector<BreakGlassRecord>& break_glass() const { return break_glass_; }
  // Whether both states are equal except for times. A change of times alone is not written.
  bool EqualIgnoringTimes(const FreezeState& other) const;

  // Times are encoded as ages relative to `now`.
  std::string Encode(TimePoint now) const;
  // Each permit is valid for its full time again, because another leader may have confirmed it until now.
  // Returns std::nullopt if the bytes are not a valid state. An empty string is the state of a newly founded
  // fleet.
  static std::optional<FreezeState> Decode(const std::string& bytes, TimePoint now);

 private:
  static void Terminate(Permit& permit, PermitState state, const std::string& reason, TimePoint now);
  Status CheckAgainstPermits(const PermitRequest& request, TimePoint now);
  Permit* FindPermit(const std::string& change);
  void EncodePermits(Encoder& encoder) const;
  void EncodeBreakGlass(Encoder& encoder) const;
  void DecodePermits(Decoder& decoder, TimePoint now);
  void DecodeBreakGlass(Decoder& decoder, std::size_t max_agents);

  std::vector<Permit> permits_;                            // at most one per change
  std::vector<BreakGlassRecord> break_glass_;              // oldest first
  std::map<std::string, std::uint64_t> last_break_glass_;  // by agent: the highest number of its records
};

}  // namespace mothrack::change_freeze
