// Load probes: how many upstreams are probed for their load before a request is sent, and which one is
// chosen.
//
// Guards against queues of other sidecars' requests, which this sidecar can't observe itself. The best of a
// few random choices is close to the best of all (Mitzenmacher, "The power of two choices in randomized load
// balancing", 2001).
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "balancer/balancer.h"

namespace mothrack::balancer {

// Share of the service's value that may be spent on probes.
inline constexpr double kProbeCostShare = 0.01;
// The maximum number of probes per request.
inline constexpr double kMaxProbesPerRequest = 3;
// Lower bound on the price of probes, which is a divisor.
inline constexpr double kMinProbePrice = 1e-9;
// How long a request waits for the reports, as a share of the connect time-out.
inline constexpr double kProbeWaitShare = 0.1;
// An upstream is overloaded if its queue takes longer than this share of the request's latency objective. The
// rest is reserve, since service times vary about twofold.
inline constexpr double kOverloadedQueueShare = 0.5;

// An upstream's load report, and its estimated capacity.
struct ProbedLoad {
  double in_flight = 0;     // requests, as reported
  double served_per_s = 0;  // requests per second, as reported; 0 if not reported
  double slowness = 1;      // answer time as a multiple of the usual one
  double capacity = 1;      // listed weight times the slow start factor
};

// Chooses among the load reports for one request.
class LeastLoaded {
 public:
  explicit LeastLoaded(Duration latency_objective) : latency_objective_(latency_objective) {}

  void Consider(std::size_t index, const ProbedLoad& load);
  // The index with the least load per capacity; absent if none was considered or all of them are overloaded.
  std::optional<std::size_t> best() const { return best_; }
  // Whether at least one is overloaded: a request there would be late and add to its queue.
  bool any_overloaded() const { return any_overloaded_; }

 private:
  Duration latency_objective_;
  std::optional<std::size_t> best_;
  double least_load_ = 0;
  bool any_overloaded_ = false;
};

class LoadProbes {
 public:
  explicit LoadProbes(const Settings& settings);

  // The number of upstreams to probe per request; 1: requests go to the first choice without a probe.
  std::size_t upstreams_per_request() const { return upstreams_per_request_; }
  // How long a request waits for the reports.
  Duration Wait() const;

  void RecordSent(RequestId request) { waiting_.push_back(request); }
  // The request no longer waits: its upstream is chosen, or it has ended.
  void StopWaiting(RequestId request) { std::erase(waiting_, request); }
  // Requests that wait for reports, in the order of their probes.
  const std::vector<RequestId>& waiting() const { return waiting_; }

 private:
  const Limits& limits_;
  std::size_t upstreams_per_request_ = 1;
  std::vector<RequestId> waiting_;
};

}  // namespace mothrack::balancer
