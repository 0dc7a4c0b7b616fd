// What the end of an exchange with an upstream proves about its request. Pure functions.
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/system/error_code.hpp>

#include "balancer/events.h"
#include "http/messages.h"

namespace mothrack::http {

// Why an exchange ends without a response.
enum class ExchangeEnd {
  kBroken,     // the connection broke, or the response is malformed
  kTimeout,    // no response in time
  kCancelled,  // the response is no longer needed
  kNotSent,    // a local error prevented sending
};

// `written` tells whether the last byte of the request was written.
balancer::Outcome OutcomeOf(ExchangeEnd end, bool written);

// The outcome of a complete response.
balancer::Outcome OutcomeOf(const beast_http::response_header<>& header);

// Whether the upstream says that the request is at fault.
bool IsClientError(const beast_http::response_header<>& header);

// Whether connecting failed because this machine lacked a resource (port, memory, route) or was interrupted.
// Such an error says nothing about the upstream, and nothing was sent. See connect(2), ip(7).
bool IsLocalFailure(const boost::system::error_code& error);

}  // namespace mothrack::http
