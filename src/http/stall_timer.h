// How long something stood still, in all, over several pauses.
//
// A value without a thread of its own; time is handed in.
#pragma once

#include <optional>
#include <utility>

#include "runtime/clock.h"

namespace mothrack::http {

class StallTimer {
 public:
  bool stalled() const { return since_.has_value(); }
  // No effect where it stands still already.
  void Stall(runtime::TimePoint now) {
    if (!since_) since_ = now;
  }
  // No effect where it moves already.
  void Resume(runtime::TimePoint now) {
    if (since_) total_ += now - *std::exchange(since_, std::nullopt);
  }
  void Reset() {
    total_ = runtime::Duration::zero();
    since_.reset();
  }
  // The pauses until now, the present one included.
  runtime::Duration Total(runtime::TimePoint now) const {
    return total_ + (since_ ? now - *since_ : runtime::Duration::zero());
  }

 private:
  runtime::Duration total_{};
  std::optional<runtime::TimePoint> since_;
};

}  // namespace mothrack::http
