// What is told of a world as it happens, made-up or real: the rules (src/simulation/invariants.h) and the
// figures (src/simulation/figures.h) are written over these alone.
#pragma once

#include <cstdint>
#include <string>

#include "balancer/balancer.h"
#include "runtime/clock.h"

namespace mothrack::simulation {

enum class RequestOutcome { kServed, kRefused, kFailed };

struct SimulationEvent {
  enum class Kind {
    kAccepted,         // a sidecar has a request, which is to be answered by `until`
    kAnswered,         // its answer: `ending`
    kClientLeft,       // its client has left: nothing is owed any more
    kSidecarKilled,    // the sidecar died with what it had taken
    kAttemptSent,      // an attempt's first byte goes out to `server`
    kAttemptEnded,     // an attempt ended at the sidecar: `outcome`
    kCallArrived,      // a server has taken a call in, of `work` milliseconds
    kCallStarted,      // a server has begun it
    kSidecarNotified,  // a sidecar was told of `server`: `leaving`, or not
    kServerStarted,    // a server has started, cold; warm it does `work` milliseconds of it a millisecond
    kRequested,        // a client wants something, for the first time: `request` is the wish
    kResolved,         // the wish came to an end: `ending`, `late`
  };
  Kind kind{};
  runtime::TimePoint at{};
  std::uint64_t sidecar = 0;  // number, and how often it was started, above 32 bits
  std::uint64_t request = 0;
  std::size_t cls = 0;
  std::size_t server = 0;
  runtime::TimePoint until{};
  RequestOutcome request_outcome{};
  balancer::Outcome outcome{};
  bool leaving = false;
  bool late = false;
  double work = 0;
};

}  // namespace mothrack::simulation
