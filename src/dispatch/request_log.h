// Logs requests that were not served: their id, what their client got, and why. Bounded by a limit of its
// own, so that an overload does not displace the other lines of the log.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "balancer/balancer.h"
#include "runtime/clock.h"
#include "runtime/log.h"
#include "runtime/rate_limiter.h"

namespace mothrack::dispatch {

// Used on the thread of its dispatcher. The time must not decrease. Nothing throws.
class RequestLog {
 public:
  // After kBurst lines at once only kPerSecond lines a second are written; each says how many were left out
  // before.
  static constexpr double kBurst = 20;
  static constexpr double kPerSecond = 2;

  // `log` must outlive this object.
  RequestLog(runtime::Logger& log, runtime::TimePoint now) : log_(log), limiter_(kPerSecond, kBurst, now) {}

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

 private:
  runtime::Logger& log_;
  runtime::RateLimiter limiter_;
  std::uint64_t left_out_ = 0;
};

}  // namespace mothrack::dispatch
