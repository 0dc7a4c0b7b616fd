#include "change_freeze/leader_lease.h"

#include <algorithm>
#include <vector>

namespace mothrack::change_freeze {

void LeaderLease::OnAcknowledged(const std::string& voter, TimePoint request_sent) {
  TimePoint& latest = acknowledged_requests_[voter];
  latest = std::max(latest, request_sent);
}

TimePoint LeaderLease::End(std::size_t majority) const {
  std::vector<TimePoint> sent{last_heartbeat_};
  for (const auto& [voter, request_sent] : acknowledged_requests_) sent.push_back(request_sent);
  if (sent.size() < majority) return TimePoint::min();
  std::sort(sent.rbegin(), sent.rend());
  return sent[majority - 1] + Shortened(length_);
}

}  // namespace mothrack::change_freeze
