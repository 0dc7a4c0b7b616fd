// How far two machines' steady clocks may drift apart, and how both sides of a lease or permit allow for it:
// the side that acts counts a shortened time, the side that waits for its end counts a lengthened one.
//
// Source: docs/design/change_freeze.md, "What a voter promises". Pure functions; any thread.
#pragma once

#include "rollout/types.h"

namespace mothrack::change_freeze {

using rollout::Duration;   // milliseconds
using rollout::TimePoint;  // of one machine's steady clock, which must count suspension; never sent as it is

// Percent by which a steady clock may run fast or slow against true time. Crystals are within 0.01; a virtual
// machine whose clock is slewed after a migration, within 1.
inline constexpr int kMaxClockErrorPercent = 10;

// What the holder of a lease or permit may count on by its own clock.
constexpr Duration Shortened(Duration time) { return time * (100 - kMaxClockErrorPercent) / 100; }

// What everybody else waits for by their own clocks until the holder's time is over.
constexpr Duration Lengthened(Duration time) { return time * (100 + kMaxClockErrorPercent) / 100; }

}  // namespace mothrack::change_freeze
