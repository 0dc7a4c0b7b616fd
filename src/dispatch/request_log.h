// Logs requests that were not served: their id, what their client got, and why; and each attempt that failed.
// Both events have a limit of their own, so that an overload does not displace the other lines of the log.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "balancer/balancer.h"
#include "runtime/clock.h"
#include "runtime/event_limiter.h"
#include "runtime/log.h"

namespace mothrack::dispatch {

// Used on the thread of its dispatcher. The time must not decrease. Nothing throws.
class RequestLog {
 public:
  // `log` must outlive this object.
  RequestLog(runtime::Logger& log, runtime::TimePoint now) : log_(log), not_served_(now), attempts_(now) {}

  // A request that was rejected or has failed.
  struct Entry {
    const std::string& id;
    const std::string& request_class;
    bool rejected = false;
    bool late = false;      // its deadline had passed
    bool arriving = false;  // its body was still arriving
    std::size_t attempts = 0;
    std::optional<balancer::Outcome> last_outcome{};  // absent if no attempt has ended
  };
  void NotServed(const Entry& entry, runtime::TimePoint now);

  // An attempt that ended without being served, unless it was cancelled or not sent.
  struct FailedAttempt {
    const std::string& id;
    std::string_view upstream;
    std::size_t number = 0;  // from 1
    balancer::Outcome outcome{};
    std::string_view cause;  // see ExchangeResult
    bool arriving = false;   // the request's body was still arriving
  };
  void AttemptFailed(const FailedAttempt& attempt, runtime::TimePoint now);

 private:
  runtime::Logger& log_;
  runtime::EventLimiter not_served_;
  runtime::EventLimiter attempts_;
};

}  // namespace mothrack::dispatch
