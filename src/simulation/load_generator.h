// Open-loop load on a real sidecar over HTTP: requests begin when they are due, whatever became of the ones
// before, and each one's time counts from when it was due. A server that stalls counts as slow for all
// requests that it kept waiting, which a client that waits with it would not see.
#pragma once

#include <cstdint>
#include <string>

#include "simulation/figures.h"

namespace mothrack::simulation {

// The load that is asked for.
struct LoadConfig {
  std::string host = "127.0.0.1";
  std::uint16_t port = 0;
  std::string target = "/page/x";
  double rate = 100;  // a second
  double length_s = 10;
  int timeout_ms = 1000;           // sent as X-Timeout-Ms, and for how long an answer is waited for
  std::uint64_t poisson_seed = 0;  // 0: evenly spread; else drawn, as independent clients come
  std::size_t connections = 64;    // at most; requests that are due wait for one, and their time counts
};

// What became of it.
struct LoadResult {
  std::uint64_t due = 0;
  std::uint64_t served = 0;
  std::uint64_t refused = 0;                          // 429, 503
  std::uint64_t failed = 0;                           // any other answer, none, or no connection
  LatencyHistogram from_due = NewLatencyHistogram();  // of what was served
  LatencyHistogram from_sent =
      NewLatencyHistogram();  // the same as a client sees it that forgets what was due
  double seconds = 0;
};

// Blocks until all requests have ended, on an event loop of its own. Loopback only: throws
// std::invalid_argument for another host.
LoadResult Load(const LoadConfig& config);

}  // namespace mothrack::simulation
