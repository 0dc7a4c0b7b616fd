#include "zone_failover/types.h"

#include <algorithm>
#include <map>

namespace mothrack::zone_failover {

bool HaveDistinctIds(const std::vector<std::string>& zones) {
  std::map<ZoneId, std::string> names;
  return std::all_of(zones.begin(), zones.end(), [&](const std::string& zone) {
    return names.emplace(IdOf(zone), zone).first->second == zone;
  });
}

bool IsIsolated(const MemberList& members) { return members.live.size() * 2 < members.known_members; }

}  // namespace mothrack::zone_failover
