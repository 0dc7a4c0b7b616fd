// The program's one clock: steady, in microseconds; Unix times from outside are converted here and nowhere
// else.
#pragma once

#include <chrono>
#include <cstdint>

#include "kestrellb/balancer.h"

namespace mothrack {

using kestrellb::Duration;
using kestrellb::TimePoint;

inline TimePoint ToTimePoint(std::chrono::steady_clock::time_point t) {
  return TimePoint(std::chrono::duration_cast<Duration>(t.time_since_epoch()));
}

inline std::chrono::steady_clock::time_point ToSteady(TimePoint t) {
  return std::chrono::steady_clock::time_point(t.time_since_epoch());
}

inline TimePoint Now() { return ToTimePoint(std::chrono::steady_clock::now()); }

// Between Unix time and the steady clock. Read once for each process, so that the same Unix time is the same
// TimePoint in every list: the module takes a start time that moved for a new process.
class UnixClock {
 public:
  UnixClock()
      : offset_(std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()) -
                Now().time_since_epoch()) {}
  TimePoint FromMilliseconds(std::int64_t unix_ms) const {
    return TimePoint(std::chrono::milliseconds(unix_ms) - offset_);
  }

 private:
  Duration offset_;
};

}  // namespace mothrack
