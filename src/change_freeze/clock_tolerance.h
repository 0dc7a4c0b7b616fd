// How far the steady clocks of two machines may drift apart, and how both sides of a lease or permit allow
// for it: the holder counts a shortened time, and whoever waits for its end counts a lengthened time.
//
// Source: docs/design/change_freeze.md, "What a voter promises". Pure functions; any thread.
#pragma once

#include "rollout/types.h"

namespace mothrack::change_freeze {

using rollout::Duration;  // milliseconds
// On one machine's steady clock, which must include suspended time; never sent as such.
using rollout::TimePoint;

// Maximum rate error of a steady clock in percent. Crystal oscillators are within 0.01; a virtual machine
// whose clock is slewed after a migration, within 1.
inline constexpr int kMaxClockErrorPercent = 10;

// The time for which the holder of a lease or permit may rely on it, by its own clock.
constexpr Duration Shortened(Duration time) { return time * (100 - kMaxClockErrorPercent) / 100; }

// The time for which all others must wait, by their own clocks, until the holder's time has expired.
constexpr Duration Lengthened(Duration time) { return time * (100 + kMaxClockErrorPercent) / 100; }

}  // namespace mothrack::change_freeze
