#include "gossip/update_merger.h"

#include <string>
#include <utility>

namespace mothrack::gossip {
namespace {

// A raised boot number exceeds the earlier process's by at most this many microseconds.
constexpr std::size_t kBootNumberSpread = 1 << 20;

bool IsLive(const MembershipUpdate& member) { return member.state <= MemberState::kSuspect; }

}  // namespace

void UpdateMerger::ApplyMember(const MembershipUpdate& update, UpdateOrigin origin, TimePoint now,
                               CoreOutput& out) {
  const std::string& name = update.boot_id.name;
  if (!IsValid(update)) {
    ++context_.counts.rejected;
    return;
  }
  if (context_.IsSelf(update.boot_id)) {
    RespondToOwnUpdate(update, now, out);
    return;
  }
  if (update.boot_id.boot_number < context_.values.BootNumberOf(name)) {
    ++context_.counts.updates_stale;
    return;
  }
  const bool was_alone = context_.alone();
  const auto result = context_.membership.Apply(update, origin, now);
  for (const std::string& evicted : context_.membership.TakeEvicted()) context_.values.Forget(evicted);
  if (!result.applied) {
    ++(result.full ? context_.counts.rejected : context_.counts.updates_stale);
    return;
  }
  ++context_.counts.updates_applied;
  if (origin == UpdateOrigin::kAntiEntropy) anti_entropy_.OnUpdateLearned();
  const MembershipUpdate& member = context_.membership.Find(name)->update;
  OnMemberChanged(member, result.before, was_alone, now);
  for (Value& value : context_.values.AdvanceBoot(member.boot_id, false))
    ReportExpired(std::move(value), out);
  context_.updates.Add(name, "", now);
  // A refutation of a suspicion that was never seen here is not a change for users of the membership.
  MembershipUpdate comparable = member;
  if (result.before) comparable.incarnation = result.before->incarnation;
  if (!result.before || comparable != *result.before) out.AddChange(Change::Kind::kMember, member);
}

void UpdateMerger::OnMemberChanged(const MembershipUpdate& member,
                                   const std::optional<MembershipUpdate>& before, bool was_alone,
                                   TimePoint now) {
  const bool live = IsLive(member);
  const bool was_live = before && IsLive(*before);
  if (member.state == MemberState::kSuspect) ++context_.counts.suspected;
  if (member.state == MemberState::kDead && was_live) ++context_.counts.died;
  if (live && before && !was_live) ++context_.counts.returned;
  if (live && !was_live) probes_.AddMember(member.boot_id.name, context_.random);
  if (live && was_alone) anti_entropy_.OnFirstLiveMember(now);
}

void UpdateMerger::ApplyValue(const Value& value, TimePoint now, CoreOutput& out) {
  if (!IsValid(value)) {
    ++context_.counts.rejected;
    return;
  }
  if (context_.IsSelf(value.owner)) {
    ApplyOwnValue(value, now, out);
    return;
  }
  const auto* owner = context_.membership.Find(value.owner.name);
  // An expired value of an unknown owner is not stored, because nothing would ever remove it.
  const bool would_be_kept_forever = owner == nullptr && value.age >= value.ttl;
  const bool of_earlier_boot =
      owner != nullptr && value.owner.boot_number < owner->update.boot_id.boot_number;
  if (would_be_kept_forever || of_earlier_boot || now < values_ignored_until_) {
    ++context_.counts.values_stale;
    return;
  }
  auto result = context_.values.Merge(value, now);
  for (Value& expired : result.expired) ReportExpired(std::move(expired), out);
  switch (result.outcome) {
    case ValueStore::MergeOutcome::kFull:
      ++context_.counts.rejected;
      break;
    case ValueStore::MergeOutcome::kApplied:
      ++context_.counts.values_applied;
      context_.updates.Add(value.owner.name, value.key, now - value.age);
      out.AddChange(Change::Kind::kValue, value);
      break;
    case ValueStore::MergeOutcome::kAged:
    case ValueStore::MergeOutcome::kStale:
    case ValueStore::MergeOutcome::kAppliedExpired:
      ++context_.counts.values_stale;
      break;
  }
}

void UpdateMerger::ApplyOwnValue(const Value& value, TimePoint now, CoreOutput& out) {
  if (value.owner.boot_number > context_.self.boot_id.boot_number) {
    MembershipUpdate update = context_.self;
    update.boot_id = value.owner;
    RespondToOwnUpdate(update, now, out);
  } else if (context_.values.RefuteVersion(value)) {
    context_.updates.Add(context_.self.boot_id.name, value.key, now);
  }
}

void UpdateMerger::RespondToOwnUpdate(const MembershipUpdate& update, TimePoint now, CoreOutput& out) {
  const SelfResponse response = ResponseTo(context_.self, update);
  switch (response) {
    case SelfResponse::kIgnore:
      return;
    case SelfResponse::kRaiseBootNumber:
      if (!RaiseBootNumber(update, now, out)) return;
      break;
    case SelfResponse::kRaiseIncarnation:
    case SelfResponse::kRefute:
      context_.self.incarnation = update.incarnation + 1;
      break;
  }
  if (response == SelfResponse::kRefute) {
    probes_.RecordOutcome(Outcome::kRefuted);
    ++context_.counts.refuted;
    if (update.state == MemberState::kDead) anti_entropy_.OnDeclaredDead();
  }
  context_.membership.SetLocal(context_.self);
  context_.updates.Add(context_.self.boot_id.name, "", now);
}

bool UpdateMerger::RaiseBootNumber(const MembershipUpdate& update, TimePoint now, CoreOutput& out) {
  const std::uint64_t received = update.boot_id.boot_number;
  if (received >= kMaxCounter - kBootNumberSpread) return false;
  if (boot_raised_at_ && now < *boot_raised_at_ + context_.config.probe_interval) return false;
  boot_raised_at_ = now;
  MembershipUpdate& self = context_.self;
  // Random, because two processes that successively replace the same earlier one must get different numbers.
  self.boot_id.boot_number = received + 1 + context_.random.Below(kBootNumberSpread);
  self.incarnation = 0;
  context_.values.AdvanceBoot(self.boot_id, true);
  if (const auto* own_values = context_.values.ValuesOf(self.boot_id)) {
    for (const auto& [key, stored] : *own_values) {
      if (!stored.expired) context_.updates.Add(self.boot_id.name, key, now);
    }
  }
  out.AddChange(Change::Kind::kLocalBootRaised, self);
  return true;
}

void UpdateMerger::ExpireValues(TimePoint now, CoreOutput& out) {
  for (Value& value : context_.values.ExpireDue(now)) {
    const std::string owner = value.owner.name;
    ReportExpired(std::move(value), out);
    // An unknown member was kept only because of its values.
    if (context_.membership.Find(owner) == nullptr && context_.values.AllExpired(owner)) {
      context_.values.Forget(owner);
    }
  }
}

void UpdateMerger::ForgetDeparted(TimePoint now) {
  for (const std::string& name : context_.membership.ForgettableMembers(now)) {
    context_.membership.Forget(name);
    context_.values.Forget(name);
  }
}

std::optional<MembershipUpdate> UpdateMerger::FindLaterBoot(const MembershipUpdate& update) const {
  const std::string& name = update.boot_id.name;
  const std::uint64_t boot_number = update.boot_id.boot_number;
  if (const auto* member = context_.membership.Find(name)) {
    const MembershipUpdate& known = member->update;
    const bool later = boot_number < known.boot_id.boot_number;
    const bool left = boot_number == known.boot_id.boot_number && known.state == MemberState::kLeft;
    if (later || left) return known;
  }
  // A value may be the only thing received of a later boot.
  const std::uint64_t boot_number_of_values = context_.values.BootNumberOf(name);
  if (boot_number >= boot_number_of_values) return std::nullopt;
  MembershipUpdate later = update;
  later.boot_id.boot_number = boot_number_of_values;
  return later;
}

void UpdateMerger::ReportExpired(Value&& value, CoreOutput& out) {
  ++context_.counts.expired;
  context_.updates.Drop(value.owner.name, value.key);
  value.bytes.clear();
  out.AddChange(Change::Kind::kValueExpired, value);
}

}  // namespace mothrack::gossip
