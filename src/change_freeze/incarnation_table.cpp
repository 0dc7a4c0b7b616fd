#include "change_freeze/incarnation_table.h"

#include <algorithm>

namespace mothrack::change_freeze {

void IncarnationTable::Observe(const std::string& voter, Incarnation incarnation) {
  Incarnation& latest = latest_[voter];
  latest = std::max(latest, incarnation);
}

Incarnation IncarnationTable::Latest(const std::string& voter) const {
  const auto entry = latest_.find(voter);
  return entry == latest_.end() ? 0 : entry->second;
}

std::size_t IncarnationTable::CountCurrent(const std::map<std::string, Incarnation>& voters) const {
  return std::count_if(voters.begin(), voters.end(),
                       [&](const auto& entry) { return IsCurrent(entry.first, entry.second); });
}

}  // namespace mothrack::change_freeze
