#include "gossip/anti_entropy.h"

#include <algorithm>
#include <iterator>

namespace mothrack::gossip {

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
  // Without an answer the round goes on all the same: the one asked may be gone.
  cursor_ = digest.range_to;
}

std::size_t AntiEntropy::FillRecords(const Message& digest, Message& records, std::size_t capacity,
                                     TimePoint now, const Membership& membership, const ValueStore& values) {
  records.range_from = digest.range_from;
  records.range_to = digest.range_to;
  std::map<std::string, const DigestEntry*> lines;
  for (const DigestEntry& entry : digest.digest) lines[entry.boot_id.name] = &entry;
  std::size_t count = 0;
  for (auto it = membership.all().lower_bound(digest.range_from); it != membership.all().end(); ++it) {
    const MembershipUpdate& update = it->second.update;
    if (!digest.range_to.empty() && it->first >= digest.range_to) break;
    if (!membership.ShouldDisseminate(it->second, now)) continue;
    const auto found = lines.find(it->first);
    const DigestEntry* entry = found == lines.end() ? nullptr : found->second;
    MembershipUpdate theirs;
    if (entry != nullptr) {
      theirs.boot_id = entry->boot_id;
      theirs.incarnation = entry->incarnation;
      theirs.state = entry->state;
    }
    const bool later = entry == nullptr || ResolveState(&theirs, update, UpdateOrigin::kGossip);
    const auto* values_of_member = values.ValuesOf(update.boot_id);
    const bool differs =
        values_of_member != nullptr && !values_of_member->empty() &&
        (entry == nullptr ||
         (entry->boot_id.boot_number <= update.boot_id.boot_number &&
          (entry->boot_id != update.boot_id || entry->values_hash != values.HashOf(update.boot_id))));
    std::size_t size = later ? MaxEncodedSize(update) : 0;
    if (differs) {
      for (const auto& [key, stored] : *values_of_member) size += MaxEncodedSize(stored.value);
    }
    // What is too much for any datagram is told in part, from another key each time.
    if (size > capacity && count > 0) {
      records.range_to = it->first;
      break;
    }
    if (later && MaxEncodedSize(update) <= capacity) {
      capacity -= MaxEncodedSize(update);
      records.updates.push_back(update);
      ++count;
    }
    if (!differs) continue;
    ++value_rotation_;
    for (std::size_t i = 0; i < values_of_member->size(); ++i) {
      const auto& stored =
          std::next(values_of_member->begin(),
                    static_cast<std::ptrdiff_t>((i + value_rotation_) % values_of_member->size()))
              ->second;
      if (MaxEncodedSize(stored.value) > capacity) continue;
      capacity -= MaxEncodedSize(stored.value);
      records.values.push_back(ValueStore::WithCurrentAge(stored, now));
      ++count;
    }
  }
  return count;
}

bool AntiEntropy::OnRecords(const Message& records) {
  if (records.range_from != requested_from_) return false;
  cursor_ = records.range_to;
  return true;
}

}  // namespace mothrack::gossip
