#include "balancer/request_rate.h"

#include <algorithm>

#include "balancer/arithmetic.h"
#include "balancer/tick.h"

namespace mothrack::balancer {

void RequestRate::RecordTick(TimePoint now, double memory_s) {
  const double interval = Seconds(kTickInterval);
  const double remembered = std::min(Seconds(Age(now)), memory_s);
  usual_ += (static_cast<double>(arrivals_) / interval - usual_) * std::min(1.0, interval / remembered);
  arrivals_ = served_ = 0;
}

}  // namespace mothrack::balancer
