#include "dispatch/upstream_overrides.h"

#include <utility>

namespace mothrack::dispatch {
namespace {

using balancer::MembershipUpdate;
using balancer::UpstreamState;

// Maximum number of remembered uids, which would otherwise accumulate as machines are replaced.
constexpr std::size_t kMaxRemembered = 16384;

}  // namespace

MembershipList UpstreamOverrides::Apply(MembershipList list) {
  if (list.update.kind == MembershipUpdate::Kind::kFailed) return list;
  if (list.update.kind != MembershipUpdate::Kind::kChanges) {
    for (auto it = listed_.begin(); it != listed_.end();) {
      if (list.locations.contains(it->first)) {
        ++it;
        continue;
      }
      list.locations[it->first].state = UpstreamState::kGone;
      it = listed_.erase(it);
    }
  }
  for (balancer::UpstreamInfo& info : list.update.upstreams) {
    const std::string uid = info.id.value;
    Location& location = list.locations[uid];
    RememberListed(uid);
    if (info.state == UpstreamState::kGone) {
      listed_.erase(uid);
      continue;
    }
    Entry entry{info, location};
    listed_[uid] = entry;
    ApplyBan(uid, entry);
    info = entry.info;
    location = entry.location;
  }
  return list;
}

std::optional<MembershipList> UpstreamOverrides::Ban(const std::string& uid) {
  if (!remembered_.contains(uid)) return std::nullopt;
  bans_.insert(uid);
  return ChangeOf(uid);
}

std::optional<MembershipList> UpstreamOverrides::Unban(const std::string& uid) {
  if (!remembered_.contains(uid)) return std::nullopt;
  bans_.erase(uid);
  return ChangeOf(uid);
}

MembershipList UpstreamOverrides::Restore(const std::set<std::string>& bans) {
  MembershipList changes;
  changes.update.kind = MembershipUpdate::Kind::kChanges;
  for (const std::string& uid : bans) {
    RememberListed(uid);
    bans_.insert(uid);
    MembershipList change = ChangeOf(uid);
    changes.locations.merge(change.locations);
    for (auto& info : change.update.upstreams) changes.update.upstreams.push_back(std::move(info));
  }
  return changes;
}

void UpstreamOverrides::RememberListed(const std::string& uid) {
  if (!remembered_.insert(uid).second) return;
  remembered_in_order_.push_back(uid);
  for (std::size_t unchecked = remembered_in_order_.size();
       remembered_in_order_.size() > kMaxRemembered && unchecked > 0; --unchecked) {
    std::string oldest = std::move(remembered_in_order_.front());
    remembered_in_order_.pop_front();
    if (bans_.contains(oldest) || listed_.contains(oldest)) {
      remembered_in_order_.push_back(std::move(oldest));
    } else {
      remembered_.erase(oldest);
    }
  }
}

void UpstreamOverrides::ApplyBan(const std::string& uid, Entry& entry) const {
  if (!bans_.contains(uid) || entry.info.state != UpstreamState::kServing) return;
  entry.info.state = entry.location.state = UpstreamState::kDraining;
}

MembershipList UpstreamOverrides::ChangeOf(const std::string& uid) const {
  MembershipList list;
  list.update.kind = MembershipUpdate::Kind::kChanges;
  if (const auto it = listed_.find(uid); it != listed_.end()) {
    Entry entry = it->second;
    ApplyBan(uid, entry);
    list.update.upstreams.push_back(entry.info);
    list.locations[uid] = entry.location;
  }
  return list;
}

}  // namespace mothrack::dispatch
