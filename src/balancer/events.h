// Events: the input of the balancer, in the order in which they happened.
#pragma once

#include <cstddef>
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
  std::string kind{};  // machine type; upstreams of one kind are about equally fast; empty if unknown
  std::int64_t cell = 0;
  UpstreamState state = UpstreamState::kServing;
  double weight = 1;  // registered capacity, relative; 1 if none is registered
  // Start of its process; absent if that was long ago. A different time means a different process.
  std::optional<TimePoint> started{};
};

struct MembershipUpdate {
  enum class Kind {
    kChanges,   // `upstreams` has only the entries that changed
    kFull,      // `upstreams` is the complete list: an upstream missing from it has been removed
    kRestored,  // the complete list as this sidecar last had it, possibly stale
    kFailed,    // a Subscribe failed or a subscription ended: the last list stays in force
  };
  Kind kind = Kind::kFull;
  std::vector<UpstreamInfo> upstreams;
};

struct RequestArrived {
  RequestId request{};
  ClassId request_class{};
  std::optional<TenantId> tenant{};
  TimePoint deadline{};            // when the client stops waiting
  std::optional<Duration> work{};  // expected service time, if known
  bool client_retry = false;       // the client marked it as a retry of its own
  // The body is still being received. The time until `deadline` then starts to count only at RequestComplete,
  // but attempts may start earlier.
  bool arriving = false;
};

// The last byte of a request that was still arriving has been received.
struct RequestComplete {
  RequestId request{};
  TimePoint deadline{};
};

// How an attempt or a load probe ended, and whether the upstream may have run it.
enum class Outcome {
  kServed,         // a complete successful answer
  kError,          // the upstream answered with an error: may have run
  kFull,           // the upstream rejected it for lack of capacity: did not run
  kTimeout,        // no answer in time: may have run
  kConnectFailed,  // no connection: did not run
  kReset,          // the connection broke: may have run
  kCancelled,      // cancelled by the sidecar: may have run
  kNotSent,        // never sent, as the request had already ended: did not run
};

// The number of outcomes, for tables that are indexed by Outcome.
inline constexpr std::size_t kOutcomes = static_cast<std::size_t>(Outcome::kNotSent) + 1;

// An upstream's own report of its load. Absent values were not reported.
struct LoadReport {
  std::optional<double> in_flight;
  std::optional<double> queued;
  std::optional<double> utilization;
  std::optional<double> rate;  // requests served per second
};

// A streamed answer has begun. From then on the request has no deadline and can't be retried. The time of
// this event decides whether it was served in time; a later break is still recorded as a failure of the
// upstream.
struct AnswerStarted {
  RequestId request{};
  AttemptId attempt{};
  // From the send to the first byte of the answer, which may be earlier than this event; absent: now.
  std::optional<Duration> answer_time{};
};

struct AttemptEnded {
  RequestId request{};
  AttemptId attempt{};
  Outcome outcome = Outcome::kServed;
  Duration elapsed{};     // since it was sent
  bool finished = false;  // the client needs no further answer, usually since this attempt was served
  LoadReport load;
  // From the send to the first byte of a successful answer, if one began; `elapsed` includes its body.
  std::optional<Duration> answer_time{};
  // The upstream ended an established connection, or answered that the request is at fault, while the
  // request's body was still being received. It may have been unable to read it, so the outcome says nothing
  // about the upstream.
  bool request_incomplete = false;
};

// The client closed its connection, so the request no longer needs a final answer.
struct ClientDisconnected {
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
