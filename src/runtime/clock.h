// The program's one clock: steady, in microseconds. The machine's wall clock is read here for what others say
// in Unix time; it may be stepped at any moment, by any amount, so no span of time is ever measured by it.
// Functions of any thread.
#pragma once

#include <chrono>
#include <cstdint>

#include "balancer/balancer.h"

namespace mothrack::runtime {

using balancer::Duration;
using balancer::TimePoint;

inline TimePoint ToTimePoint(std::chrono::steady_clock::time_point t) {
  return TimePoint(std::chrono::duration_cast<Duration>(t.time_since_epoch()));
}

inline std::chrono::steady_clock::time_point ToSteady(TimePoint t) {
  return std::chrono::steady_clock::time_point(t.time_since_epoch());
}

inline TimePoint Now() { return ToTimePoint(std::chrono::steady_clock::now()); }

// Both clocks, read at one moment.
struct ClockReading {
  TimePoint now;         // the steady one
  Duration unix_time{};  // the wall clock's, since 1970

  // The moment that has this Unix time, as far as the wall clock was right when it was read.
  TimePoint At(std::chrono::milliseconds other_unix_time) const {
    return now + (other_unix_time - unix_time);
  }
};

inline ClockReading ReadClocks() {
  return {Now(), std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch())};
}

}  // namespace mothrack::runtime
