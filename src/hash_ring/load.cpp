#include "hash_ring/load.h"

#include <algorithm>
#include <utility>

namespace mothrack::hash_ring {

void Sketch::Add(std::uint64_t key) {
  Entry* least = nullptr;
  for (std::size_t i = 0; i < used_; ++i) {
    Entry& entry = entries_[i];
    if (entry.key == key) {
      ++entry.count;
      return;
    }
    if (!least || entry.count < least->count) least = &entry;
  }
  if (used_ < kSize) {
    entries_[used_++] = {key, 1, 0};
  } else {
    *least = {key, least->count + 1, least->count};
  }
}

void Load::Use(std::shared_ptr<const Ring> ring) {
  ring_ = std::move(ring);
  Sum();
}

void Load::Hear(const std::string& member, Told told, Duration age, TimePoint now) {
  if (age >= terms_.life || told.in_flight.size() > kMostNodes || told.heavy.size() > Told::kMostHeavy)
    return;
  const auto held = told_.find(member);
  if (held == told_.end() ? told_.size() >= kMostMembers : held->second.at > now - age) return;
  told_[member] = {std::move(told), now - age};
  Sum();
}

void Load::Sum() {
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
  add(own_);
  for (const auto& [member, from] : told_) add(from.told.in_flight);
}

void Load::Began(std::string_view uid) {
  const auto own = own_.find(uid);
  if (own != own_.end()) {
    ++own->second;
  } else {
    own_.emplace(uid, 1);
  }
  const auto node = ring_->Find(uid);
  if (!node || ring_->weight(*node) == 0) return;
  ++in_flight_[*node];
  ++total_;
}

void Load::Ended(std::string_view uid) {
  const auto own = own_.find(uid);
  if (own == own_.end()) return;
  if (--own->second == 0) own_.erase(own);
  const auto node = ring_->Find(uid);
  if (!node || ring_->weight(*node) == 0) return;
  --in_flight_[*node];
  --total_;
}

// With all nodes' limits above what is in flight, one has room always: the walk of Pick() ends at it.
std::uint64_t Load::Limit(std::uint32_t node) const {
  const std::uint64_t all = ring_->total_weight();
  if (all == 0) return 0;
  const Wide most = Wide{1000 + terms_.excess} * (total_ + 1) * ring_->weight(node);
  const Wide whole = Wide{1000} * all;
  return std::max<std::uint64_t>(static_cast<std::uint64_t>((most + whole - 1) / whole), terms_.least);
}

std::uint32_t Load::owners_of(std::uint64_t key) const {
  const auto at = owners_.find(key);
  return at == owners_.end() ? 1 : at->second;
}

void Load::Pick(std::uint64_t key, std::uint64_t request, std::size_t most,
                std::vector<std::uint32_t>& nodes) {
  nodes.clear();
  sketch_.Add(key);
  ++asked_;
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

void Load::Turn(TimePoint now) {
  const auto lapsed =
      std::erase_if(told_, [&](const auto& from) { return now - from.second.at >= terms_.life; });
  if (lapsed > 0) Sum();
  if (now - rolled_ < terms_.period) return;
  // After a pause of several periods there is no telling which one it was asked in.
  rolled_ = now;
  Roll();
}

void Load::Roll() {
  rate_ = (rate_ + asked_ + 1) / 2;
  if (asked_ == 0 && rate_ == 1) rate_ = 0;
  asked_ = 0;
  std::map<std::uint64_t, std::uint32_t> rates;
  for (const auto& [key, rate] : own_rates_) rates[key] = rate / 2;
  // Only what is certain: a key that came in place of another is not hot by the other's count.
  for (const Sketch::Entry& entry : sketch_) rates[entry.key] += (entry.count - entry.extra + 1) / 2;
  sketch_.Clear();
  // As many as the sketch has; of equal ones the lower key, so that the choice is no member's own.
  std::vector<std::pair<std::uint32_t, std::uint64_t>> order;
  for (const auto& [key, rate] : rates) {
    if (rate > 0) order.emplace_back(rate, key);
  }
  std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first : a.second < b.second;
  });
  if (order.size() > Sketch::kSize) order.resize(Sketch::kSize);
  own_rates_.clear();
  for (const auto& [rate, key] : order) own_rates_[key] = rate;

  // The fleet's: what is hot for all may be lukewarm at each. Of its own rates a member uses what it tells,
  // so that all add up the same.
  std::uint64_t all = rate_;
  std::map<std::uint64_t, std::pair<std::uint64_t, std::uint32_t>>
      keys;  // rate, and the owners that were gone by
  for (const auto& [key, owners] : owners_) keys.try_emplace(key, 0, owners);
  for (std::size_t i = 0; i < std::min(order.size(), Told::kMostHeavy); ++i)
    keys[order[i].second].first = order[i].first;
  for (const auto& [member, from] : told_) {
    all += from.told.rate;
    for (const Told::Heavy& heavy : from.told.heavy) {
      auto& [rate, owners] = keys[heavy.key];
      rate += heavy.rate;
      owners = std::max(owners, std::min(heavy.owners, terms_.spread));
    }
  }
  owners_.clear();
  if (ring_->serving() == 0) return;
  const auto allowance =
      std::max<std::uint64_t>({all * terms_.hot / 1000 / ring_->serving(), terms_.hot_least, 1});
  const auto needed = [&](std::uint64_t rate, std::uint64_t each) {
    return static_cast<std::uint32_t>(std::clamp<std::uint64_t>((rate + each - 1) / each, 1, terms_.spread));
  };
  const std::uint64_t cooled = std::max<std::uint64_t>(allowance * terms_.cool / 1000, 1);
  for (const auto& [key, of] : keys) {
    const auto& [rate, held] = of;
    const std::uint32_t up = needed(rate, allowance);
    const std::uint32_t down = needed(rate, cooled);
    const std::uint32_t owners = std::clamp(held, up, std::max(up, down));
    if (owners > 1) owners_[key] = owners;
  }
}

Told Load::Tell() const {
  Told told;
  told.in_flight = own_;
  told.rate = rate_;
  for (const auto& [key, rate] : own_rates_) told.heavy.push_back({key, rate, owners_of(key)});
  std::sort(told.heavy.begin(), told.heavy.end(), [](const Told::Heavy& a, const Told::Heavy& b) {
    return a.rate != b.rate ? a.rate > b.rate : a.key < b.key;
  });
  if (told.heavy.size() > Told::kMostHeavy) told.heavy.resize(Told::kMostHeavy);
  return told;
}

}  // namespace mothrack::hash_ring
