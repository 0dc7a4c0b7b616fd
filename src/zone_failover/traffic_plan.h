// What the balancer of this member may send to each zone, from the zone states. Pure; any thread.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "zone_failover/config.h"
#include "zone_failover/evidence.h"
#include "zone_failover/zone_state.h"

namespace mothrack::zone_failover {

// Rates are this member's, in calls in a thousand seconds.
struct ZoneShare {
  std::string zone;
  int share = kWholeShare;  // of what it would send there, thousandths
  // To cold upstreams of the zone, were they as cold as can be.
  std::uint32_t slow_start_per_1000s = 0;
  std::uint32_t probes_per_1000s = 0;
  std::uint32_t generation = 0;
};

struct TrafficPlan {
  std::vector<ZoneShare> zones;  // by name
  // Share of all calls to be shed, thousandths: the load of drained zones that the others don't take.
  int shed = 0;
  Duration valid_for{0};  // after that the balancer goes by its own view
};

// `started`: since when this member runs, where no peer reported a state to it; it then sends probes only to
// zones other than its own for FailoverConfig::cautious_start. Else nothing.
TrafficPlan TrafficPlanFor(const ZoneStates& states, const std::vector<EvidenceReport>& reports,
                           const MemberList& members, const FailoverConfig& config, TimePoint now,
                           std::optional<TimePoint> started = std::nullopt);

}  // namespace mothrack::zone_failover
