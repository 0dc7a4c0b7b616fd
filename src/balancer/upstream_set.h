// Upstream set: which upstreams there are, by id and in this sidecar's own order.
//
// The order is that in which this sidecar takes upstreams into its subset: rendezvous hashing (Thaler and
// Ravishankar, 1998) of its number and the upstream's id, so that the sidecars' subsets spread evenly over
// the list, cells and zones, and a change of the list changes nobody else's place.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "balancer/balancer.h"
#include "balancer/upstream.h"

namespace mothrack::balancer {

class UpstreamSet {
 public:
  // What came of one entry of a list.
  struct Change {
    UpstreamPtr upstream;
    bool new_process = false;  // its record is new
    bool enters = false;       // it did not serve before
  };

  // `seed` gives this sidecar's order.
  explicit UpstreamSet(std::uint64_t seed) : seed_(seed) {}

  // An update: begin, take in each entry, finish. What a whole list leaves out is gone.
  void BeginUpdate(bool whole_list);
  Change Update(const UpstreamInfo& info);
  void FinishUpdate();

  // Those that are not gone, in this sidecar's order.
  const std::vector<UpstreamPtr>& ranked() const { return ranked_; }
  // Null where there is none of this id.
  UpstreamPtr Find(const UpstreamId& id) const;
  bool HasZone(const std::string& zone) const;
  double ServingWeight() const;
  // The list tells sizes: what a kind of machine can do is in them, and not to be counted twice.
  bool has_sizes() const { return has_sizes_; }

 private:
  std::uint64_t seed_;
  std::unordered_map<std::string, UpstreamPtr> by_id_;  // those that are not gone; walked only to sort them
  std::vector<UpstreamPtr> ranked_;
  bool has_sizes_ = false;
};

}  // namespace mothrack::balancer
