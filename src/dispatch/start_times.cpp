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
      MarkRemoved(uid);
      continue;
    }
    const KnownProcess* known = Find(uid, boot_ms);
    const KnownProcess process =
        known != nullptr ? *known : KnownProcess{boot_ms, Estimate(boot_ms, reading, !restored)};
    info.started = process.started;
    listed_[uid] = process;
  }
  if (list.update.kind != MembershipUpdate::Kind::kChanges) MarkRemovedAllBut(list);
  last_reading_ = reading;
  if (!restored) last_list_ = reading.now;
}

void StartTimes::MarkRemovedAllBut(const MembershipList& list) {
  std::vector<std::string> missing;
  for (const auto& [uid, process] : listed_) {
    if (!list.locations.contains(uid)) missing.push_back(uid);
  }
  for (const std::string& uid : missing) MarkRemoved(uid);
}

void StartTimes::MarkRemoved(const std::string& uid) {
  const auto it = listed_.find(uid);
  if (it == listed_.end()) return;
  if (removed_.insert_or_assign(uid, it->second).second) removed_in_order_.push_back(uid);
  listed_.erase(it);
  while (removed_in_order_.size() > kMaxRemoved) {
    removed_.erase(removed_in_order_.front());
    removed_in_order_.pop_front();
  }
}

runtime::TimePoint StartTimes::Estimate(std::int64_t boot_ms, const runtime::ClockReading& reading,
                                        bool after_last_list) const {
  const std::chrono::milliseconds unix_time(boot_ms);
  const runtime::TimePoint later = std::max(last_reading_.At(unix_time), reading.At(unix_time));
  if (!after_last_list || !last_list_) return std::min(later, reading.now);
  return std::clamp(later, std::min(*last_list_, reading.now), reading.now);
}

const StartTimes::KnownProcess* StartTimes::Find(const std::string& uid, std::int64_t boot_ms) const {
  for (const auto* processes : {&listed_, &removed_}) {
    const auto it = processes->find(uid);
    if (it != processes->end() && it->second.boot_ms == boot_ms) return &it->second;
  }
  return nullptr;
}

void StartTimes::Import(const std::vector<ProcessStart>& processes,
                        std::optional<runtime::TimePoint> last_list) {
  for (const ProcessStart& process : processes) listed_[process.uid] = {process.boot_ms, process.started};
  last_list_ = last_list;
}

std::vector<ProcessStart> StartTimes::Export() const {
  std::vector<ProcessStart> processes;
  processes.reserve(listed_.size());
  for (const auto& [uid, process] : listed_) processes.push_back({uid, process.boot_ms, process.started});
  return processes;
}

}  // namespace mothrack::dispatch
