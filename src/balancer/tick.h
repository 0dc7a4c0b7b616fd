// The period of the balancer's periodic work, on which all decay factors of the components are based.
#pragma once

#include "balancer/balancer.h"

namespace mothrack::balancer {

// Nothing that happens on a tick is urgent, since each decision compares its deadlines with the time of its
// event, not of the last tick.
inline constexpr Duration kTickInterval = std::chrono::milliseconds(250);

}  // namespace mothrack::balancer
