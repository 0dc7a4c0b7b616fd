#include "dispatch/request_log.h"

#include <string_view>

namespace mothrack::dispatch {
namespace {

std::string_view NameOf(const std::optional<balancer::Outcome>& outcome) {
  using balancer::Outcome;
  if (!outcome) return "none";
  switch (*outcome) {
    case Outcome::kServed:
      return "served";
    case Outcome::kError:
      return "error";
    case Outcome::kFull:
      return "full";
    case Outcome::kTimeout:
      return "timeout";
    case Outcome::kConnectFailed:
      return "connect_failed";
    case Outcome::kReset:
      return "reset";
    case Outcome::kCancelled:
      return "cancelled";
    case Outcome::kNotSent:
      return "not_sent";
  }
  return "none";
}

}  // namespace

void RequestLog::NotServed(const Entry& entry, runtime::TimePoint now) {
  if (!not_served_.Take(now)) return;
  log_.Info("request_not_served", {{"id", entry.id},
                                   {"class", entry.request_class},
                                   {"answer", entry.rejected ? "refused" : "failed"},
                                   {"deadline", entry.late ? "passed" : "open"},
                                   {"body", entry.arriving ? "arriving" : "complete"},
                                   {"attempts", entry.attempts},
                                   {"last", NameOf(entry.last_outcome)},
                                   {"left_out", not_served_.TakeLeftOut()}});
}

void RequestLog::AttemptFailed(const FailedAttempt& attempt, runtime::TimePoint now) {
  if (!attempts_.Take(now)) return;
  log_.Info("attempt_failed", {{"id", attempt.id},
                               {"upstream", attempt.upstream},
                               {"attempt", attempt.number},
                               {"outcome", NameOf(attempt.outcome)},
                               {"cause", attempt.cause.empty() ? "none" : attempt.cause},
                               {"body", attempt.arriving ? "arriving" : "complete"},
                               {"left_out", attempts_.TakeLeftOut()}});
}

}  // namespace mothrack::dispatch
