// What the balancer keeps of an upstream: one record of each room.
#pragma once

#include <cstdint>
#include <memory>

#include "balancer/balancer.h"
#include "balancer/connection_model.h"
#include "balancer/half_open_probes.h"
#include "balancer/in_flight.h"
#include "balancer/latency_model.h"
#include "balancer/outlier_detection.h"
#include "balancer/round_robin.h"
#include "balancer/slow_start.h"
#include "balancer/subset.h"

namespace mothrack::balancer {

// One process of an upstream. A new start time, or coming back after it was gone, makes another one: outcomes
// of calls to the earlier process say nothing of it.
struct Upstream {
  UpstreamInfo info;
  std::uint64_t rank = 0;  // its place in this sidecar's order
  bool listed = true;      // in the list that is being taken in
  SubsetRecord subset;
  OutlierRecord outlier;
  HalfOpenRecord half_open;
  InFlightRecord in_flight;
  LatencyRecord latency;
  ConnectionRecord connection;
  RotationRecord rotation;
  SlowStartRecord slow_start;
};

using UpstreamPtr = std::shared_ptr<Upstream>;  // those that are gone live on while calls refer to them

}  // namespace mothrack::balancer
