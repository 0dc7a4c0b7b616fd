#include "hash_ring/ring_builder.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace mothrack::hash_ring {
namespace {

// The highest generation that is accepted: far above what a member reaches with one generation per second
// during its lifetime. A record with a much higher one would leave no generations for later changes.
constexpr std::uint64_t kMaxGeneration = std::uint64_t{1} << 48;

// The order of records by weight: a heavier one is greater, and a removed one is the lightest.
auto WeightRank(const NodeRecord& record) {
  return std::tuple(!record.removed, record.weight_share, record.level);
}

bool SameContent(const NodeRecord& a, const NodeRecord& b) { return WeightRank(a) == WeightRank(b); }

bool IsValid(const NodeRecord& record) {
  return !record.uid.empty() && record.uid.size() <= kMaxUidBytes && record.generation > 0 &&
         record.generation <= kMaxGeneration && record.weight_share <= WeightShare::kFull;
}

}  // namespace

// Within one generation the lighter record wins, because it does no harm: a node with too high a weight gets
// overloaded, one with too low a weight has spare capacity.
bool Supersedes(const NodeRecord& record, const NodeRecord& current) {
  if (record.generation != current.generation) return record.generation > current.generation;
  return WeightRank(record) < WeightRank(current);
}

WeightShare RingBuilder::WeightShareAt(Duration age) const {
  if (age >= config_.slow_start_time) return WeightShare::kFull;
  constexpr int kWhole = 1000, kHalf = 500, kQuarter = 250;  // thousandths
  const std::int64_t initial = config_.slow_start_initial_share;
  const std::int64_t elapsed = std::max<std::int64_t>(age.count(), 0);
  const std::int64_t share = initial + (kWhole - initial) * elapsed / config_.slow_start_time.count();
  if (share >= kHalf) return WeightShare::kHalf;
  return share >= kQuarter ? WeightShare::kQuarter : WeightShare::kNone;
}

std::optional<NodeRecord> RingBuilder::DesiredRecord(const Entry& entry, const NodeUpdate* update,
                                                     TimePoint now) const {
  const bool has_record = entry.record && !entry.record->removed;
  if (update && update->state == NodeUpdate::State::kActive) {
    NodeRecord desired;
    desired.uid = update->uid;
    desired.weight_share = WeightShareAt(update->age);
    if (has_record) {
      // An expired measurement is no reason to return to the registered capacity.
      desired.level =
          update->measured_capacity
              ? LevelWithHysteresis(entry.record->level, *update->measured_capacity, config_.hysteresis)
              : entry.record->level;
      if (SameContent(desired, *entry.record)) return std::nullopt;
    } else {
      if (desired.weight_share == WeightShare::kNone) return std::nullopt;
      desired.level = LevelOf(update->measured_capacity.value_or(update->registered_capacity));
    }
    return desired;
  }
  if (!has_record || (!update && now - *entry.missing_since < config_.missing_grace)) return std::nullopt;
  NodeRecord desired = *entry.record;
  desired.removed = true;
  return desired;
}

// Variations of a pending change do not restart its settle time as long as its direction (heavier or lighter)
// stays the same.
void RingBuilder::SetPending(Entry& entry, std::optional<NodeRecord> desired, TimePoint now) {
  const auto is_lighter = [&](const NodeRecord& pending) {
    return entry.record ? WeightRank(pending) < WeightRank(*entry.record) : false;
  };
  if (desired && (!entry.pending || is_lighter(*desired) != is_lighter(*entry.pending)))
    entry.pending_since = now;
  entry.pending = std::move(desired);
}

bool RingBuilder::ApplyDueChanges(TimePoint now) {
  bool all_settled = true;
  bool any_settled = false;
  Duration oldest_age{0};
  for (const auto& [uid, entry] : entries_) {
    if (!entry.pending) continue;
    const Duration age = now - entry.pending_since;
    oldest_age = std::max(oldest_age, age);
    (age >= config_.settle_time ? any_settled : all_settled) = age >= config_.settle_time;
  }
  if (!any_settled || (!all_settled && oldest_age < config_.batch_window)) return false;
  ++generation_;
  for (auto& [uid, entry] : entries_) {
    if (!entry.pending || now - entry.pending_since < config_.settle_time) continue;
    entry.record = std::exchange(entry.pending, std::nullopt);
    entry.record->generation = generation_;
    entry.changed_at = now;
  }
  return true;
}

