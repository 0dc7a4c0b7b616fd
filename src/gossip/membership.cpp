#include "gossip/membership.h"

#include <algorithm>
#include <cmath>

namespace mothrack::gossip {
namespace {

bool IsLive(MemberState state) { return state == MemberState::kAlive || state == MemberState::kSuspect; }

}  // namespace

std::optional<MemberState> ResolveState(const MembershipUpdate* current, const MembershipUpdate& update,
                                        UpdateOrigin origin) {
  if (current == nullptr) return update.state;
  if (update.boot_id.boot_number != current->boot_id.boot_number) {
    if (update.boot_id.boot_number < current->boot_id.boot_number) return std::nullopt;
    return update.state;
  }
  // A leave is final: no incarnation of the same boot supersedes it.
  if (current->state == MemberState::kLeft) return std::nullopt;
  if (update.state == MemberState::kLeft) return MemberState::kLeft;
  MembershipUpdate effective = update;
  if (update.state == MemberState::kDead && origin == UpdateOrigin::kAntiEntropy && IsLive(current->state))
    effective.state = MemberState::kSuspect;
  if (!Supersedes(effective, *current)) return std::nullopt;
  return effective.state;
}

SelfResponse ResponseTo(const MembershipUpdate& local, const MembershipUpdate& update) {
  if (update.boot_id.boot_number < local.boot_id.boot_number) return SelfResponse::kIgnore;
  if (update.boot_id.boot_number > local.boot_id.boot_number || update.state == MemberState::kLeft)
    return SelfResponse::kRaiseBootNumber;
  if (update.incarnation < local.incarnation) return SelfResponse::kIgnore;
  if (update.state == MemberState::kAlive && update.incarnation == local.incarnation)
    return SelfResponse::kIgnore;
  if (update.incarnation >= kMaxCounter) return SelfResponse::kRaiseBootNumber;
  return update.state == MemberState::kAlive ? SelfResponse::kRaiseIncarnation : SelfResponse::kRefute;
}

bool IsValid(const BootId& boot_id) {
  return !boot_id.name.empty() && boot_id.name.size() <= kMaxNameSize && boot_id.boot_number > 0 &&
         boot_id.boot_number <= kMaxCounter;
}

bool IsValid(const MembershipUpdate& update) {
  return IsValid(update.boot_id) && update.incarnation <= kMaxCounter &&
         update.state >= MemberState::kAlive && update.state <= MemberState::kLeft &&
         (update.role == Role::kSidecar || update.role == Role::kAgent) && !update.address.empty() &&
         update.address.size() <= kMaxAddressSize && update.zone.size() <= kMaxNameSize;
}

Membership::Membership(const MembershipUpdate& local, const ProtocolConfig& config, TimePoint now)
    : local_name_(local.boot_id.name), config_(config) {
  members_[local_name_] = {local, now, true, now, now, {}};
}

Membership::ApplyResult Membership::Apply(const MembershipUpdate& update, UpdateOrigin origin,
                                          TimePoint now) {
  auto it = members_.find(update.boot_id.name);
  const auto state = ResolveState(it == members_.end() ? nullptr : &it->second.update, update, origin);
  if (!state) return {};
  ApplyResult result;
  if (it == members_.end()) {
    if (members_.size() >= kMaxMembers) {
      if (departed_.empty()) return {false, true, std::nullopt};
      evicted_.push_back(departed_.begin()->second);
      Forget(evicted_.back());
    }
    it = members_.try_emplace(update.boot_id.name).first;
  } else {
    result.before = it->second.update;
    Unindex(it->first, it->second);
  }
  Member& member = it->second;
  member.update = update;
  member.update.state = *state;
  if (!result.before || result.before->state != *state) member.since = now;
  member.was_live = member.was_live || IsLive(*state);
  member.suspected_at = now;
  member.reporters.clear();
  Index(it->first, member);
  if (*state == MemberState::kSuspect) RescheduleSuspicion(it->first, member);
  result.applied = true;
  return result;
}

void Membership::Index(const std::string& name, const Member& member) {
  if (!IsLive(member.update.state)) {
    departed_.emplace(member.since, name);
    return;
  }
  live_.push_back(name);
  if (member.update.state == MemberState::kSuspect) suspects_.emplace(member.suspicion_ends, name);
}

void Membership::Unindex(const std::string& name, const Member& member) {
  if (!IsLive(member.update.state)) {
    departed_.erase({member.since, name});
    return;
  }
  live_.erase(std::find(live_.begin(), live_.end(), name));
  suspects_.erase({member.suspicion_ends, name});
}

void Membership::ReportSuspect(const std::string& name, std::uint64_t incarnation, const std::string& by) {
  const auto it = members_.find(name);
  if (it == members_.end() || it->second.update.state != MemberState::kSuspect) return;
  Member& member = it->second;
  // Bounded, because further reporters change nothing.
  if (member.update.incarnation != incarnation ||
      (member.reporters.size() > kMaxConfirmations && by != local_name_) ||
      !member.reporters.insert(by).second) {
    return;
  }
  RescheduleSuspicion(name, member);
}

void Membership::RescheduleSuspicion(const std::string& name, Member& member) {
  suspects_.erase({member.suspicion_ends, name});
  member.suspicion_ends = member.suspected_at + SuspicionTimeout(member);
  suspects_.emplace(member.suspicion_ends, name);
}

Duration Membership::SuspicionTimeout(const Member& member) const {
  const double min_ms = config_.suspicion_multiplier *
                        std::log10(std::max<double>(10, static_cast<double>(live_.size() + 1))) *
                        static_cast<double>(config_.probe_interval.count());
  const double max_ms = min_ms * std::max(1.0, config_.max_suspicion_multiplier);
  const auto max_confirmations =
      static_cast<double>(std::min(kMaxConfirmations, live_.empty() ? 0 : live_.size() - 1));
  if (max_confirmations < 1) return Duration(std::llround(min_ms));  // no other member could confirm
  const double confirmations =
      member.reporters.empty() ? 0 : static_cast<double>(member.reporters.size() - 1);
  return Duration(std::llround(std::max(
      min_ms, max_ms - (max_ms - min_ms) * std::log(confirmations + 1) / std::log(max_confirmations + 1))));
}

void Membership::ExtendSuspicions(Duration gap) {
  for (const auto& [ends, name] : std::exchange(suspects_, {})) {
    Member& member = members_.at(name);
    member.suspected_at += gap;
    member.suspicion_ends += gap;
    suspects_.emplace(member.suspicion_ends, name);
  }
}

std::vector<std::string> Membership::ExpiredSuspicions(TimePoint now) const {
  std::vector<std::string> names;
  for (const auto& [ends, name] : suspects_) {
    if (now < ends) break;
    names.push_back(name);
  }
  return names;
}

std::vector<std::string> Membership::ForgettableMembers(TimePoint now) const {
  std::vector<std::string> names;
  for (const auto& [since, name] : departed_) {
    if (now < since + config_.dead_retention) break;
    names.push_back(name);
  }
  return names;
}

void Membership::Forget(const std::string& name) {
  const auto it = members_.find(name);
  if (it == members_.end() || name == local_name_) return;
  Unindex(name, it->second);
  members_.erase(it);
}

std::vector<std::string> Membership::TakeEvicted() { return std::exchange(evicted_, {}); }

TimePoint Membership::next() const {
  const TimePoint forget =
      departed_.empty() ? TimePoint::max() : departed_.begin()->first + config_.dead_retention;
  return suspects_.empty() ? forget : std::min(forget, suspects_.begin()->first);
}

bool Membership::ShouldDisseminate(const Member& member, TimePoint now) const {
  return IsLive(member.update.state) || now < member.since + config_.dead_retention / 2;
}

const Membership::Member* Membership::Find(const std::string& name) const {
  const auto it = members_.find(name);
  return it == members_.end() ? nullptr : &it->second;
}

std::vector<std::string> Membership::SampleLive(std::size_t count, const std::string& excluded,
                                                Random& random) const {
  std::vector<std::string> sample;
  // Random draws with rejection: `count` is small, and the second condition ends the loop in a small fleet.
  for (std::size_t attempts = 0; sample.size() < count && attempts < 8 * count && !live_.empty();
       ++attempts) {
    const std::string& name = live_[random.Below(live_.size())];
    if (name != excluded && std::find(sample.begin(), sample.end(), name) == sample.end())
      sample.push_back(name);
  }
  return sample;
}

}  // namespace mothrack::gossip
