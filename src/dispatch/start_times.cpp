#include "dispatch/start_times.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace mothrack::dispatch {

using balancer::MembershipUpdate;
using balancer::UpstreamInfo;
using balancer::UpstreamState;

void StartTimes::SetStartTimes(MembershipList& list, const runtime::ClockReading& reading) {
  const bool restored = list.update.kind == MembershipUpdate::Kind::kRestored;
  for (UpstreamInfo& info : list.update.upstreams) {
    const std::string& uid = info.id.value;
    const auto location = list.locations.find(uid);
    const std::int64_t boot_ms = location == list.locations.end() ? 0 : location->second.boot_ms;
    if (info.state == UpstreamState::kGone || boot_ms == 0) {
      MarkDeparted(uid);
      continue;
    }
    const PlacedProcess* known = Find(uid, boot_ms);
    const PlacedProcess placed =
        known != nullptr ? *known : PlacedProcess{boot_ms, Estimate(boot_ms, reading, !restored)};
    info.started = placed.started;
    listed_[uid] = placed;
  }
  if (list.update.kind != MembershipUpdate::Kind::kChanges) MarkDepartedAllBut(list);
  last_reading_ = reading;
  if (!restored) last_list_ = reading.now;
}

void StartTimes::MarkDepartedAllBut(const MembershipList& list) {
  std::vector<std::string> missing;
  for (const auto& [uid, placed] : listed_) {
    if (!list.locations.contains(uid)) missing.push_back(uid);
  }
  for (const std::string& uid : missing) MarkDeparted(uid);
}

void StartTimes::MarkDeparted(const std::string& uid) {
  const auto it = listed_.find(uid);
  if (it == listed_.end()) return;
  if (departed_.insert_or_assign(uid, it->second).second) departed_in_order_.push_back(uid);
  listed_.erase(it);
  while (departed_in_order_.size() > kMaxDeparted) {
    departed_.erase(departed_in_order_.front());
    departed_in_order_.pop_front();
  }
}

runtime::TimePoint StartTimes::Estimate(std::int64_t boot_ms, const runtime::ClockReading& reading,
                                        bool bounded) const {
  const std::chrono::milliseconds unix_time(boot_ms);
  const runtime::TimePoint later = std::max(last_reading_.At(unix_time), reading.At(unix_time));
  if (!bounded || !last_list_) return std::min(later, reading.now);
  return std::clamp(later, std::min(*last_list_, reading.now), reading.now);
}

const StartTimes::PlacedProcess* StartTimes::Find(const std::string& uid, std::int64_t boot_ms) const {
  for (const auto* places : {&listed_, &departed_}) {
    const auto it = places->find(uid);
    if (it != places->end() && it->second.boot_ms == boot_ms) return &it->second;
  }
  return nullptr;
}

void StartTimes::Import(const std::vector<ProcessStart>& placed,
                        std::optional<runtime::TimePoint> last_list) {
  for (const ProcessStart& process : placed) listed_[process.uid] = {process.boot_ms, process.started};
  last_list_ = last_list;
}

std::vector<ProcessStart> StartTimes::Export() const {
  std::vector<ProcessStart> placed;
  placed.reserve(listed_.size());
  for (const auto& [uid, process] : listed_) placed.push_back({uid, process.boot_ms, process.started});
  return placed;
}

}  // namespace mothrack::dispatch
