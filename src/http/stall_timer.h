// Measures the total time of several stalls.
//
// A plain value, not bound to a thread; the caller passes in the time.
#pragma once

#include <optional>
#include <utility>

#include "runtime/clock.h"

namespace mothrack::http {

class StallTimer {
 public:
  bool stalled() const { return since_.has_value(); }
  // No effect if already stalled.
  void Stall(runtime::TimePoint now) {
    if (!since_) since_ = now;
  }
  // No effect if not stalled.
  void Resume(runtime::TimePoint now) {
    if (since_) total_ += now - *std::exchange(since_, std::nullopt);
  }
  void Reset() {
    total_ = runtime::Duration::zero();
    since_.reset();
  }
  // Returns the total time of all stalls up to `now`, including the current one.
  runtime::Duration Total(runtime::TimePoint now) const {
    return total_ + (since_ ? now - *since_ : runtime::Duration::zero());
  }

 private:
  runtime::Duration total_{};
  std::optional<runtime::TimePoint> since_;
};

}  // namespace mothrack::http
