// The traffic that this member's balancer may send to each zone, derived from the zone states. Pure
// functions; any thread.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "zone_failover/config.h"
#include "zone_failover/evidence.h"
#include "zone_failover/zone_state.h"

namespace mothrack::zone_failover {

// The plan for one zone. Rates are those of this member, in calls per 1000 s.
struct ZoneShare {
  std::string zone;
  int share = kWholeShare;  // of the traffic that the balancer would send there otherwise, in thousandths
  // Allowed rate to the zone's upstreams at the start of their slow start. It grows with the slow start
  // factor.
  std::uint32_t slow_start_per_1000s = 0;
  std::uint32_t probes_per_1000s = 0;
  std::uint32_t generation = 0;
};

// The plan for all zones.
struct TrafficPlan {
  std::vector<ZoneShare> zones;  // sorted by name
  // Share of all calls to be shed, in thousandths: the load of drained zones that the other zones do not
  // take.
  int shed = 0;
  Duration valid_for{0};  // afterwards the balancer uses its own view
};

// `started`: the start of this member, if no peer reported a state to it. For FailoverConfig::cautious_start
// it then sends only probes to zones other than its own. Otherwise absent.
TrafficPlan TrafficPlanFor(const ZoneStates& states, const std::vector<EvidenceReport>& reports,
                           const MemberList& members, const FailoverConfig& config, TimePoint now,
                           std::optional<TimePoint> started = std::nullopt);

}  // namespace mothrack::zone_failover
