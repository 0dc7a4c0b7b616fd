#include "balancer/upstream_set.h"

#include <algorithm>
#include <memory>
#include <tuple>

#include "balancer/arithmetic.h"

namespace mothrack::balancer {

void UpstreamSet::BeginUpdate(bool full_list) {
  for (const UpstreamPtr& upstream : ranked_) upstream->listed = !full_list;
}

UpstreamSet::UpdateResult UpstreamSet::Update(const UpstreamInfo& info) {
  UpstreamPtr& upstream = by_id_[info.id.value];
  const bool was_serving = upstream && upstream->info.state == UpstreamState::kServing;
  // A different start time is a new process: failures and ejection belong to the former one.
  const bool new_process = !upstream || (info.started && info.started != upstream->info.started);
  if (new_process) {
    if (upstream) upstream->info.state = UpstreamState::kGone;
    upstream = std::make_shared<Upstream>();
    upstream->rank = Hash(info.id.value, seed_);
  }
  // An entry with the state kGone may lack zone and cell, which decide where its requests may be repeated.
  const UpstreamInfo previous = upstream->info;
  upstream->info = info;
  if (!new_process && info.state == UpstreamState::kGone) {
    upstream->info.zone = previous.zone;
    upstream->info.cell = previous.cell;
  }
  upstream->listed = true;
  if (!(upstream->info.weight > 0)) upstream->info.weight = 1;
  return {upstream, new_process, new_process || !was_serving};
}

// Removes the upstreams with the state kGone and those that a full list does not contain.
void UpstreamSet::FinishUpdate() {
  std::erase_if(by_id_, [](const auto& entry) {
    UpstreamState& state = entry.second->info.state;
    if (!entry.second->listed) state = UpstreamState::kGone;
    return state == UpstreamState::kGone;
  });
  ranked_.clear();
  for (const auto& [id, upstream] : by_id_) ranked_.push_back(upstream);
  has_weights_ = std::any_of(ranked_.begin(), ranked_.end(),
                             [](const auto& upstream) { return upstream->info.weight != 1; });
  std::sort(ranked_.begin(), ranked_.end(), [](const UpstreamPtr& a, const UpstreamPtr& b) {
    return std::tie(a->rank, a->info.id) < std::tie(b->rank, b->info.id);
  });
}

UpstreamPtr UpstreamSet::Find(const UpstreamId& id) const {
  const auto found = by_id_.find(id.value);
  return found == by_id_.end() ? nullptr : found->second;
}

bool UpstreamSet::HasZone(const std::string& zone) const {
  return std::any_of(ranked_.begin(), ranked_.end(),
                     [&](const auto& upstream) { return upstream->info.zone == zone; });
}

double UpstreamSet::ServingWeight() const {
  double sum = 0;
  for (const UpstreamPtr& upstream : ranked_) {
    if (upstream->info.state == UpstreamState::kServing) sum += upstream->info.weight;
  }
  return sum;
}

}  // namespace mothrack::balancer