bool RingBuilder::Update(const std::vector<NodeUpdate>& nodes, bool cut_off, TimePoint now) {
  // Settle times and grace periods restart once the member is no longer cut off: a node that was missing
  // before may have returned in between.
  if (cut_off) {
    for (auto& [uid, entry] : entries_) {
      entry.pending.reset();
      entry.missing_since.reset();
    }
    return false;
  }
  last_update_ = now;
  std::map<std::string_view, const NodeUpdate*> by_uid;
  for (const NodeUpdate& update : nodes) {
    if (update.uid.empty() || update.uid.size() > kMaxUidBytes) {
      ++rejected_;
      continue;
    }
    if (!by_uid.emplace(update.uid, &update).second) continue;
    if (entries_.size() < kMaxNodes) entries_.try_emplace(update.uid);
  }
  bool changed = false;
  for (auto entry_it = entries_.begin(); entry_it != entries_.end();) {
    Entry& entry = entry_it->second;
    const auto found = by_uid.find(entry_it->first);
    const NodeUpdate* update = found == by_uid.end() ? nullptr : found->second;
    if (update) {
      entry.missing_since.reset();
    } else if (!entry.missing_since) {
      entry.missing_since = now;
    }
    const bool bypassed = !update || update->state != NodeUpdate::State::kActive ||
                          WeightShareAt(update->age) == WeightShare::kNone;
    changed |= std::exchange(entry.bypassed, bypassed) != bypassed && entry.record && !entry.record->removed;
    SetPending(entry, DesiredRecord(entry, update, now), now);
    // A missing node's entry is needed only for its record, or to remember its removal.
    const bool can_be_forgotten =
        !update &&
        (!entry.record || (entry.record->removed && now - entry.changed_at >= config_.removal_memory));
    entry_it = can_be_forgotten ? entries_.erase(entry_it) : std::next(entry_it);
  }
  changed |= ApplyDueChanges(now);
  if (changed) Rebuild();
  return changed;
}

bool RingBuilder::Merge(const std::vector<NodeRecord>& records, TimePoint now) {
  bool changed = false;
  for (const NodeRecord& record : records) {
    const auto entry_it = entries_.find(record.uid);
    if (!IsValid(record) || (entry_it == entries_.end() && entries_.size() >= kMaxNodes)) {
      ++rejected_;
      continue;
    }
    Entry& entry = entry_it != entries_.end() ? entry_it->second : entries_[record.uid];
    if (entry.record && !Supersedes(record, *entry.record)) continue;
    generation_ = std::max(generation_, record.generation);
    // A node of which only the record is known is bypassed until it appears in the list.
    if (entry_it == entries_.end()) entry.bypassed = true;
    entry.record = record;
    entry.changed_at = now;
    // This record may be the pending change, or may cause another one. The next Update() determines that. The
    // settle time restarts, because the member that made the change may know more.
    entry.pending.reset();
    changed = true;
  }
  if (changed) Rebuild();
  return changed;
}

void RingBuilder::Rebuild() {
  std::vector<Node> nodes;
  for (const auto& [uid, entry] : entries_) {
    if (entry.record && !entry.record->removed)
      nodes.push_back({uid, entry.record->level, entry.record->weight_share, entry.bypassed});
  }
  ring_ = std::make_shared<const Ring>(generation_, std::move(nodes));
}

std::vector<NodeRecord> RingBuilder::records() const {
  std::vector<NodeRecord> records;
  for (const auto& [uid, entry] : entries_) {
    if (entry.record) records.push_back(*entry.record);
  }
  return records;
}

Staleness RingBuilder::staleness(TimePoint now) const {
  return {now - last_update_ > config_.stale_after, now - last_update_};
}

}  // namespace mothrack::hash_ring
