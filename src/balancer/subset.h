// Subset: the number of listed upstreams over which this sidecar spreads its requests.
//
// If little traffic were spread over many upstreams, no connection would be reused: every request would open
// one and fill the upstreams' connection tables, and its outcome would say nothing about the next. With much
// traffic the subset is the complete list. The order is that of UpstreamSet (rendezvous hashing), similar to
// gRPC's deterministic subsetting.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

#include "balancer/arithmetic.h"
#include "balancer/balancer.h"

namespace mothrack::balancer {

// The subset is sized so that each of its upstreams gets about one request in this share of the idle
// connection time-out.
inline constexpr double kRequestIntervalShare = 0.25;
// Minimum number of upstreams in the subset.
inline constexpr double kMinSubset = 3;

struct SubsetRecord {
  bool in_subset = false;  // first attempts may be sent to it
};

// A listed upstream, in rank order.
struct SubsetMember {
  SubsetRecord* record = nullptr;
  double weight = 0;  // listed; 0 if it does not serve
  // The part of a place in the subset that it fills: its slow start factor; 0 if ejected or suspect.
  double capacity = 0;
};

class Subset {
 public:
  explicit Subset(const Limits& limits) : limits_(limits) {}

  // Number of upstreams; the length of the list while the request rate is unknown.
  double Size(double requests_per_s, bool rate_known, std::size_t listed) const {
    if (!rate_known) return static_cast<double>(listed);
    return std::max(kMinSubset, requests_per_s * kRequestIntervalShare * Seconds(limits_.idle_close));
  }

  // The subset's share of the listed weight, a slowly decaying maximum; 0 until the rate is known, since the
  // complete list, which is used until then, must not count as a subset.
  double share() const { return share_; }

  // Marks the upstreams that first attempts may be sent to. `listed_weight`: of all serving upstreams.
  void Mark(const std::vector<SubsetMember>& ranked, double size, bool rate_known, double listed_weight);
  // `decay_factor`: the factor by which the share is multiplied at each tick.
  void RecordTick(double decay_factor) { share_ *= decay_factor; }

 private:
  const Limits& limits_;
  double share_ = 0;
};

}  // namespace mothrack::balancer
