// The program's steady clock, in microseconds. The wall clock is read in this file only, to convert the Unix
// times of other processes. It may be stepped at any time by any amount, so no interval is measured with it.
// All functions may be called on any thread.
#pragma once

#include <chrono>
#include <cstdint>

#include "balancer/balancer.h"

namespace mothrack::runtime {

using balancer::Duration;
using balancer::TimePoint;

inline TimePoint ToTimePoint(std::chrono::steady_clock::time_point time) {
  return TimePoint(std::chrono::duration_cast<Duration>(time.time_since_epoch()));
}

inline std::chrono::steady_clock::time_point ToSteady(TimePoint time) {
  return std::chrono::steady_clock::time_point(time.time_since_epoch());
}

inline TimePoint Now() { return ToTimePoint(std::chrono::steady_clock::now()); }

// A reading of both clocks at the same moment.
struct ClockReading {
  TimePoint now;         // steady clock
  Duration unix_time{};  // wall clock, since 1970

  // Converts a Unix time to the steady clock, assuming that the wall clock was right at this reading.
  TimePoint At(std::chrono::milliseconds other_unix_time) const {
    return now + (other_unix_time - unix_time);
  }
};

inline ClockReading ReadClocks() {
  return {Now(), std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch())};
}

}  // namespace mothrack::runtime
