// What a balancer keeps of upstreams and requests. No decision is made here.
#pragma once

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "balancer/arithmetic.h"
#include "balancer/balancer.h"
#include "balancer/connection_model.h"
#include "balancer/half_open_probes.h"
#include "balancer/in_flight.h"
#include "balancer/latency_model.h"
#include "balancer/outlier_detection.h"
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
  // Rotation.
  double credit = 0;
  SlowStartRecord slow_start;
};

using UpstreamPtr = std::shared_ptr<Upstream>;  // those that are gone live on while calls refer to them

struct Attempt {
  UpstreamPtr upstream;
  TimePoint sent;
  bool trial = false;
  ConnectionUse connection{};
  bool held = false;                 // its upstream holds it: it has all of it, and has not begun to answer
  bool started = false;              // its answer has begun
  std::optional<Outcome> outcome{};  // absent while it is out
};

// An upstream that was asked for its load before a call.
struct Asked {
  UpstreamPtr upstream;
  bool answered = false;
  std::optional<double> held{};  // calls, as it says
  double served = 0;             // calls a second, as it says; 0 where it does not
};

struct Request {
  RequestId id{};
  const RequestClass* cls = nullptr;
  std::size_t cls_index = 0;
  Duration latency_objective{};  // an answer within it has its full worth
  TimePoint arrived;
  TimePoint deadline;
  TimePoint late_at;  // unanswered then, it is late against what is usual
  std::vector<Attempt> attempts;
  std::vector<Asked> asked;  // while it waits for their reports
  bool ended = false;        // it has its final answer: nothing more is sent for it
  bool arriving = false;     // its body still comes
  Duration patience{};       // its time, then
  bool streaming = false;    // its answer has begun: it belongs to the client
};

}  // namespace mothrack::balancer
