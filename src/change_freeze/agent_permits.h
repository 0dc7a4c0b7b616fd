// An agent's side of a freeze: which permits still count here, and break-glass.
//
// The agent grants the lease of a change, and takes each of its steps, only while it has a permit that the
// leader of the highest term it knows has confirmed a short while ago; a confirmation of an older term is
// refused however late it comes. So a freeze is in force at every agent within kPermitValidity of its
// decision, also at one that nobody can reach: an agent counts from when it *sent its request*, and the
// leader answers only while its lease holds.
//
// With no leader nothing new begins, and what runs waits. Break-glass (break_glass.h) is the operator's way
// past that.
//
// A value without clock, disk or socket; one thread at a time. For calls that change record(): let a copy
// decide, make its record durable, keep the copy. Source: docs/design/change_freeze.md, "Rules of permits".
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

// What the agent keeps on disk.
struct PermitRecord {
  Term term = 0;                        // the highest known
  std::uint64_t break_glass_count = 0;  // of all times
  // Not yet committed by a leader; at most kMaxUnreportedBreakGlass.
  std::vector<BreakGlassRecord> unreported{};
  bool operator==(const PermitRecord&) const = default;
};

class AgentPermits {
 public:
  enum class Verdict : std::uint8_t {
    kAllowed,
    kBreakGlass,  // allowed, by an override
    kNoPermit,    // the leader has given none, or none for this kind or batch
    kPaused,      // this batch does not begin
    kBlocked,
    kLapsed,  // not confirmed for too long: nobody leads, or the leader can't be reached
  };
  struct Decision {
    Verdict verdict = Verdict::kNoPermit;
    std::string reason{};  // for people; empty if and only if allowed()
    bool allowed() const { return verdict == Verdict::kAllowed || verdict == Verdict::kBreakGlass; }
  };

  AgentPermits(std::string agent, PermitRecord record)
      : agent_(std::move(agent)), record_(std::move(record)) {}

  // The leader's answer to a poll that left at `request_sent`, of this agent's clock. False: of an older term
  // or state, and nothing has changed.
  bool OnConfirmation(const PermitConfirmation& confirmation, TimePoint request_sent);
  // A poll was answered by a voter that does not lead; `reason` says who is missing.
  void OnLeaderless(const std::string& reason) { leaderless_reason_ = reason; }
  // May the change's lease be granted (batch 0), or a step of its batch be taken, at this instant?
  Decision Check(const std::string& change, ChangeKind kind, std::uint32_t batch, TimePoint now) const;
  // Overrides a freeze for one change here, for kBreakGlassDuration, once the record is durable. Fails with
  // kNotAuthorized, kInvalidRequest or kLimitReached.
  Status BreakGlass(const BreakGlassRequest& request, TimePoint now);
  // A leader has this agent's break-glass records up to `number` in its committed state.
  void OnBreakGlassReported(std::uint64_t number);

  const PermitRecord& record() const { return record_; }

 private:
  struct Confirmation {
    PermitConfirmation confirmation;
    TimePoint until;  // it counts until then
  };
  Decision CheckConfirmed(const PermitConfirmation& confirmation, ChangeKind kind, std::uint32_t batch) const;

  std::string agent_;
  PermitRecord record_;
  // All below is of this process only; none of it is on disk.
  std::uint64_t version_ = 0;                           // the highest received of the term
  std::map<std::string, Confirmation> confirmations_;   // by change
  std::map<std::string, TimePoint> break_glass_until_;  // by change
  std::string leaderless_reason_;                       // empty: somebody led when it was last asked
};

}  // namespace mothrack::change_freeze
