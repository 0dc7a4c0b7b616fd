// The figures of a run: a row a second, latencies, and how soon service was back after a fault. Pure; one
// thread. docs/design/simulation.md, "Recovery".
#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "simulation/scenario.h"
#include "simulation/simulation_event.h"

namespace mothrack::simulation {

// Milliseconds, each bin 5% wide from 0.1 ms to 100 s: a quantile is off by half of that at most.
using LatencyHistogram = boost::histogram::histogram<
    std::tuple<boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>>>;
LatencyHistogram NewLatencyHistogram();
// Of q in 0..1; 0 where there is none.
double Quantile(const LatencyHistogram& times, double q);

// One second of a run.
struct Second {
  // Client requests by the second in which they began.
  std::uint64_t requested = 0;
  std::uint64_t good = 0;     // served within their latency objective
  std::uint64_t late = 0;     // served after it
  std::uint64_t refused = 0;  // not served, the last answer being a rejection
  std::uint64_t failed = 0;
  double priority_weight = 0;  // asked for
  double gained = 0;
  // What was done in it.
  std::uint64_t client_attempts = 0;  // requests that sidecars accepted
  std::uint64_t rejected_client_attempts = 0;
  std::uint64_t attempts = 0;
  std::uint64_t connects = 0;
  // What the decision modules count: rejected as overload, with no upstream, given up after attempts;
  // retries, hedged requests, half-open probes.
  std::uint64_t overload = 0, nobody = 0, given_up = 0;
  std::uint64_t retries = 0, hedges = 0, half_open_probes = 0;
  double shed = 0;  // the share of the work that is shed as overload, in the mean over the sidecars
  std::uint64_t ejected = 0;
  std::uint64_t returned = 0;
  // As shares of the capacity of all servers when warm: what could serve, and the demand of first attempts.
  double able = 0;
  double demand = 0;
  double in_flight = 0;  // calls at servers
  int warming_up = 0;    // servers
  int down = 0;
  double p50 = 0, p95 = 0, p99 = 0;  // milliseconds, of what was served
};

// How soon service was back once capacity was. Seconds from the start of the run.
struct Recovery {
  double covered_s = 0;    // capacity covered the demand from then on
  double recovered_s = 0;  // rejected or failed under 2%, late under 5%, for three seconds
  bool recovered = false;
  double took_s = 0;
  double needless = 0;  // client requests not served while there was a tenth of headroom, as a share of all
};

// Holds a reference to the scenario, which must outlive it.
class Figures {
 public:
  Figures(const Scenario& scenario);

  void Record(const SimulationEvent& h);
  // The row of a second; the last one for later times.
  Second& At(double s);
  // To be called once, at the end of the run: computes the quantiles of each second.
  void Finish();

  const std::vector<Second>& seconds() const { return seconds_; }
  Second Sum() const;
  double LatencyQuantile(double q) const { return Quantile(all_, q); }
  double served_share() const;  // of client requests, within the latency objective or late
  double gained_share() const;  // of the priority weight
  // From the first fault's begin on; none where the scenario has no faults.
  std::optional<Recovery> recovery() const;

 private:
  struct Requested {
    runtime::TimePoint at;
    std::size_t cls;
  };
  const Scenario& scenario_;
  std::vector<Second> seconds_;
  std::vector<LatencyHistogram> times_;
  LatencyHistogram all_;
  std::unordered_map<std::uint64_t, Requested> requested_;
};

}  // namespace mothrack::simulation
