// Actions: the output of the balancer, which the sidecar carries out in order.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "balancer/types.h"

namespace mothrack::balancer {

struct SendAttempt {
  RequestId request{};
  UpstreamId upstream;
  Duration timeout{};  // positive; for a request that is still arriving it counts from its last byte
};
// Stop waiting for the attempt. It still ends with exactly one AttemptEnded.
struct CancelAttempt {
  RequestId request{};
  AttemptId attempt{};
};
// Final answer: the request had no effect, so that a retry by the client is harmless.
struct Reject {
  RequestId request{};
  Duration retry_after{};  // for the Retry-After header; zero: none
};
// Final answer: the request may or may not have taken effect.
struct Fail {
  RequestId request{};
};
struct SetTimer {
  TimePoint at;             // may already be past when the action is carried out
  std::uint64_t token = 0;  // at most 2^63
};
// Send a load probe.
struct SendProbe {
  UpstreamId upstream;
};
// Close this sidecar's idle connections to the upstream.
struct CloseIdle {
  UpstreamId upstream;
};
struct Subscribe {};  // subscribe to membership changes, starting with those that were missed
struct Log {
  std::string text;  // one line for the log
};

using Action =
    std::variant<SendAttempt, CancelAttempt, Reject, Fail, SetTimer, SendProbe, CloseIdle, Subscribe, Log>;

}  // namespace mothrack::balancer
