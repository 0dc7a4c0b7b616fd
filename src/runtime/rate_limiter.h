// Token bucket: limits log lines and answers so that they do not use up what requests need.
//
// Owned by its only user, on its thread; the time is a parameter and must not decrease.
#pragma once

#include <algorithm>
#include <chrono>

#include "runtime/clock.h"

namespace mothrack::runtime {

class RateLimiter {
 public:
  // Starts with a full bucket of `burst` tokens.
  RateLimiter(double per_second, double burst, TimePoint now)
      : per_second_(per_second), burst_(burst), left_(burst), refilled_(now) {}

  // Takes a token; false if none is left.
  bool Take(TimePoint now) {
    const double passed = std::chrono::duration<double>(now - refilled_).count();
    left_ = std::min(burst_, left_ + passed * per_second_);
    refilled_ = now;
    if (left_ < 1) return false;
    left_ -= 1;
    return true;
  }

 private:
  const double per_second_;
  const double burst_;
  double left_;
  TimePoint refilled_;
};

}  // namespace mothrack::runtime
