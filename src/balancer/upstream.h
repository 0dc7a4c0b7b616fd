// The record of one upstream, composed of one record per component of the decision module.
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

// One process of an upstream. A different start time, or a return after a removal, makes a new record, since
// outcomes at the former process say nothing about the new one.
struct Upstream {
  UpstreamInfo info;
  std::uint64_t rank = 0;  // position in this sidecar's order, a hash
  bool listed = true;      // present in the endpoint list that is being processed
  SubsetRecord subset;
  OutlierRecord outlier;
  HalfOpenRecord half_open;
  InFlightRecord in_flight;
  LatencyRecord latency;
  ConnectionRecord connection;
  RotationRecord rotation;
  SlowStartRecord slow_start;
};

// Shared, since the record of a removed upstream must outlive the attempts at it.
using UpstreamPtr = std::shared_ptr<Upstream>;

}  // namespace mothrack::balancer
