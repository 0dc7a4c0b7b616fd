#include "hash_ring/bounded_load.h"

#include <algorithm>
#include <utility>

namespace mothrack::hash_ring {
namespace {

constexpr std::uint64_t kThousandths = 1000;  // the unit of shares in LoadBoundConfig

}  // namespace

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
  total_in_flight_ = 0;
  // Requests in flight to nodes that no longer serve are not part of any node's share.
  const auto add = [&](const auto& counts) {
    for (const auto& [uid, count] : counts) {
      const auto node = ring_->Find(uid);
      if (!node || ring_->weight(*node) == 0) continue;
      in_flight_[*node] += count;
      total_in_flight_ += count;
    }
  };
  add(own_in_flight_);
  for (const auto& [member, received] : reports_) add(received.report.in_flight);
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
  ++total_in_flight_;
}

void BoundedLoad::OnAttemptEnded(std::string_view uid) {
  const auto own = own_in_flight_.find(uid);
  if (own == own_in_flight_.end()) return;
  if (--own->second == 0) own_in_flight_.erase(own);
  const auto node = ring_->Find(uid);
  if (!node || ring_->weight(*node) == 0) return;
  --in_flight_[*node];
  --total_in_flight_;
}

// The limits of all nodes add up to more than what is in flight, so at least one node is below its limit.
// This guarantees that Pick() finds one.
std::uint64_t BoundedLoad::Limit(std::uint32_t node) const {
  const std::uint64_t total_weight = ring_->total_weight();
  if (total_weight == 0) return 0;
  const Uint128 share = Uint128{kThousandths + config_.excess} * (total_in_flight_ + 1) * ring_->weight(node);
  const Uint128 scale = Uint128{kThousandths} * total_weight;
  return std::max<std::uint64_t>(static_cast<std::uint64_t>((share + scale - 1) / scale), config_.min_limit);
}

std::uint32_t BoundedLoad::owners_of(std::uint64_t key) const {
  const auto entry = owners_.find(key);
  return entry == owners_.end() ? 1 : entry->second;
}

void BoundedLoad::Pick(std::uint64_t key, std::uint64_t request, std::size_t max,
                       std::vector<std::uint32_t>& nodes) {
  nodes.clear();
  sketch_.Add(key);
  ++requests_;
  if (ring_->serving() == 0 || max == 0) return;
  const std::size_t spread = std::min<std::size_t>(owners_of(key), ring_->serving());
  // Usually one of the first few owners is below its limit. If all of these are full, repeat with more
  // owners.
  for (std::size_t owner_count = std::max(max, spread) + 1;; owner_count *= 4) {
    nodes.clear();
    ring_->Owners(key, owner_count, scratch_);
    if (spread > 1) {
      const auto first = scratch_.begin();
      std::rotate(first, first + Mix(request) % spread, first + spread);
    }
    for (const Owner& owner : scratch_) {
      if (in_flight_[owner.node] + 1 > Limit(owner.node)) continue;
      nodes.push_back(owner.node);
      if (nodes.size() == max) break;
    }
    if (!nodes.empty() || owner_count >= ring_->serving()) break;
  }
  over_limit_ += nodes.empty() || nodes.front() != scratch_.front().node;
}

void BoundedLoad::Update(TimePoint now) {
  const auto expired =
      std::erase_if(reports_, [&](const auto& entry) { return now - entry.second.at >= config_.report_ttl; });
  if (expired > 0) RecountInFlight();
  if (now - period_started_ < config_.period) return;
  // After a pause of several periods it is unknown in which one the requests arrived, so all count in one.
  period_started_ = now;
  ClosePeriod();
}

void BoundedLoad::ClosePeriod() {
  // The mean of the previous rate and this period's requests. A rate of 1 without further requests drops to
  // 0.
  rate_ = (rate_ + requests_ + 1) / 2;
  if (requests_ == 0 && rate_ == 1) rate_ = 0;
  requests_ = 0;
  AssignOwners(FleetDemand(UpdateOwnRates()));
}

std::vector<BoundedLoad::KeyRate> BoundedLoad::UpdateOwnRates() {
  std::map<std::uint64_t, std::uint32_t> rates;
  for (const auto& [key, rate] : own_rates_) rates[key] = rate / 2;
  // Use only the part of the count that is certain: a key that replaced another one must not become hot
  // because of the other key's count.
  for (const HeavyHitterSketch::Entry& entry : sketch_)
    rates[entry.key] += (entry.count - entry.overcount + 1) / 2;
  sketch_.Clear();

  // Keep at most as many keys as the sketch holds. Among equal rates the lower key comes first, so that all
  // members choose the same.
  std::vector<KeyRate> ranked;
  for (const auto& [key, rate] : rates) {
    if (rate > 0) ranked.push_back({key, rate});
  }
  std::sort(ranked.begin(), ranked.end(), [](const KeyRate& a, const KeyRate& b) {
    return a.rate != b.rate ? a.rate > b.rate : a.key < b.key;
  });
  if (ranked.size() > HeavyHitterSketch::kCapacity) ranked.resize(HeavyHitterSketch::kCapacity);
  own_rates_.clear();
  for (const KeyRate& entry : ranked) own_rates_[entry.key] = entry.rate;
  return ranked;
}

// A key that is hot for the fleet may have a moderate rate at each member. A member uses only those of its
// own rates that it also reports, so that all members compute the same sum.
std::map<std::uint64_t, BoundedLoad::KeyDemand> BoundedLoad::FleetDemand(
    const std::vector<KeyRate>& own) const {
  std::map<std::uint64_t, KeyDemand> demands;
  for (const auto& [key, owners] : owners_) demands[key].owners = owners;
  for (std::size_t i = 0; i < std::min(own.size(), LoadReport::kMaxHeavyKeys); ++i)
    demands[own[i].key].rate = own[i].rate;
  for (const auto& [member, received] : reports_) {
    for (const LoadReport::HeavyKey& heavy_key : received.report.heavy_keys) {
      KeyDemand& demand = demands[heavy_key.key];
      demand.rate += heavy_key.rate;
      demand.owners = std::max(demand.owners, std::min(heavy_key.owners, config_.max_owners));
    }
  }
  return demands;
}

void BoundedLoad::AssignOwners(const std::map<std::uint64_t, KeyDemand>& demands) {
  owners_.clear();
  if (ring_->serving() == 0) return;
  std::uint64_t fleet_rate = rate_;
  for (const auto& [member, received] : reports_) fleet_rate += received.report.rate;
  const std::uint64_t hot_rate = fleet_rate * config_.hot_share / kThousandths / ring_->serving();
  const auto allowance = std::max<std::uint64_t>({hot_rate, config_.min_hot_rate, 1});
  const std::uint64_t cooled_allowance =
      std::max<std::uint64_t>(allowance * config_.cool_share / kThousandths, 1);
  const auto owners_for = [&](std::uint64_t rate, std::uint64_t rate_per_owner) {
    return static_cast<std::uint32_t>(
        std::clamp<std::uint64_t>((rate + rate_per_owner - 1) / rate_per_owner, 1, config_.max_owners));
  };
  for (const auto& [key, demand] : demands) {
    // From `fewest` to `most`, a key keeps its current number of owners.
    const std::uint32_t fewest = owners_for(demand.rate, allowance);
    const std::uint32_t most = std::max(fewest, owners_for(demand.rate, cooled_allowance));
    const std::uint32_t owners = std::clamp(demand.owners, fewest, most);
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
