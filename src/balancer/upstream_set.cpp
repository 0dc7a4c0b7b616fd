#include "balancer/upstream_set.h"

#include <algorithm>
#include <memory>
#include <tuple>

#include "balancer/arithmetic.h"

namespace mothrack::balancer {

void UpstreamSet::BeginUpdate(bool whole_list) {
  for (const UpstreamPtr& u : ranked_) u->listed = !whole_list;
}

UpstreamSet::Change UpstreamSet::Update(const UpstreamInfo& info) {
  UpstreamPtr& u = by_id_[info.id.value];
  const bool was_serving = u && u->info.state == UpstreamState::kServing;
  // A different start time is a new process: failures and ejection belong to the former one.
  const bool new_process = !u || (info.started && info.started != u->info.started);
  if (new_process) {
    if (u) u->info.state = UpstreamState::kGone;
    u = std::make_shared<Upstream>();
    u->rank = Hash(info.id.value, seed_);
  }
  // An entry that says "gone" may lack zone and cell, which decide where its requests may be repeated.
  const UpstreamInfo place = u->info;
  u->info = info;
  if (!new_process && info.state == UpstreamState::kGone) {
    u->info.zone = place.zone;
    u->info.cell = place.cell;
  }
  u->listed = true;
  if (!(u->info.weight > 0)) u->info.weight = 1;
  return {u, new_process, new_process || !was_serving};
}

// Drops the upstreams that are gone.
void UpstreamSet::FinishUpdate() {
  std::erase_if(by_id_, [](const auto& entry) {
    UpstreamState& state = entry.second->info.state;
    if (!entry.second->listed) state = UpstreamState::kGone;
    return state == UpstreamState::kGone;
  });
  ranked_.clear();
  for (const auto& [id, u] : by_id_) ranked_.push_back(u);
  has_sizes_ = std::any_of(ranked_.begin(), ranked_.end(), [](const auto& u) { return u->info.weight != 1; });
  std::sort(ranked_.begin(), ranked_.end(), [](const UpstreamPtr& a, const UpstreamPtr& b) {
    return std::tie(a->rank, a->info.id) < std::tie(b->rank, b->info.id);
  });
}

UpstreamPtr UpstreamSet::Find(const UpstreamId& id) const {
  const auto found = by_id_.find(id.value);
  return found == by_id_.end() ? nullptr : found->second;
}

bool UpstreamSet::HasZone(const std::string& zone) const {
  return std::any_of(ranked_.begin(), ranked_.end(), [&](const auto& u) { return u->info.zone == zone; });
}

double UpstreamSet::ServingWeight() const {
  double sum = 0;
  for (const UpstreamPtr& u : ranked_) {
    if (u->info.state == UpstreamState::kServing) sum += u->info.weight;
  }
  return sum;
}

}  // namespace mothrack::balancer
