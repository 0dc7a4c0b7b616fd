// The period of the balancer's periodic work, on which all decay factors of the components are based.
#pragma once

#include "balancer/balancer.h"

namespace mothrack::balancer {

// Nothing done on a tick is urgent: decisions compare with the event's time themselves.
inline constexpr Duration kTickInterval = std::chrono::milliseconds(250);

}  // namespace mothrack::balancer
