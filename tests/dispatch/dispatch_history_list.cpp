// The endpoint list and the bans of a history.
#include <chrono>
#include <string>
#include <utility>

#include "dispatch/dispatch_history.h"

namespace mothrack::testing {

void DispatchHistory::DrawUpstream(int number) {
  const std::string uid = "u" + std::to_string(number);
  const auto dice = random_.Below(10);
  if (dice == 0) {
    listed_.erase(uid);
    return;
  }
  ListedUpstream& entry = listed_[uid];
  entry.info.id.value = uid;
  entry.info.zone = number % 2 == 0 ? "a" : "b";
  entry.info.cell = number % 3;
  entry.info.state = dice < 3 ? UpstreamState::kDraining : UpstreamState::kServing;
  if (dice < 8) return;
  entry.info.started = sim_.now();
  entry.boot_ms = ++last_boot_ms_;
}

void DispatchHistory::ChangeList(MembershipUpdate::Kind kind, const std::string& only) {
  dispatch::MembershipList list;
  list.update.kind = kind;
  if (kind != MembershipUpdate::Kind::kChanges) {
    for (int i = 0; i < kUpstreams; ++i) DrawUpstream(i);
  }
  for (const auto& [uid, entry] : listed_) {
    if (kind == MembershipUpdate::Kind::kChanges && uid != only) continue;
    list.update.upstreams.push_back(entry.info);
    list.locations[uid] =
        dispatch::Location{entry.info.state, *runtime::ParseEndpoint("127.0.0.1:1"), entry.boot_ms};
  }
  if (!only.empty() && !listed_.contains(only)) {
    balancer::UpstreamInfo removed;
    removed.id.value = only;
    removed.state = UpstreamState::kGone;
    list.update.upstreams.push_back(removed);
    list.locations[only].state = UpstreamState::kGone;
  }
  dispatcher_.Apply(std::move(list));
}

void DispatchHistory::ChangeOneUpstream() {
  const auto number = static_cast<int>(random_.Below(kUpstreams));
  DrawUpstream(number);
  ChangeList(MembershipUpdate::Kind::kChanges, "u" + std::to_string(number));
}

void DispatchHistory::OnSubscribe() {
  ++situations_["list subscribed"];
  if (random_.Chance(0.5)) dispatcher_.MembershipFailed();
}

void DispatchHistory::Ban() {
  const std::string uid = "u" + std::to_string(random_.Below(kUpstreams));
  const bool before = !bans_.insert(uid).second;
  if (!dispatcher_.Ban(uid) && !before) bans_.erase(uid);
  ++situations_["banned"];
}

void DispatchHistory::Unban() {
  if (bans_.empty()) return;
  const std::string uid = *bans_.begin();
  bans_.erase(bans_.begin());
  dispatcher_.Unban(uid);
}

}  // namespace mothrack::testing
