// The period of the balancer's housekeeping, which the rooms' decays are worked out for.
#pragma once

#include "balancer/balancer.h"

namespace mothrack::balancer {

// Returns from ejection, budgets and asking for membership are not urgent: decisions look at the clock.
inline constexpr Duration kTickInterval = std::chrono::milliseconds(250);

}  // namespace mothrack::balancer
