#include "hash_ring/bounded_load.h"

#include <algorithm>
#include <utility>

namespace mothrack::hash_ring {

void HeavyHitterSketch::Add(std::uint64_t key) {
  Entry* least = nullptr;
  for (std::size_t i = 0; i < used_; ++i) {
    Entry& entry = entries_[i];
    if (entry.key == key) {
      ++entry.count;
      return;
    }
    if (!least || entry.count < least->count) least = &entry;
  }
  if (used_ < kCapacity) {
    entries_[used_++] = {key, 1, 0};
  } else {
    *least = {key, least->count + 1, least->count};
  }
}

void BoundedLoad::SetRing(std::shared_ptr<const Ring> ring) {
  ring_ = std::move(ring);
  RecountInFlight();
}

void BoundedLoad::OnReport(const std::string& member, LoadReport report, Duration age, TimePoint now) {
  if (age >= config_.report_ttl || report.in_flight.size() > kMaxNodes ||
      report.heavy_keys.size() > LoadReport::kMaxHeavyKeys)
    return;
  const auto known = reports_.find(member);
  if (known == reports_.end() ? reports_.size() >= kMaxMembers : known->second.at > now - age) return;
  reports_[member] = {std::move(report), now - age};
  RecountInFlight();
}

void BoundedLoad::RecountInFlight() {
  in_flight_.assign(ring_->nodes().size(), 0);
  total_ = 0;
  // What is on nodes that do not serve any more is nobody's share.
  const auto add = [&](const auto& counts) {
    for (const auto& [uid, count] : counts) {
      const auto node = ring_->Find(uid);
      if (!node || ring_->weight(*node) == 0) continue;
      in_flight_[*node] += count;
      total_ += count;
    }
  };
  add(own_in_flight_);
  for (const auto& [member, from] : reports_) add(from.report.in_flight);
}

void BoundedLoad::OnAttemptStarted(std::string_view uid) {
  const auto own = own_in_flight_.find(uid);
  if (own != own_in_flight_.end()) {
    ++own->second;
  } else {
    own_in_flight_.emplace(uid, 1);
  }
  const auto node = ring_->Find(uid);
  if (!node || ring_->weight(*node) == 0) return;
  ++in_flight_[*node];
  ++total_;
}

void BoundedLoad::OnAttemptEnded(std::string_view uid) {
  const auto own = own_in_flight_.find(uid);
  if (own == own_in_flight_.end()) return;
  if (--own->second == 0) own_in_flight_.erase(own);
  const auto node = ring_->Find(uid);
  if (!node || ring_->weight(*node) == 0) return;
  --in_flight_[*node];
  --total_;
}

// With all nodes' limits above what is in flight, one has room always: the walk of Pick() ends at it.
std::uint64_t BoundedLoad::Limit(std::uint32_t node) const {
  const std::uint64_t all = ring_->total_weight();
  if (all == 0) return 0;
  const Uint128 most = Uint128{1000 + config_.excess} * (total_ + 1) * ring_->weight(node);
  const Uint128 scaled_total = Uint128{1000} * all;
  return std::max<std::uint64_t>(static_cast<std::uint64_t>((most + scaled_total - 1) / scaled_total),
                                 config_.min_limit);
}

std::uint32_t BoundedLoad::owners_of(std::uint64_t key) const {
  const auto at = owners_.find(key);
  return at == owners_.end() ? 1 : at->second;
}

void BoundedLoad::Pick(std::uint64_t key, std::uint64_t request, std::size_t most,
                       std::vector<std::uint32_t>& nodes) {
  nodes.clear();
  sketch_.Add(key);
  ++requests_;
  if (ring_->serving() == 0 || most == 0) return;
  const std::size_t spread = std::min<std::size_t>(owners_of(key), ring_->serving());
  // Most walks end among the first few. Where all of these are full the walk begins anew, further.
  for (std::size_t reach = std::max(most, spread) + 1;; reach *= 4) {
    nodes.clear();
    ring_->Owners(key, reach, scratch_);
    if (spread > 1) {
      const auto first = scratch_.begin();
      std::rotate(first, first + Mix(request) % spread, first + spread);
    }
    for (const Owner& owner : scratch_) {
      if (in_flight_[owner.node] + 1 > Limit(owner.node)) continue;
      nodes.push_back(owner.node);
      if (nodes.size() == most) break;
    }
    if (!nodes.empty() || reach >= ring_->serving()) break;
  }
  over_limit_ += nodes.empty() || nodes.front() != scratch_.front().node;
}

void BoundedLoad::Update(TimePoint now) {
  const auto lapsed =
      std::erase_if(reports_, [&](const auto& from) { return now - from.second.at >= config_.report_ttl; });
  if (lapsed > 0) RecountInFlight();
  if (now - period_started_ < config_.period) return;
  // After a pause of several periods there is no telling which one it was asked in.
  period_started_ = now;
  ClosePeriod();
}

void BoundedLoad::ClosePeriod() {
  rate_ = (rate_ + requests_ + 1) / 2;
  if (requests_ == 0 && rate_ == 1) rate_ = 0;
  requests_ = 0;
  std::map<std::uint64_t, std::uint32_t> rates;
  for (const auto& [key, rate] : own_rates_) rates[key] = rate / 2;
  // Only what is certain: a key that came in place of another is not hot by the other's count.
  for (const HeavyHitterSketch::Entry& entry : sketch_)
    rates[entry.key] += (entry.count - entry.overcount + 1) / 2;
  sketch_.Clear();
  // As many as the sketch has; of equal ones the lower key, so that the choice is no member's own.
  std::vector<std::pair<std::uint32_t, std::uint64_t>> ranked;
  for (const auto& [key, rate] : rates) {
    if (rate > 0) ranked.emplace_back(rate, key);
  }
  std::sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first : a.second < b.second;
  });
  if (ranked.size() > HeavyHitterSketch::kCapacity) ranked.resize(HeavyHitterSketch::kCapacity);
  own_rates_.clear();
  for (const auto& [rate, key] : ranked) own_rates_[key] = rate;

  // The fleet's: what is hot for all may be lukewarm at each. Of its own rates a member uses what it tells,
  // so that all add up the same.
  std::uint64_t all = rate_;
  std::map<std::uint64_t, std::pair<std::uint64_t, std::uint32_t>>
      keys;  // rate, and the owners that were gone by
  for (const auto& [key, owners] : owners_) keys.try_emplace(key, 0, owners);
  for (std::size_t i = 0; i < std::min(ranked.size(), LoadReport::kMaxHeavyKeys); ++i)
    keys[ranked[i].second].first = ranked[i].first;
  for (const auto& [member, from] : reports_) {
    all += from.report.rate;
    for (const LoadReport::HeavyKey& heavy_key : from.report.heavy_keys) {
      auto& [rate, owners] = keys[heavy_key.key];
      rate += heavy_key.rate;
      owners = std::max(owners, std::min(heavy_key.owners, config_.max_owners));
    }
  }
  owners_.clear();
  if (ring_->serving() == 0) return;
  const auto allowance =
      std::max<std::uint64_t>({all * config_.hot_share / 1000 / ring_->serving(), config_.min_hot_rate, 1});
  const auto needed = [&](std::uint64_t rate, std::uint64_t each) {
    return static_cast<std::uint32_t>(
        std::clamp<std::uint64_t>((rate + each - 1) / each, 1, config_.max_owners));
  };
  const std::uint64_t cooled = std::max<std::uint64_t>(allowance * config_.cool_share / 1000, 1);
  for (const auto& [key, of] : keys) {
    const auto& [rate, held] = of;
    const std::uint32_t up = needed(rate, allowance);
    const std::uint32_t down = needed(rate, cooled);
    const std::uint32_t owners = std::clamp(held, up, std::max(up, down));
    if (owners > 1) owners_[key] = owners;
  }
}

LoadReport BoundedLoad::Report() const {
  LoadReport report;
  report.in_flight = own_in_flight_;
  report.rate = rate_;
  for (const auto& [key, rate] : own_rates_) report.heavy_keys.push_back({key, rate, owners_of(key)});
  std::sort(report.heavy_keys.begin(), report.heavy_keys.end(),
            [](const LoadReport::HeavyKey& a, const LoadReport::HeavyKey& b) {
              return a.rate != b.rate ? a.rate > b.rate : a.key < b.key;
            });
  if (report.heavy_keys.size() > LoadReport::kMaxHeavyKeys)
    report.heavy_keys.resize(LoadReport::kMaxHeavyKeys);
  return report;
}

}  // namespace mothrack::hash_ring
