// Request rate: the usual number of requests per second at this sidecar, including retries by clients.
//
// It changes slowly, so that a burst does not raise the slow start budgets and the subset that depend on it.
#pragma once

#include <cstdint>

#include "balancer/balancer.h"

namespace mothrack::balancer {

// The rate counts as known this long after the start.
inline constexpr Duration kRateKnownAfter = std::chrono::seconds(2);

class RequestRate {
 public:
  void Start(TimePoint now) { started_ = now; }
  void RecordArrival() { ++arrivals_; }
  void RecordServed() { ++served_; }
  // Updates the moving average with the arrivals since the last tick. `memory_s`: its time constant, in
  // seconds.
  void RecordTick(TimePoint now, double memory_s);

  double usual() const { return usual_; }  // requests a second
  bool IsKnown(TimePoint now) const { return Age(now) >= kRateKnownAfter && usual_ > 0; }
  Duration Age(TimePoint now) const { return now - started_; }  // time since the start
  // Numbers since the last tick.
  std::uint64_t arrivals() const { return arrivals_; }
  std::uint64_t served() const { return served_; }

 private:
  TimePoint started_;
  std::uint64_t arrivals_ = 0;
  std::uint64_t served_ = 0;
  double usual_ = 0;
};

}  // namespace mothrack::balancer
