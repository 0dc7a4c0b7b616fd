// What a balancer has its sidecar do.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "balancer/types.h"

namespace mothrack::balancer {

struct SendAttempt {
  RequestId request{};
  UpstreamId upstream;
  Duration timeout{};  // always positive; of an arriving request it counts from its last byte on
};
struct CancelAttempt {  // stop waiting for it; it still ends with one AttemptEnded
  RequestId request{};
  AttemptId attempt{};
};
struct Reject {  // final: nothing was done, trying again is harmless
  RequestId request{};
  Duration retry_after{};  // zero: no advice
};
struct Fail {  // final: no promise whether it took effect
  RequestId request{};
};
struct SetTimer {  // at: may already be past by the time it is carried out
  TimePoint at;
  std::uint64_t token = 0;  // at most 2^63
};
struct SendProbe {
  UpstreamId upstream;
};
struct CloseIdle {  // close this sidecar's idle connections to it
  UpstreamId upstream;
};
struct Subscribe {};  // ask for membership changes from now on, the missed ones first
struct Log {
  std::string text;  // one line for the people on call
};

using Action =
    std::variant<SendAttempt, CancelAttempt, Reject, Fail, SetTimer, SendProbe, CloseIdle, Subscribe, Log>;

}  // namespace mothrack::balancer
