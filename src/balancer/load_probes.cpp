#include "balancer/load_probes.h"

#include <algorithm>

#include "balancer/arithmetic.h"

namespace mothrack::balancer {

void LeastLoaded::Consider(std::size_t index, const ProbedLoad& load) {
  if (load.served_per_s > 0 &&
      load.in_flight > load.served_per_s * kJammedShare * Seconds(latency_objective_)) {
    any_jammed_ = true;
    return;
  }
  const double own = (load.in_flight + 1) * load.slowness / load.capacity;
  if (best_ && own >= least_) return;
  best_ = index;
  least_ = own;
}

LoadProbes::LoadProbes(const Settings& settings) : limits_(settings.limits) {
  if (!settings.load_by_probe || !settings.limits.probes) return;
  const double affordable = kProbeSpend / std::max(settings.prices.probe, kMinProbePrice);
  upstreams_per_request_ = static_cast<std::size_t>(std::clamp(affordable, 1.0, kMaxProbesPerRequest));
}

Duration LoadProbes::Wait() const { return Scaled(limits_.connect_timeout, kProbeWaitShare); }

}  // namespace mothrack::balancer
