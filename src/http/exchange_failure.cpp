#include "http/exchange_failure.h"

namespace mothrack::http {

std::string_view LogNameOf(ExchangeFailure failure) {
  switch (failure) {
    case ExchangeFailure::kNotConnected:
      return "not_connected";
    case ExchangeFailure::kLocalShortage:
      return "local_shortage";
    case ExchangeFailure::kWriteFailed:
      return "write_failed";
    case ExchangeFailure::kRequestBroke:
      return "request_broke";
    case ExchangeFailure::kConnectionReset:
      return "connection_reset";
    case ExchangeFailure::kClosedUnanswered:
      return "closed_unanswered";
    case ExchangeFailure::kSilent:
      return "silent";
    case ExchangeFailure::kStalled:
      return "stalled";
    case ExchangeFailure::kEarlyAnswer:
      return "early_answer";
    case ExchangeFailure::kMemory:
      return "memory";
    case ExchangeFailure::kStatus:
      return "status";
    case ExchangeFailure::kCancelled:
      return "cancelled";
    case ExchangeFailure::kUpstreamGone:
      return "upstream_gone";
  }
  return "unknown";
}

}  // namespace mothrack::http
