// What happens in a run, as events: the rules (src/simulation/invariants.h) and the figures
// (src/simulation/figures.h) are written over these alone.
#pragma once

#include <cstdint>
#include <string>

#include "balancer/balancer.h"
#include "runtime/clock.h"

namespace mothrack::simulation {

// How a request ended for its client.
enum class RequestOutcome { kServed, kRefused, kFailed };

// Which members are set depends on the kind; the others are zero. Times count from the start of the run.
struct SimulationEvent {
  enum class Kind {
    kAccepted,         // a sidecar has a request, which is to be answered by `until`
    kAnswered,         // its answer: `request_outcome`
    kClientLeft,       // its client has left: it needs no answer any more
    kSidecarKilled,    // the sidecar died with the requests that it had accepted
    kAttemptSent,      // an attempt's first byte goes out to `server`
    kAttemptEnded,     // an attempt ended at the sidecar: `outcome`
    kCallArrived,      // a server has accepted a call of `work` milliseconds
    kCallStarted,      // a server has begun it
    kSidecarNotified,  // a sidecar was notified of `server`: draining (`leaving`), or not
    kServerStarted,    // a server has started, in slow start; warm it does `work` milliseconds of it a
                       // millisecond
    kRequested,        // a client request begins: `request` is its number
    kResolved,         // the client request ended: `request_outcome`, `late`
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
