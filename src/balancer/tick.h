// The period of the balancer's periodic work, on which all decay factors of the components are based.
#pragma once

#include "balancer/balancer.h"

namespace mothrack::balancer {

// Nothing done on a tick is urgent, since each decision compares its times with the event's time.
inline constexpr Duration kTickInterval = std::chrono::milliseconds(250);

}  // namespace mothrack::balancer
