// Logs and counts what a client would otherwise see without a reason: requests that the sidecar answers with
// an error before an upstream gets them, and connections that end while a request is open.
// docs/operators/logs.md has the events.
//
// Owned by the listener, used on its thread. Each event has a rate limit of its own, so that a client that
// sends nothing sound does not displace the other lines of the log. Nothing throws.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "runtime/clock.h"
#include "runtime/event_limiter.h"
#include "runtime/log.h"

namespace mothrack::http {

// Why a request is answered with an error before an upstream gets all of it.
enum class Rejection {
  kUnsound,      // see MessageDefect
  kProtocol,     // class, id, method or time-out are not those of the protocol page
  kMemory,       // its memory can't be reserved
  kOverdue,      // it did not arrive in time
  kProcessEnds,  // the process is about to end
};
inline constexpr std::size_t kRejections = static_cast<std::size_t>(Rejection::kProcessEnds) + 1;

// Why a client connection is closed.
enum class CloseReason {
  kClientLeft,     // the client closed or reset it
  kAnswered,       // the last response is written, and the client has had time to read it
  kIdle,           // the client sent nothing in time
  kOverdue,        // the client did not read its response in time
  kWriteFailed,    // the client's side of the connection failed while the response was written
  kResponseBroke,  // the response that was being passed on broke off at its upstream
  kEvicted,        // its descriptor was needed
  kUnsound,        // its request can't be read any further
  kUnread,         // too many bytes followed the last response
  kProcessEnds,    // the process ends
};
inline constexpr std::size_t kCloseReasons = static_cast<std::size_t>(CloseReason::kProcessEnds) + 1;

// How far the request of a connection has come that is closed.
enum class OpenRequest {
  kNone,      // no byte of a request has arrived since the last response
  kArriving,  // part of it has arrived, and no handler has it
  kServing,   // it has no response yet
  kAnswered,  // its response is not written to the end
};

std::string_view LogNameOf(Rejection rejection);
std::string_view LogNameOf(CloseReason reason);
std::string_view LogNameOf(OpenRequest request);

class ClientLog {
 public:
  // `log` must outlive this object.
  ClientLog(runtime::Logger& log, runtime::TimePoint now);

  // `id` is empty if the request's id can't be read; `detail` says what exactly was wrong.
  void RequestRejected(std::string_view id, Rejection rejection, std::string_view detail,
                       runtime::TimePoint now);
  // Logged only if a request was open.
  void ConnectionClosed(std::string_view id, CloseReason reason, OpenRequest request, runtime::TimePoint now);

  // Counters since the start.
  struct Counts {
    std::array<std::uint64_t, kRejections> rejected{};
    std::array<std::uint64_t, kCloseReasons> closed{};  // connections with an open request
  };
  const Counts& counts() const { return counts_; }

 private:
  runtime::Logger& log_;
  runtime::EventLimiter rejected_;
  runtime::EventLimiter closed_;
  Counts counts_;
};

}  // namespace mothrack::http
