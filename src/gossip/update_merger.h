// Merges received updates, and conclusions of this member, into the local state: members, values, and this
// member itself. Pure: no I/O, clock or thread. The rules are in the tables "Rules of membership" and "Rules
// of values" of docs/design/gossip.md.
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

  // Merges an update of any member. Invalid and superseded ones are counted; one of this member is answered.
  void ApplyMember(const MembershipUpdate& update, UpdateOrigin origin, TimePoint now, CoreOutput& out);
  // Handles an update about this member itself: if it is wrong, refutes it with a higher incarnation or boot
  // number.
  void RespondToOwnUpdate(const MembershipUpdate& update, TimePoint now, CoreOutput& out);
  void ApplyValue(const Value& value, TimePoint now, CoreOutput& out);
  // Until `time`, received values count as stale, because they waited in the socket for an unknown time.
  void IgnoreValuesUntil(TimePoint time) { values_ignored_until_ = time; }

  // Expires values whose time to live is over, and forgets owners of which nothing else is known.
  void ExpireValues(TimePoint now, CoreOutput& out);
  // Forgets dead and departed members after `dead_retention`.
  void ForgetDeparted(TimePoint now);

  // Returns what is known of a later boot of this member, or of its leave; nothing if the update is not
  // superseded.
  std::optional<MembershipUpdate> FindLaterBoot(const MembershipUpdate& update) const;

 private:
  // Returns false if the boot number may not be raised now: two processes of one name would outbid each other
  // forever.
  bool RaiseBootNumber(const MembershipUpdate& update, TimePoint now, CoreOutput& out);
  // Updates counters, probing and catching up after a member's state changed. `was_alone`: before the change.
  void OnMemberChanged(const MembershipUpdate& member, const std::optional<MembershipUpdate>& before,
                       bool was_alone, TimePoint now);
  void ApplyOwnValue(const Value& value, TimePoint now, CoreOutput& out);
  void ReportExpired(Value&& value, CoreOutput& out);

  ProtocolContext& context_;
  ProbeScheduler& probes_;
  AntiEntropySchedule& anti_entropy_;
  TimePoint values_ignored_until_{TimePoint::min()};
  std::optional<TimePoint> boot_raised_at_;
};

}  // namespace mothrack::gossip
