// The events of a run. They are the only input of the rule checker (src/simulation/invariants.h) and of the
// counts of requests in the figures (src/simulation/figures.h).
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
    kAccepted,         // a sidecar has accepted a request, which must be answered by the time `until`
    kAnswered,         // the sidecar answered the request: `request_outcome` is set
    kClientLeft,       // the client has left; the request needs no answer any more
    kSidecarKilled,    // the sidecar died with the requests that it had accepted
    kAttemptSent,      // the first byte of an attempt was sent to `server`
    kAttemptEnded,     // an attempt ended at the sidecar: `outcome` is set
    kCallArrived,      // a server has accepted a call of `work` milliseconds
    kCallStarted,      // a server has started to run the call
    kSidecarNotified,  // a sidecar was notified that `server` serves, or, if `leaving`, drains or is gone
    // A server has started, in slow start. Without slow start it does `work` milliseconds of work per
    // millisecond.
    kServerStarted,
    kRequested,  // a client request begins: `request` is its number, over all its attempts
    kResolved,   // the client request ended: `request_outcome` and `late` are set
  };
  Kind kind{};
  runtime::TimePoint at{};
  std::uint64_t sidecar = 0;  // its number in the lower 32 bits, the count of its starts in the upper 32
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
