// The replicated state, which survives the loss of any minority of the voters: incidents, permits, and the
// break-glass records that agents reported. Who may run which change is decided here; what is not committed
// does not count.
//
// A value that PermitService owns; not thread-safe. It is replicated as bytes (Encode), through
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

  // What the incidents do to a change: the strongest effect of any, and the incident it is of, for people.
  struct Evaluation {
    Effect effect = Effect::kAllowed;
    std::string reason{};
  };
  // `remedies`: ids of the incidents that the change says it mends. A claim that is wrong blocks it.
  Evaluation Evaluate(ChangeKind kind, const Footprint& footprint,
                      const std::set<std::uint64_t>& remedies) const;

  // Ok: the change's permit covers the requested batch once this state is committed. Asked again it changes
  // nothing. A request of another kind or footprint ends the permit that the change has, and fails with
  // kPermitEnding until that is over. Fails with kInvalidRequest, kExcludedByPermit, kBlockedByIncident or
  // kLimitReached as well.
  Status RequestPermit(const PermitRequest& wanted, TimePoint now);
  void EndPermit(const std::string& change, TimePoint now);
  // An agent still wants the permit: how it stands. The caller sets `term` and `version`.
  PermitConfirmation ConfirmPermit(const std::string& change, TimePoint now);
  // What an agent reported: each record is kept once, the latest kMaxBreakGlassRecords of all agents.
  void RecordBreakGlass(const std::vector<BreakGlassRecord>& records);
  // The highest number of that agent's records; 0: none.
  std::uint64_t LastBreakGlassOf(const std::string& agent) const;
  // This state is committed and follows `before`. Agents were given confirmations from `before` until now, so
  // what ended in between is counted from now.
  void OnCommitted(const FreezeState& before, TimePoint now);
  // Time has passed, or incidents have changed: permits follow.
  void Reevaluate(TimePoint now);

  const std::vector<Permit>& permits() const { return permits_; }
  const std::vector<BreakGlassRecord>& break_glass() const { return break_glass_; }
  bool EqualIgnoringTimes(const FreezeState& other) const;

  std::string Encode(TimePoint now) const;
  // Permits get their whole time again, as another leader may have confirmed them until now. std::nullopt:
  // these bytes are no state. No bytes at all are the state of a fleet that was founded just now.
  static std::optional<FreezeState> Decode(const std::string& bytes, TimePoint now);

 private:
  static void Terminate(Permit& permit, PermitState state, const std::string& reason, TimePoint now);
  Status CheckAgainstPermits(const PermitRequest& request, TimePoint now);
  Permit* FindPermit(const std::string& change);
  void EncodePermits(Encoder& encoder) const;
  void EncodeBreakGlass(Encoder& encoder) const;
  void DecodePermits(Decoder& decoder, TimePoint now);
  void DecodeBreakGlass(Decoder& decoder, std::size_t max_agents);

  std::vector<Permit> permits_;                            // at most one a change
  std::vector<BreakGlassRecord> break_glass_;              // oldest first
  std::map<std::string, std::uint64_t> last_break_glass_;  // by agent: the highest number of its records
};

}  // namespace mothrack::change_freeze
