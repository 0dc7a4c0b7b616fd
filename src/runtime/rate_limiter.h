// A token bucket. Limits the rate of log lines and answers, so that they do not use up the resources that
// requests need.
//
// Owned by its only user, used on its thread. The time is a parameter and must not decrease.
#pragma once

#include <algorithm>
#include <chrono>

#include "runtime/clock.h"

namespace mothrack::runtime {

class RateLimiter {
 public:
  // Starts with a full bucket of `burst` tokens.
  RateLimiter(double per_second, double burst, TimePoint now)
      : per_second_(per_second), burst_(burst), tokens_(burst), refilled_(now) {}

  // Takes a token. Returns false if none is left.
  bool Take(TimePoint now) {
    const double seconds = std::chrono::duration<double>(now - refilled_).count();
    tokens_ = std::min(burst_, tokens_ + seconds * per_second_);
    refilled_ = now;
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  const double per_second_;
  const double burst_;
  double tokens_;
  TimePoint refilled_;
};

}  // namespace mothrack::runtime
