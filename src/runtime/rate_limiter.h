// So many a second, and a burst of them after a pause: for log lines and answers that must not take what
// requests need. A token bucket.
//
// Owned by whoever is limited, on its thread; time is handed in and must not go back.
#pragma once

#include <algorithm>
#include <chrono>

#include "runtime/clock.h"

namespace mothrack::runtime {

class RateLimiter {
 public:
  // Begins with a full burst.
  RateLimiter(double per_second, double burst, TimePoint now)
      : per_second_(per_second), burst_(burst), left_(burst), refilled_(now) {}

  // Takes one; false where none is left.
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
