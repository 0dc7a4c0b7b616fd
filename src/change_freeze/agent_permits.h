// An agent's side of a change freeze: which permits are valid here, and break-glass.
//
// The agent grants the lease of a change, and takes each of its steps, only while it has a recently confirmed
// permit. The confirmation must come from the leader of the highest term that the agent knows; one of an
// older term is rejected however late it arrives. So a freeze is in force at every agent within
// kPermitValidity of its decision, even at an unreachable one: an agent counts from when it *sent its
// request*, and the leader answers only while its lease holds.
//
// Without a leader no change begins, and running changes wait. An operator can override this with
// break-glass (break_glass.h).
//
// A value without clock, disk or socket; one thread at a time. Make a call that changes record() on a copy,
// make the copy's record durable, and then replace the original by the copy. Source:
// docs/design/change_freeze.md, "Rules of permits".
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "change_freeze/break_glass.h"
#include "change_freeze/clock_tolerance.h"
#include "change_freeze/conflicts.h"
#include "change_freeze/permit.h"
#include "change_freeze/status.h"

namespace mothrack::change_freeze {

// The part of an agent's permits that is stored on disk.
struct PermitRecord {
  Term term = 0;                        // the highest known
  std::uint64_t break_glass_count = 0;  // number of all overrides at this agent so far
  // Not committed by a leader yet; at most kMaxUnreportedBreakGlass.
  std::vector<BreakGlassRecord> unreported{};
  bool operator==(const PermitRecord&) const = default;
};

class AgentPermits {
 public:
  // Result of Check().
  enum class Verdict : std::uint8_t {
    kAllowed,
    kBreakGlass,  // allowed, by an override
    kNoPermit,    // the leader has granted no permit, or none for this kind or batch
    kPaused,      // this batch may not begin
    kBlocked,
    kLapsed,  // not confirmed for too long: there is no leader, or it is unreachable
  };
  struct Decision {
    Verdict verdict = Verdict::kNoPermit;
    std::string reason{};  // human-readable; empty if and only if allowed()
    bool allowed() const { return verdict == Verdict::kAllowed || verdict == Verdict::kBreakGlass; }
  };

  AgentPermits(std::string agent, PermitRecord record)
      : agent_(std::move(agent)), record_(std::move(record)) {}

  // Handles the leader's answer to a poll that was sent at `request_sent`, on this agent's clock. Returns
  // false, and changes nothing, if it belongs to an older term or state.
  bool OnConfirmation(const PermitConfirmation& confirmation, TimePoint request_sent);
  // A voter that is not the leader answered a poll; `reason` says which voters are missing.
  void OnLeaderless(const std::string& reason) { leaderless_reason_ = reason; }
  // Whether the change's lease may be granted (batch 0), or a step of its batch be taken, at `now`.
  Decision Check(const std::string& change, ChangeKind kind, std::uint32_t batch, TimePoint now) const;
  // Overrides a freeze at this agent for one change, for kBreakGlassDuration, once the record is durable.
  // Fails with kNotAuthorized, kInvalidRequest or kLimitReached.
  Status BreakGlass(const BreakGlassRequest& request, TimePoint now);
  // A leader has this agent's break-glass records up to `number` in its committed state.
  void OnBreakGlassReported(std::uint64_t number);

  const PermitRecord& record() const { return record_; }

 private:
  struct Confirmation {
    PermitConfirmation confirmation;
    TimePoint until;  // end of its validity
  };
  Decision CheckConfirmed(const PermitConfirmation& confirmation, ChangeKind kind, std::uint32_t batch) const;

  std::string agent_;
  PermitRecord record_;
  // The members below belong to this process only and are not stored on disk.
  std::uint64_t version_ = 0;                           // the highest received in this term
  std::map<std::string, Confirmation> confirmations_;   // by change
  std::map<std::string, TimePoint> break_glass_until_;  // by change
  std::string leaderless_reason_;                       // empty: there was a leader at the latest poll
};

}  // namespace mothrack::change_freeze
