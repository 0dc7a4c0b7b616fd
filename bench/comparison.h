// Measures the sidecar, the bare relay (floor) and direct access to the stand-in, in turn under the same
// load, and prints their figures.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "child_process.h"
#include "closed_loop.h"

namespace mothrack::bench {

// One of the compared programs, and its results.
struct Contestant {
  std::string name;
  std::unique_ptr<ChildProcess> process;  // null: the stand-in itself
  std::uint16_t port = 0;
  std::vector<double> cpu_us;  // per request, by round; none without a process
  int lost = 0;                // requests without an answer, in all rounds
  double median_us = 0;        // latency with one request at a time
  double p99_us = 0;
};

struct Contestants {
  Contestant direct;
  Contestant floor;
  Contestant sidecar;

  // The members are in the order of measurement and report.
  std::array<Contestant*, 3> All() { return {&direct, &floor, &sidecar}; }
};

struct ComparisonPlan {
  std::string title;
  Load load;
  int requests = 0;  // per contestant and round
  int rounds = 0;
};

// Sends the given number of requests to `port` under `load`.
using LoadDriver = std::function<LoadResult(std::uint16_t port, const Load& load, int requests)>;

// Runs all rounds and prints the figures. Returns the median, over the rounds, of the sidecar's CPU time per
// request divided by the floor's.
double Compare(const ComparisonPlan& plan, Contestants& contestants, const LoadDriver& drive);

}  // namespace mothrack::bench
