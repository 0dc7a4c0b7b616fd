// Limits the lines of one event in the log and counts those that are left out, so that a flood of one event
// does not displace the other lines.
//
// Owned by its only user, used on its thread. The time is a parameter and must not decrease.
#pragma once

#include <cstdint>
#include <utility>

#include "runtime/clock.h"
#include "runtime/rate_limiter.h"

namespace mothrack::runtime {

class EventLimiter {
 public:
  // After kBurst lines at once only kPerSecond lines a second are written.
  static constexpr double kBurst = 20;
  static constexpr double kPerSecond = 2;

  explicit EventLimiter(TimePoint now) : limiter_(kPerSecond, kBurst, now) {}

  // Returns false if the line is to be left out.
  bool Take(TimePoint now) {
    if (limiter_.Take(now)) return true;
    ++left_out_;
    return false;
  }

  // The number of lines left out since the last call.
  std::uint64_t TakeLeftOut() { return std::exchange(left_out_, 0); }

 private:
  RateLimiter limiter_;
  std::uint64_t left_out_ = 0;
};

}  // namespace mothrack::runtime
