#include "dispatch/upstream_overrides.h"

#include <utility>

namespace mothrack::dispatch {
namespace {

using balancer::MembershipUpdate;
using balancer::UpstreamState;

// Ids are ever new where machines are replaced.
constexpr std::size_t kMostSeen = 16384;

}  // namespace

MembershipList UpstreamOverrides::Take(MembershipList list) {
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
    Saw(uid);
    if (info.state == UpstreamState::kGone) {
      listed_.erase(uid);
      continue;
    }
    Entry entry{info, location};
    listed_[uid] = entry;
    AsItCounts(uid, entry);
    info = entry.info;
    location = entry.location;
  }
  return list;
}

std::optional<MembershipList> UpstreamOverrides::Ban(const std::string& uid) {
  if (!seen_.contains(uid)) return std::nullopt;
  bans_.insert(uid);
  return Telling(uid);
}

std::optional<MembershipList> UpstreamOverrides::Unban(const std::string& uid) {
  if (!seen_.contains(uid)) return std::nullopt;
  bans_.erase(uid);
  return Telling(uid);
}

MembershipList UpstreamOverrides::Restore(const std::set<std::string>& bans) {
  MembershipList changes;
  changes.update.kind = MembershipUpdate::Kind::kChanges;
  for (const std::string& uid : bans) {
    Saw(uid);
    bans_.insert(uid);
    MembershipList one = Telling(uid);
    changes.locations.merge(one.locations);
    for (auto& info : one.update.upstreams) changes.update.upstreams.push_back(std::move(info));
  }
  return changes;
}

void UpstreamOverrides::Saw(const std::string& uid) {
  if (!seen_.insert(uid).second) return;
  seen_order_.push_back(uid);
  for (std::size_t tries = seen_order_.size(); seen_order_.size() > kMostSeen && tries > 0; --tries) {
    std::string first = std::move(seen_order_.front());
    seen_order_.pop_front();
    if (bans_.contains(first) || listed_.contains(first)) {
      seen_order_.push_back(std::move(first));
    } else {
      seen_.erase(first);
    }
  }
}

void UpstreamOverrides::AsItCounts(const std::string& uid, Entry& entry) const {
  if (!bans_.contains(uid) || entry.info.state != UpstreamState::kServing) return;
  entry.info.state = entry.location.state = UpstreamState::kDraining;
}

MembershipList UpstreamOverrides::Telling(const std::string& uid) const {
  MembershipList list;
  list.update.kind = MembershipUpdate::Kind::kChanges;
  if (const auto it = listed_.find(uid); it != listed_.end()) {
    Entry entry = it->second;
    AsItCounts(uid, entry);
    list.update.upstreams.push_back(entry.info);
    list.locations[uid] = entry.location;
  }
  return list;
}

}  // namespace mothrack::dispatch
