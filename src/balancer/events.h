// What a sidecar tells its balancer.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "balancer/types.h"

namespace mothrack::balancer {

enum class UpstreamState { kServing, kDraining, kGone };

struct UpstreamInfo {
  UpstreamId id{};
  std::string zone{};
  std::string kind{};  // machines of one kind are about alike; empty where kinds are not told
  std::int64_t cell = 0;
  UpstreamState state = UpstreamState::kServing;
  double weight = 1;                   // the registered size; 1 where none is registered
  std::optional<TimePoint> started{};  // absent: long ago. A new time means a new process
};

struct MembershipUpdate {
  enum class Kind {
    kChanges,   // `upstreams` has only what changed
    kFull,      // `upstreams` is the whole list: what is missing is gone
    kRestored,  // the whole list as it was last seen, perhaps out of date
    kFailed,    // a Subscribe failed or a subscription ended: the old list stands
  };
  Kind kind = Kind::kFull;
  std::vector<UpstreamInfo> upstreams;
};

struct RequestArrived {
  RequestId request{};
  ClassId request_class{};
  std::optional<TenantId> tenant{};
  TimePoint deadline{};            // when the client gives up on this try
  std::optional<Duration> work{};  // expected work, where it is known
  bool client_retry = false;       // a client's own repeat, where clients say so
  // Its body is still coming: its time, which is as long as `deadline` is off now, counts from
  // RequestComplete on. Its attempts may begin before.
  bool arriving = false;
};

struct RequestComplete {  // the last byte of a request that was arriving has come
  RequestId request{};
  TimePoint deadline{};
};

enum class Outcome {
  kServed,
  kError,          // the upstream answered with an error: may have run
  kFull,           // turned away unseen: did not run
  kTimeout,        // no answer in time: may have run
  kConnectFailed,  // no connection: did not run
  kReset,          // the connection broke: may have run
  kCancelled,      // called off: may have run
  kNotSent,        // the sidecar did not send it (the request had ended): did not run
};

// An upstream's view of its load; absent values were not reported.
struct LoadReport {
  std::optional<double> in_flight;
  std::optional<double> queued;
  std::optional<double> utilization;
  std::optional<double> rate;  // requests served a second
};

// A streamed answer has begun: the request is the client's now and has no deadline any more. It counts as
// served in time or late by now; only a break of it is still a failure of its upstream.
struct AnswerStarted {
  RequestId request{};
  AttemptId attempt{};
};

struct AttemptEnded {
  RequestId request{};
  AttemptId attempt{};
  Outcome outcome = Outcome::kServed;
  Duration elapsed{};     // since it was sent
  bool finished = false;  // the client has its answer: no further one is owed
  LoadReport load;
};

struct ClientDisconnected {  // the client left: no answer is owed
  RequestId request{};
};

struct TimerFired {
  std::uint64_t token = 0;
};

struct ProbeEnded {
  UpstreamId upstream;
  Outcome outcome = Outcome::kServed;
  Duration elapsed{};
  LoadReport load;
};

using Event = std::variant<MembershipUpdate, RequestArrived, RequestComplete, AnswerStarted, AttemptEnded,
                           ClientDisconnected, TimerFired, ProbeEnded>;

}  // namespace mothrack::balancer
