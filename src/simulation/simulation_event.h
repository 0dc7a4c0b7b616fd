// The events of a run. The rule checker (src/simulation/invariants.h) and the figures
// (src/simulation/figures.h) use nothing else.
#pragma once

#include <cstdint>
#include <string>

#include "balancer/balancer.h"
#include "runtime/clock.h"

namespace mothrack::simulation {

// How a request ended for its client.
enum class RequestOutcome { kServed, kRefused, kFailed };

// One event. Which members are set depends on the kind; the others are zero. Times count from the start of
// the run.
struct SimulationEvent {
  enum class Kind {
    kAccepted,         // a sidecar has accepted a request, which must be answered by `until`
    kAnswered,         // the request was answered: `request_outcome`
    kClientLeft,       // the client has left; the request needs no answer any more
    kSidecarKilled,    // the sidecar died with the requests that it had accepted
    kAttemptSent,      // the first byte of an attempt was sent to `server`
    kAttemptEnded,     // an attempt ended at the sidecar: `outcome`
    kCallArrived,      // a server has accepted a call of `work` milliseconds
    kCallStarted,      // a server has started to run the call
    kSidecarNotified,  // a sidecar was notified that `server` is draining or gone (`leaving`), or serving
    kServerStarted,  // a server has started, in slow start; when warm it does `work` milliseconds of work per
                     // millisecond
    kRequested,      // a client request begins: `request` is its number
    kResolved,       // the client request ended: `request_outcome`, `late`
  };
  Kind kind{};
  runtime::TimePoint at{};
  std::uint64_t sidecar = 0;  // number in the lower 32 bits, count of its starts above
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
