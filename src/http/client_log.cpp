#include "http/client_log.h"

namespace mothrack::http {

std::string_view LogNameOf(Rejection rejection) {
  switch (rejection) {
    case Rejection::kUnsound:
      return "unsound";
    case Rejection::kProtocol:
      return "protocol";
    case Rejection::kMemory:
      return "memory";
    case Rejection::kOverdue:
      return "overdue";
    case Rejection::kProcessEnds:
      return "process_ends";
  }
  return "unknown";
}

std::string_view LogNameOf(CloseReason reason) {
  switch (reason) {
    case CloseReason::kClientLeft:
      return "client_left";
    case CloseReason::kAnswered:
      return "answered";
    case CloseReason::kIdle:
      return "idle";
    case CloseReason::kOverdue:
      return "overdue";
    case CloseReason::kWriteFailed:
      return "write_failed";
    case CloseReason::kResponseBroke:
      return "response_broke";
    case CloseReason::kEvicted:
      return "evicted";
    case CloseReason::kUnsound:
      return "unsound";
    case CloseReason::kUnread:
      return "unread";
    case CloseReason::kProcessEnds:
      return "process_ends";
  }
  return "unknown";
}

std::string_view LogNameOf(OpenRequest request) {
  switch (request) {
    case OpenRequest::kNone:
      return "none";
    case OpenRequest::kArriving:
      return "arriving";
    case OpenRequest::kServing:
      return "serving";
    case OpenRequest::kAnswered:
      return "answered";
  }
  return "unknown";
}

ClientLog::ClientLog(runtime::Logger& log, runtime::TimePoint now)
    : log_(log), rejected_(now), closed_(now) {}

void ClientLog::RequestRejected(std::string_view id, Rejection rejection, std::string_view detail,
                                runtime::TimePoint now) {
  ++counts_.rejected[static_cast<std::size_t>(rejection)];
  if (!rejected_.Take(now)) return;
  log_.Info("request_rejected", {{"id", id},
                                 {"reason", LogNameOf(rejection)},
                                 {"detail", detail},
                                 {"left_out", rejected_.TakeLeftOut()}});
}

void ClientLog::ConnectionClosed(std::string_view id, CloseReason reason, OpenRequest request,
                                 runtime::TimePoint now) {
  if (request == OpenRequest::kNone) return;
  ++counts_.closed[static_cast<std::size_t>(reason)];
  if (!closed_.Take(now)) return;
  log_.Info("client_connection_closed", {{"id", id},
                                         {"reason", LogNameOf(reason)},
                                         {"request", LogNameOf(request)},
                                         {"left_out", closed_.TakeLeftOut()}});
}

}  // namespace mothrack::http
