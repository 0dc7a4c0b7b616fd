#include "gossip/anti_entropy.h"

#include <algorithm>
#include <iterator>

namespace mothrack::gossip {
namespace {

using StoredValues = std::map<std::string, ValueStore::StoredValue>;

// The update and values of one member that the sender of a digest lacks.
struct Difference {
  bool update_is_later = false;
  const StoredValues* values =
      nullptr;           // null if the sender lacks none: it has the same, or those of a later boot
  std::size_t size = 0;  // maximum encoded size in bytes
};

bool UpdateIsLater(const MembershipUpdate& update, const DigestEntry* entry) {
  if (entry == nullptr) return true;
  MembershipUpdate known_to_sender;
  known_to_sender.boot_id = entry->boot_id;
  known_to_sender.incarnation = entry->incarnation;
  known_to_sender.state = entry->state;
  return ResolveState(&known_to_sender, update, UpdateOrigin::kGossip).has_value();
}

bool ValuesDiffer(const BootId& owner, const DigestEntry* entry, const ValueStore& values) {
  if (entry == nullptr) return true;
  if (entry->boot_id.boot_number > owner.boot_number) return false;
  return entry->boot_id != owner || entry->values_hash != values.HashOf(owner);
}

// `entry` is null if the digest does not contain the member.
Difference DifferenceOf(const MembershipUpdate& update, const DigestEntry* entry, const ValueStore& values) {
  Difference difference;
  difference.update_is_later = UpdateIsLater(update, entry);
  if (difference.update_is_later) difference.size += MaxEncodedSize(update);
  const StoredValues* stored_values = values.ValuesOf(update.boot_id);
  if (stored_values == nullptr || stored_values->empty()) return difference;
  if (!ValuesDiffer(update.boot_id, entry, values)) return difference;
  difference.values = stored_values;
  for (const auto& [key, stored] : *stored_values) difference.size += MaxEncodedSize(stored.value);
  return difference;
}

}  // namespace

void AntiEntropy::FillDigest(Message& digest, std::size_t capacity, TimePoint now,
                             const Membership& membership, const ValueStore& values) {
  digest.range_from = requested_from_ = cursor_;
  auto it = membership.all().lower_bound(cursor_);
  for (; it != membership.all().end(); ++it) {
    const MembershipUpdate& update = it->second.update;
    if (!membership.ShouldDisseminate(it->second, now)) continue;
    const DigestEntry entry{update.boot_id, update.incarnation, update.state, values.HashOf(update.boot_id)};
    if (MaxEncodedSize(entry) > capacity) break;
    capacity -= MaxEncodedSize(entry);
    digest.digest.push_back(entry);
  }
  if (it != membership.all().end()) digest.range_to = it->first;
  // The round continues even without an answer, because the recipient may be dead.
  cursor_ = digest.range_to;
}

std::size_t AntiEntropy::FillRecords(const Message& digest, Message& records, std::size_t capacity,
                                     TimePoint now, const Membership& membership, const ValueStore& values) {
  records.range_from = digest.range_from;
  records.range_to = digest.range_to;
  std::map<std::string, const DigestEntry*> entries;
  for (const DigestEntry& entry : digest.digest) entries[entry.boot_id.name] = &entry;
  std::size_t count = 0;
  for (auto it = membership.all().lower_bound(digest.range_from); it != membership.all().end(); ++it) {
    if (!digest.range_to.empty() && it->first >= digest.range_to) break;
    if (!membership.ShouldDisseminate(it->second, now)) continue;
    const MembershipUpdate& update = it->second.update;
    const auto entry = entries.find(it->first);
    const Difference difference =
        DifferenceOf(update, entry == entries.end() ? nullptr : entry->second, values);
    // A member that does not fit starts the next range. A member that is too large for any datagram is sent
    // in part.
    if (difference.size > capacity && count > 0) {
      records.range_to = it->first;
      break;
    }
    if (difference.update_is_later && MaxEncodedSize(update) <= capacity) {
      capacity -= MaxEncodedSize(update);
      records.updates.push_back(update);
      ++count;
    }
    if (difference.values != nullptr) count += AppendValues(*difference.values, records, capacity, now);
  }
  return count;
}

std::size_t AntiEntropy::AppendValues(const StoredValues& stored_values, Message& records,
                                      std::size_t& capacity, TimePoint now) {
  // Start with another key each time, so that each key gets its turn if they do not all fit.
  ++value_rotation_;
  std::size_t count = 0;
  for (std::size_t i = 0; i < stored_values.size(); ++i) {
    const auto index = static_cast<std::ptrdiff_t>((i + value_rotation_) % stored_values.size());
    const ValueStore::StoredValue& stored = std::next(stored_values.begin(), index)->second;
    const std::size_t size = MaxEncodedSize(stored.value);
    if (size > capacity) continue;
    capacity -= size;
    records.values.push_back(ValueStore::WithCurrentAge(stored, now));
    ++count;
  }
  return count;
}

bool AntiEntropy::OnRecords(const Message& records) {
  if (records.range_from != requested_from_) return false;
  cursor_ = records.range_to;
  return true;
}

}  // namespace mothrack::gossip
