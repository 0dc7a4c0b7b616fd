#include "balancer/load_probes.h"

#include <algorithm>

#include "balancer/arithmetic.h"

namespace mothrack::balancer {

void LeastLoaded::Consider(std::size_t index, const ProbedLoad& load) {
  if (load.served_per_s > 0 &&
      load.in_flight > load.served_per_s * kOverloadedQueueShare * Seconds(latency_objective_)) {
    any_overloaded_ = true;
    return;
  }
  const double load_per_capacity = (load.in_flight + 1) * load.slowness / load.capacity;
  if (best_ && load_per_capacity >= least_load_) return;
  best_ = index;
  least_load_ = load_per_capacity;
}

LoadProbes::LoadProbes(const Settings& settings) : limits_(settings.limits) {
  if (!settings.load_by_probe || !settings.limits.probes) return;
  const double affordable = kProbeCostShare / std::max(settings.prices.probe, kMinProbePrice);
  upstreams_per_request_ = static_cast<std::size_t>(std::clamp(affordable, 1.0, kMaxProbesPerRequest));
}

Duration LoadProbes::Wait() const { return Scaled(limits_.connect_timeout, kProbeWaitShare); }

}  // namespace mothrack::balancer
