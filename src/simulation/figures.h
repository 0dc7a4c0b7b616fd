// The figures of a run: counts for each second, latencies, and how soon service recovered after a fault.
// docs/design/simulation.md, "Recovery", defines recovery. Does no I/O and reads no clock. Not thread-safe.
#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "simulation/scenario.h"
#include "simulation/simulation_event.h"

namespace mothrack::simulation {

// Counts latencies in milliseconds, from 0.1 ms to 100 s. Each bin is 5% wide, so a quantile is off by at
// most half of that.
using LatencyHistogram = boost::histogram::histogram<
    std::tuple<boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>>>;
LatencyHistogram NewLatencyHistogram();
// Returns the quantile `level`, from 0 to 1, in milliseconds; 0 if the histogram is empty.
double Quantile(const LatencyHistogram& latencies, double level);

// The figures of one second of a run.
struct Second {
  // Client requests, counted in the second in which they began.
  std::uint64_t requested = 0;
  std::uint64_t good = 0;     // served within their latency objective
  std::uint64_t late = 0;     // served after it
  std::uint64_t refused = 0;  // not served; the last answer was a rejection
  std::uint64_t failed = 0;
  double priority_weight = 0;         // of all client requests
  double served_priority_weight = 0;  // of those served within their latency objective
  // Events that happened in this second.
  std::uint64_t client_attempts = 0;  // requests that sidecars accepted
  std::uint64_t rejected_client_attempts = 0;
  std::uint64_t attempts = 0;
  std::uint64_t connects = 0;
  // Counts of the sidecars' balancers: requests rejected because of overload, requests rejected because no
  // upstream was available, and requests that failed after attempts; then retries, hedged requests and
  // half-open probes.
  std::uint64_t overload = 0, no_upstream = 0, given_up = 0;
  std::uint64_t retries = 0, hedges = 0, half_open_probes = 0;
  double shed = 0;             // share of the work that is shed because of overload, mean over the sidecars
  std::uint64_t ejected = 0;   // ejections of upstreams
  std::uint64_t returned = 0;  // ends of ejections
  // The capacity that can serve, and the demand of first attempts. Both are shares of the capacity of all
  // servers without slow start.
  double available_capacity = 0;
  double demand = 0;
  double in_flight = 0;              // calls queued or running at servers
  int warming_up = 0;                // servers in slow start
  int down = 0;                      // listed servers that are down or unreachable
  double p50 = 0, p95 = 0, p99 = 0;  // latency of served requests, milliseconds
};

// How soon service recovered once there was enough capacity. Times are seconds from the start of the run.
struct Recovery {
  double covered_s = 0;  // the capacity covered the demand from this time on
  // The start of the first three seconds after that in which less than 2% of the client requests were
  // rejected or failed and less than 5% were late.
  double recovered_s = 0;
  bool recovered = false;
  double took_s = 0;  // from covered_s to recovered_s, or to the end of the run
  // The share of all client requests that were not served although the capacity exceeded the demand by a
  // tenth.
  double needless = 0;
};

// Collects the figures of a run from its events. Holds a reference to the scenario, which must outlive it.
class Figures {
 public:
  Figures(const Scenario& scenario);

  void Record(const SimulationEvent& event);
  // Returns the figures of the second that contains the time `time_s`, in seconds from the start of the run.
  // A time after the end belongs to the last second.
  Second& At(double time_s);
  // Computes the quantiles of each second. Call once, at the end of the run.
  void Finish();

  const std::vector<Second>& seconds() const { return seconds_; }
  // Returns the counts added up over all seconds.
  Second Sum() const;
  double LatencyQuantile(double level) const { return Quantile(all_latencies_, level); }
  double served_share() const;  // of the client requests, within the latency objective or late
  double gained_share() const;  // of the priority weight, served within the latency objective
  // Returns the recovery after the first fault, or nothing if the scenario has no faults.
  std::optional<Recovery> recovery() const;

 private:
  struct Requested {
    runtime::TimePoint at;
    std::size_t cls;
  };
  const Scenario& scenario_;
  std::vector<Second> seconds_;
  std::vector<LatencyHistogram> latencies_;  // by second
  LatencyHistogram all_latencies_;
  std::unordered_map<std::uint64_t, Requested> requested_;  // open client requests, by number
};

}  // namespace mothrack::simulation
