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
// Stops waiting for the attempt, which still ends with exactly one AttemptEnded.
struct CancelAttempt {
  RequestId request{};
  AttemptId attempt{};
};
// Final answer: the request had no effect, or repeating it is harmless, so the client may retry.
struct Reject {
  RequestId request{};
  Duration retry_after{};  // value of the Retry-After header; zero: no header
};
// Final answer: the request may or may not have taken effect.
struct Fail {
  RequestId request{};
};
struct SetTimer {
  TimePoint at;             // may already have passed when the action is carried out
  std::uint64_t token = 0;  // at most 2^63
};
// Sends a load probe, which ends with a ProbeEnded.
struct SendProbe {
  UpstreamId upstream;
};
// Closes this sidecar's idle connections to the upstream.
struct CloseIdle {
  UpstreamId upstream;
};
struct Subscribe {};  // subscribes to membership changes, starting with those that were missed
struct Log {
  std::string text;  // one line for the log
};

using Action =
    std::variant<SendAttempt, CancelAttempt, Reject, Fail, SetTimer, SendProbe, CloseIdle, Subscribe, Log>;

}  // namespace mothrack::balancer
