#include "http/exchange_outcome.h"

#include <cerrno>

namespace mothrack::http {

using balancer::Outcome;

Outcome OutcomeOf(ExchangeEnd end, bool written) {
  switch (end) {
    case ExchangeEnd::kBroken:
      return written ? Outcome::kReset : Outcome::kConnectFailed;
    case ExchangeEnd::kTimeout:
      return written ? Outcome::kTimeout : Outcome::kConnectFailed;
    case ExchangeEnd::kCancelled:
      return Outcome::kCancelled;
    case ExchangeEnd::kNotSent:
      break;
  }
  return Outcome::kNotSent;
}

Outcome OutcomeOf(const beast_http::response_header<>& header) {
  const unsigned status = header.result_int();
  if (status == 200) return Outcome::kServed;
  // Only this header proves that the upstream has not processed the request. A 503 without it may be sent
  // after the work was done.
  if ((status == 503 || status == 504) && header["X-Not-Processed"] == "1") return Outcome::kFull;
  return Outcome::kError;
}

bool IsClientError(const beast_http::response_header<>& header) {
  return beast_http::to_status_class(header.result()) == beast_http::status_class::client_error;
}

bool IsLocalFailure(const boost::system::error_code& error) {
  if (error.category() != boost::system::system_category()) return false;
  switch (error.value()) {
    case EADDRNOTAVAIL:
    case EADDRINUSE:
    case EAGAIN:
    case EINTR:
    case EMFILE:
    case ENETDOWN:
    case ENETUNREACH:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
    case EPERM:
      return true;
    default:
      return false;
  }
}

}  // namespace mothrack::http
