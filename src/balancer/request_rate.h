// Request rate: how many requests a second this sidecar usually takes, clients' repeats included.
//
// It changes slowly: a burst must not raise what rests on it (budgets of slow start, size of the subset).
#pragma once

#include <cstdint>

#include "balancer/balancer.h"

namespace mothrack::balancer {

// The rate is known once it has been observed for this long.
inline constexpr Duration kRateKnownAfter = std::chrono::seconds(2);

class RequestRate {
 public:
  void Start(TimePoint now) { started_ = now; }
  void RecordArrival() { ++arrivals_; }
  void RecordServed() { ++served_; }
  // The rate goes over to what came since the last tick, within `memory_s` seconds at most.
  void RecordTick(TimePoint now, double memory_s);

  double usual() const { return usual_; }  // requests a second
  bool IsKnown(TimePoint now) const { return Age(now) >= kRateKnownAfter && usual_ > 0; }
  Duration Age(TimePoint now) const { return now - started_; }  // since the start
  // Since the last tick.
  std::uint64_t arrivals() const { return arrivals_; }
  std::uint64_t served() const { return served_; }

 private:
  TimePoint started_;
  std::uint64_t arrivals_ = 0;
  std::uint64_t served_ = 0;
  double usual_ = 0;
};

}  // namespace mothrack::balancer
