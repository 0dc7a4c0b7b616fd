#include "change_freeze/replica_tracker.h"

#include <algorithm>
#include <vector>

namespace mothrack::change_freeze {

void ReplicaTracker::BeginTerm() {
  replicas_.clear();
  committed_ = 0;
}

void ReplicaTracker::OnAcknowledged(const std::string& voter, Incarnation incarnation,
                                    std::uint64_t version) {
  Replica& replica = replicas_[voter];
  const bool later_incarnation = incarnation > replica.incarnation;
  const bool later_version = incarnation == replica.incarnation && version > replica.version;
  if (later_incarnation || later_version) replica = {version, incarnation};
}

bool ReplicaTracker::IsBehind(const std::string& voter, std::uint64_t version) const {
  const auto replica = replicas_.find(voter);
  return replica == replicas_.end() || replica->second.version < version;
}

void ReplicaTracker::UpdateCommitted(std::uint64_t local_version, std::size_t majority,
                                     const IncarnationTable& incarnations) {
  std::vector<std::uint64_t> versions{local_version};
  for (const auto& [voter, replica] : replicas_) {
    if (incarnations.IsCurrent(voter, replica.incarnation)) versions.push_back(replica.version);
  }
  if (versions.size() < majority) return;
  std::sort(versions.rbegin(), versions.rend());
  committed_ = std::max(committed_, versions[majority - 1]);
}

}  // namespace mothrack::change_freeze
