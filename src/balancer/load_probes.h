// Load probes: how many upstreams are asked for their load before a request, and which one answered best.
//
// Guards against queues that a sidecar with few requests doesn't see: they are other sidecars' requests. The
// best of a few asked at random is close to the best of all (Mitzenmacher, "The power of two choices in
// randomized load balancing", 2001).
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "balancer/balancer.h"

namespace mothrack::balancer {

// As many are asked as this share of the service pays for, ...
inline constexpr double kProbeSpend = 0.01;
// ... at most so many.
inline constexpr double kMaxProbesPerRequest = 3;
// A price of probes below this is taken for this: a price of nothing buys the most.
inline constexpr double kMinProbePrice = 1e-9;
// The request waits for the answers for this share of a connect time-out.
inline constexpr double kProbeWaitShare = 0.1;
// One that holds more than it serves in this share of the request's latency objective is jammed: times vary
// about twofold.
inline constexpr double kJammedShare = 0.5;

// An upstream's answer, and what it can do.
struct ProbedLoad {
  double in_flight = 0;     // requests that it holds, as it says
  double served_per_s = 0;  // as it says; 0 where it doesn't
  double slowness = 1;      // its answers' time against the usual one
  double capacity = 1;      // its listed weight, as far as slow start has it by now
};

// Chooses among the answers to one request's probes.
class LeastLoaded {
 public:
  explicit LeastLoaded(Duration latency_objective) : latency_objective_(latency_objective) {}

  void Consider(std::size_t index, const ProbedLoad& load);
  // The one with the least to do for what it can; absent where none was considered that is not jammed.
  std::optional<std::size_t> best() const { return best_; }
  // One holds more than it serves within the objective: a request would be late and keep it jammed.
  bool any_jammed() const { return any_jammed_; }

 private:
  Duration latency_objective_;
  std::optional<std::size_t> best_;
  double least_ = 0;
  bool any_jammed_ = false;
};

class LoadProbes {
 public:
  explicit LoadProbes(const Settings& settings);

  // Upstreams asked for their load before a request; 1: none is asked, it is sent to the first in turn.
  std::size_t upstreams_per_request() const { return upstreams_per_request_; }
  // How long a request waits for the answers.
  Duration Wait() const;

  void RecordSent(RequestId request) { waiting_.push_back(request); }
  // It waits no longer: it is decided, or has ended.
  void RecordDone(RequestId request) { std::erase(waiting_, request); }
  // Requests that wait for answers, in the order of their probes.
  const std::vector<RequestId>& waiting() const { return waiting_; }

 private:
  const Limits& limits_;
  std::size_t upstreams_per_request_ = 1;
  std::vector<RequestId> waiting_;
};

}  // namespace mothrack::balancer
