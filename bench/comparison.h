// Compares the sidecar, the bare relay (floor) and direct access to the stand-in: puts the same load on each
// in turn and prints the figures.
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
struct MeasuredProgram {
  std::string name;
  std::unique_ptr<ChildProcess> process;  // null for the stand-in itself
  std::uint16_t port = 0;
  std::vector<double> cpu_us;  // CPU time per request, by round; empty without a process
  int lost = 0;                // requests without an answer, in all rounds
  // Latency with one request at a time.
  double median_us = 0;
  double p99_us = 0;
};

// The programs of one comparison.
struct MeasuredPrograms {
  MeasuredProgram direct;
  MeasuredProgram floor;
  MeasuredProgram sidecar;

  // Returns the programs in the order in which they are measured and printed.
  std::array<MeasuredProgram*, 3> All() { return {&direct, &floor, &sidecar}; }
};

// The parameters of a comparison.
struct ComparisonPlan {
  std::string title;
  Load load;
  int requests = 0;  // per program and round
  int rounds = 0;
};

// Sends the given number of requests to `port` under `load`.
using LoadDriver = std::function<LoadResult(std::uint16_t port, const Load& load, int requests)>;

// Runs all rounds and prints the figures. Returns the median, over the rounds, of the sidecar's CPU time per
// request divided by the floor's.
double Compare(const ComparisonPlan& plan, MeasuredPrograms& programs, const LoadDriver& drive);

}  // namespace mothrack::bench
