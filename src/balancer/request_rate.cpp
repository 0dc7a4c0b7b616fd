#include "balancer/request_rate.h"

#include <algorithm>

#include "balancer/arithmetic.h"
#include "balancer/tick.h"

namespace mothrack::balancer {

void RequestRate::RecordTick(TimePoint now, Duration memory) {
  const double interval = Seconds(kTickInterval);
  const double remembered = std::min(Seconds(Age(now)), Seconds(memory));
  usual_ += (static_cast<double>(arrivals_) / interval - usual_) * std::min(1.0, interval / remembered);
  arrivals_ = served_ = 0;
}

}  // namespace mothrack::balancer
