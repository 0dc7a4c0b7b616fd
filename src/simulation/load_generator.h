// Open-loop load on a real sidecar over HTTP. Requests start when they are due, whether or not earlier ones
// have ended. The latency of each counts from its due time, so a stall delays every request that was due
// during it. A closed-loop client, which sends the next request only after an answer, would see one slow
// request.
#pragma once

#include <cstdint>
#include <string>

#include "simulation/figures.h"

namespace mothrack::simulation {

// The load to send.
struct LoadConfig {
  std::string host = "127.0.0.1";
  std::uint16_t port = 0;
  std::string target = "/page/x";
  double rate = 100;  // requests per second
  double length_s = 10;
  int timeout_ms = 1000;           // sent as X-Timeout-Ms; also the time to wait for an answer
  std::uint64_t poisson_seed = 0;  // the seed of Poisson arrivals; 0 for evenly spaced arrivals
  std::size_t connections = 64;    // maximum; a due request waits for a free one, which counts as latency
};

// The results of the load.
struct LoadResult {
  std::uint64_t due = 0;  // number of requests that were due
  std::uint64_t served = 0;
  std::uint64_t refused = 0;  // answered 429 or 503
  std::uint64_t failed = 0;   // any other answer, no answer, or no connection
  // The latency of served requests from their due time, and from the time when they were sent, which is what
  // a closed-loop client measures.
  LatencyHistogram from_due = NewLatencyHistogram();
  LatencyHistogram from_sent = NewLatencyHistogram();
  double seconds = 0;  // until the last request has ended
};

// Sends the load and blocks until all requests have ended; runs its own event loop. Throws
// std::invalid_argument if the host is not a loopback address.
LoadResult Load(const LoadConfig& config);

}  // namespace mothrack::simulation
