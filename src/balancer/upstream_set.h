// Upstream set: the known upstreams, by id and in this sidecar's own order.
//
// Subsets are formed in that order: rendezvous hashing (Thaler and Ravishankar, 1998) of the sidecar's index
// and the upstream's id, so that the subsets of all sidecars spread evenly over the list, cells and zones,
// and a change of one entry moves no other.
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
  // The result of processing one entry of a list.
  struct UpdateResult {
    UpstreamPtr upstream;
    bool new_process = false;  // its record was created
    bool enters = false;       // it was not serving before
  };

  // `seed` determines this sidecar's order.
  explicit UpstreamSet(std::uint64_t seed) : seed_(seed) {}

  // An update of the list: BeginUpdate(), Update() for each entry, FinishUpdate(). Upstreams missing from a
  // full list are removed.
  void BeginUpdate(bool full_list);
  UpdateResult Update(const UpstreamInfo& info);
  void FinishUpdate();

  // The upstreams that have not been removed, in this sidecar's order.
  const std::vector<UpstreamPtr>& ranked() const { return ranked_; }
  // The upstream with this id; null if there is none.
  UpstreamPtr Find(const UpstreamId& id) const;
  bool HasZone(const std::string& zone) const;
  double ServingWeight() const;
  // Whether the list has weights other than 1. These reflect the kind of machine, which must not count twice.
  bool has_weights() const { return has_weights_; }

 private:
  std::uint64_t seed_;
  // Its order differs between libraries, so no decision may depend on it.
  std::unordered_map<std::string, UpstreamPtr> by_id_;
  std::vector<UpstreamPtr> ranked_;
  bool has_weights_ = false;
};

}  // namespace mothrack::balancer
