// Merges what was received, or concluded here, into the local state: members, values, and this member itself.
// Pure. The tables "Rules of membership" and "Rules of values" in docs/design/gossip.md are its rules.
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

  // An update of any member. Invalid and superseded ones are counted; one of this member is answered.
  void ApplyMember(const MembershipUpdate& update, UpdateOrigin origin, TimePoint now, CoreOutput& out);
  // An update of this very member: refutes it, by a higher incarnation or boot number, where it is wrong.
  void RespondToOwnUpdate(const MembershipUpdate& update, TimePoint now, CoreOutput& out);
  void ApplyValue(const Value& value, TimePoint now, CoreOutput& out);
  // Until then received values are counted as stale: they waited in the socket for an unknown time.
  void IgnoreValuesUntil(TimePoint time) { values_ignored_until_ = time; }

  // Values whose time to live is over, and owners of which nothing else is known.
  void ExpireValues(TimePoint now, CoreOutput& out);
  // Dead and departed members after `dead_retention`.
  void ForgetDeparted(TimePoint now);

  // What is known of a later boot of this member, or of its end; nothing where the update is not superseded.
  std::optional<MembershipUpdate> FindLaterBoot(const MembershipUpdate& update) const;

 private:
  // False where it may not be raised now: two processes of one name would outbid each other without end.
  bool RaiseBootNumber(const MembershipUpdate& update, TimePoint now, CoreOutput& out);
  // Counters, probing and catching up after the state of a member changed. `was_alone`: before the change.
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
