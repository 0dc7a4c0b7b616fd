// Subset: over how many of the listed upstreams this sidecar spreads its requests.
//
// Guards against a few requests spread so thin that no upstream is met twice: every request would need a new
// connection, fill the upstreams' tables, and tell nothing of the next. Where requests are many the subset is
// the list. The order of choice is UpstreamSet's: rendezvous hashing, as in gRPC's deterministic subsetting.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

#include "balancer/arithmetic.h"
#include "balancer/balancer.h"

namespace mothrack::balancer {

// The subset has as many upstreams as the sidecar calls about once in this share of the time after which an
// idle connection is closed, ...
inline constexpr double kRequestIntervalShare = 0.25;
// ... and this many at least.
inline constexpr double kMinSubset = 3;

struct SubsetRecord {
  bool in_subset = false;  // requests reach it while nothing is tried twice
};

// An upstream of the list, in the order of choice.
struct SubsetMember {
  SubsetRecord* record = nullptr;
  double weight = 0;    // listed; 0 where it does not serve
  double capacity = 0;  // the place it takes up in the subset: its slow start factor, 0 where it is out
};

class Subset {
 public:
  explicit Subset(const Limits& limits) : limits_(limits) {}

  // Upstreams that requests are spread over; the length of the list while the rate is not known.
  double Size(double requests_per_s, bool rate_known, std::size_t listed) const {
    if (!rate_known) return static_cast<double>(listed);
    return std::max(kMinSubset, requests_per_s * kRequestIntervalShare * Seconds(limits_.idle_close));
  }

  // Of the listed weight, the subset's, slow to fall; 0 until the rate is known: before that it is the whole
  // list, which must not be remembered as a subset.
  double share() const { return share_; }

  // Marks which upstreams a request reaches while none of them is tried, full or waiting for its budget.
  void Mark(const std::vector<SubsetMember>& ranked, double size, bool rate_known, double listed_weight);
  // `fading`: what is left of the share after a tick.
  void RecordTick(double fading) { share_ *= fading; }

 private:
  const Limits& limits_;
  double share_ = 0;
};

}  // namespace mothrack::balancer
