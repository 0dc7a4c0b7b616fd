// Merges received updates, and suspicions and deaths that this member concludes, into the local state:
// members, values, and this member itself. Pure: no I/O, clock or thread. The rules are in the tables "Rules
// of membership" and "Rules of values" of docs/design/gossip.md.
//
// Source: SWIM, section 4.2 (suspicion, incarnation numbers); Lifeguard, section IV (refutation).
#pragma once

#include <optional>

#include "gossip/anti_entropy_schedule.h"
#include "gossip/probe_scheduler.h"
#include "gossip/protocol_context.h"

namespace mothrack::gossip {

class UpdateMerger {
 public:
  UpdateMerger(ProtocolContext& context, ProbeScheduler& probes, AntiEntropySchedule& anti_entropy)
      : context_(context), probes_(probes), anti_entropy_(anti_entropy) {}

  // Merges an update of any member. Invalid and superseded updates are counted. An update about this member
  // is passed to RespondToOwnUpdate().
  void ApplyMember(const MembershipUpdate& update, UpdateOrigin origin, TimePoint now, CoreOutput& out);
  // Handles an update about this member itself: if it is wrong, refutes it with a higher incarnation or boot
  // number.
  void RespondToOwnUpdate(const MembershipUpdate& update, TimePoint now, CoreOutput& out);
  void ApplyValue(const Value& value, TimePoint now, CoreOutput& out);
  // Values received before `time` are counted as stale, because they waited in the socket for an unknown
  // time.
  void IgnoreValuesUntil(TimePoint time) { values_ignored_until_ = time; }

  // Expires values whose time to live is over. Forgets an owner that is not a known member once all its
  // values have expired.
  void ExpireValues(TimePoint now, CoreOutput& out);
  // Forgets dead and departed members after `dead_retention`.
  void ForgetDeparted(TimePoint now);

  // Returns the state that supersedes the update: a later boot of the same member, or its leave. Returns
  // nothing if there is none.
  std::optional<MembershipUpdate> FindLaterBoot(const MembershipUpdate& update) const;

 private:
  // Returns false if the boot number was raised less than a probe interval ago or cannot be raised further.
  // The interval slows down two processes of one name that keep exceeding each other's number.
  bool RaiseBootNumber(const MembershipUpdate& update, TimePoint now, CoreOutput& out);
  // Updates counters, the probe list and the digest schedule after a member's state changed. `was_alone`:
  // whether no other member was live before the change.
  void OnMemberChanged(const MembershipUpdate& member, const std::optional<MembershipUpdate>& before,
                       bool was_alone, TimePoint now);
  void ApplyOwnValue(const Value& value, TimePoint now, CoreOutput& out);
  // Reports an expired value and stops its dissemination.
  void ReportExpired(Value&& value, CoreOutput& out);

  ProtocolContext& context_;
  ProbeScheduler& probes_;
  AntiEntropySchedule& anti_entropy_;
  TimePoint values_ignored_until_{TimePoint::min()};
  std::optional<TimePoint> boot_raised_at_;
};

}  // namespace mothrack::gossip
