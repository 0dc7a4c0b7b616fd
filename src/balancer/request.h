// What the balancer keeps of a request, its attempts and the load probes that it waits for.
#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <vector>

#include "balancer/balancer.h"
#include "balancer/connection_model.h"
#include "balancer/upstream.h"

namespace mothrack::balancer {

struct Attempt {
  UpstreamPtr upstream;
  TimePoint sent;
  bool half_open_probe = false;
  ConnectionUse connection{};
  bool in_flight = false;            // its upstream holds it: it has all of it, and has not begun to answer
  bool started = false;              // its answer has begun
  std::optional<Outcome> outcome{};  // absent while it is out
};

// An upstream that was asked for its load before a call.
struct ProbedUpstream {
  UpstreamPtr upstream;
  bool answered = false;
  std::optional<double> in_flight{};  // calls, as it says
  double served_per_s = 0;            // calls a second, as it says; 0 where it does not
};

struct Request {
  RequestId id{};
  const RequestClass* request_class = nullptr;
  std::size_t class_index = 0;
  Duration latency_objective{};  // an answer within it has its full worth
  TimePoint arrived;
  TimePoint deadline;
  TimePoint late_at;  // unanswered then, it is late against what is usual
  std::vector<Attempt> attempts;
  std::vector<ProbedUpstream> probed;  // while it waits for their reports
  bool ended = false;                  // it has its final answer: nothing more is sent for it
  bool arriving = false;               // its body still comes
  Duration time_allowed{};             // its time, then
  bool streaming = false;              // its answer has begun: it belongs to the client

  bool AnyOut() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return !a.outcome; });
  }
  // It was sent to this upstream, or has asked it for its load.
  bool HasTried(const Upstream& u) const {
    const auto same = [&u](const auto& a) { return a.upstream.get() == &u; };
    return std::any_of(attempts.begin(), attempts.end(), same) ||
           std::any_of(probed.begin(), probed.end(), same);
  }
};

}  // namespace mothrack::balancer
