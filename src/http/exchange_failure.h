// Why an exchange with an upstream ended without a usable response, for the log (docs/operators/logs.md).
// Pure functions.
#pragma once

#include <string_view>

namespace mothrack::http {

// Causes that are no MessageDefect of the response.
enum class ExchangeFailure {
  kNotConnected,      // the connection could not be established
  kLocalShortage,     // this machine lacked a descriptor, a connection or memory
  kWriteFailed,       // the request could not be written to its end
  kRequestBroke,      // the client's body broke off
  kConnectionReset,   // reading failed
  kClosedUnanswered,  // the upstream closed the connection without a byte of an answer
  kSilent,            // no head of an answer in time
  kStalled,           // an answer, or the reading of a request body, stopped in the middle
  kEarlyAnswer,       // a 200 before the whole request was written
  kMemory,            // the response's memory can't be reserved
  kStatus,            // a complete answer other than 200
  kCancelled,         // the answer is no longer needed
  kUpstreamGone,      // the upstream drains, moved or was removed before the request was sent
};

std::string_view LogNameOf(ExchangeFailure failure);

}  // namespace mothrack::http
