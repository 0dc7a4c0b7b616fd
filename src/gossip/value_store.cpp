#include "gossip/value_store.h"

#include <algorithm>

// The static analyzer assumes that the null check in this header's inline code can succeed, and reports false
// positives that follow from it.
#ifndef __clang_analyzer__
#define XXH_INLINE_ALL
#endif
#include <xxhash.h>

#include "gossip/membership.h"

namespace mothrack::gossip {
namespace {

std::uint64_t HashOf(const std::string& key, std::uint64_t version) {
  return version == 0 ? 0 : XXH64(key.data(), key.size(), version);
}

}  // namespace

bool IsValid(const Value& value) {
  return IsValid(value.owner) && !value.key.empty() && value.key.size() <= kMaxKeySize &&
         value.bytes.size() <= kMaxValueSize && value.version > 0 && value.version <= kMaxCounter &&
         value.age.count() >= 0 && value.ttl.count() > 0 && value.ttl <= kMaxValueTtl;
}

ValueStore::MergeResult ValueStore::Merge(const Value& value, TimePoint now) {
  MergeResult result;
  auto it = owners_.find(value.owner.name);
  if (it != owners_.end() && value.owner.boot_number < it->second.boot_number) return result;
  if (it == owners_.end()) {
    if (owners_.size() >= kMaxMembers) return {MergeOutcome::kFull, {}};
    it = owners_.try_emplace(value.owner.name).first;
    it->second.boot_number = value.owner.boot_number;
  }
  Owner& owner = it->second;
  if (value.owner.boot_number > owner.boot_number) result.expired = AdvanceBoot(value.owner, false);
  if (!owner.keys.contains(value.key) && owner.keys.size() >= kMaxKeysPerOwner)
    return {MergeOutcome::kFull, {}};
  StoredValue& stored = owner.keys[value.key];
  const bool expired_on_arrival = value.age >= value.ttl;
  if (value.version < stored.value.version) return result;
  if (value.version == stored.value.version) {
    if (stored.expired || value.age <= stored.AgeAt(now)) return result;
    stored.value.age = value.age;
    stored.received_at = now;
    Reschedule(stored, now);
    result.outcome = MergeOutcome::kAged;
    return result;
  }
  if (expired_on_arrival && stored.value.version > 0 && !stored.expired) {
    Value expired = stored.value;
    expired.bytes.clear();
    result.expired.push_back(std::move(expired));
  }
  Set(owner, stored, value, now);
  if (expired_on_arrival) MarkExpired(stored);
  result.outcome = expired_on_arrival ? MergeOutcome::kAppliedExpired : MergeOutcome::kApplied;
  return result;
}

bool ValueStore::Put(const BootId& boot_id, const std::string& key, const std::string& bytes, Duration ttl,
                     TimePoint now) {
  Owner& owner = owners_[boot_id.name];
  owner.boot_number = boot_id.boot_number;
  if (!owner.keys.contains(key) && owner.keys.size() >= kMaxKeysPerOwner) return false;
  StoredValue& stored = owner.keys[key];
  Set(owner, stored, {boot_id, key, stored.value.version + 1, Duration(0), ttl, bytes}, now);
  return true;
}

bool ValueStore::RefuteVersion(const Value& value) {
  const auto owner = owners_.find(value.owner.name);
  if (owner == owners_.end() || owner->second.boot_number != value.owner.boot_number ||
      value.version >= kMaxCounter)
    return false;
  const auto it = owner->second.keys.find(value.key);
  if (it == owner->second.keys.end() || it->second.value.version >= value.version) return false;
  owner->second.hash +=
      gossip::HashOf(value.key, value.version + 1) - gossip::HashOf(value.key, it->second.value.version);
  it->second.value.version = value.version + 1;
  return true;
}

std::vector<Value> ValueStore::AdvanceBoot(const BootId& boot_id, bool keep_values) {
  std::vector<Value> expired;
  const auto it = owners_.find(boot_id.name);
  if (it == owners_.end() || it->second.boot_number >= boot_id.boot_number) return expired;
  Owner& owner = it->second;
  owner.boot_number = boot_id.boot_number;
  if (keep_values) {
    for (auto& [key, stored] : owner.keys) stored.value.owner = boot_id;
    return expired;
  }
  for (auto& [key, stored] : owner.keys) {
    if (stored.expired) continue;
    due_.erase({stored.due, boot_id.name, key});
    stored.value.bytes.clear();
    expired.push_back(std::move(stored.value));
  }
  owner.keys.clear();
  owner.hash = 0;
  return expired;
}

std::vector<Value> ValueStore::ExpireDue(TimePoint now) {
  std::vector<Value> expired;
  while (!due_.empty() && std::get<0>(*due_.begin()) <= now) {
    const auto [at, name, key] = *due_.begin();
    StoredValue& stored = owners_.at(name).keys.at(key);
    if (stored.AgeAt(now) < stored.value.ttl) {
      Reschedule(stored, now);
      continue;
    }
    MarkExpired(stored);
    expired.push_back(stored.value);
  }
  return expired;
}

void ValueStore::Forget(const std::string& name) {
  const auto it = owners_.find(name);
  if (it == owners_.end()) return;
  for (const auto& [key, stored] : it->second.keys) {
    if (!stored.expired) due_.erase({stored.due, name, key});
  }
  owners_.erase(it);
}

void ValueStore::Set(Owner& owner, StoredValue& stored, const Value& value, TimePoint now) {
  const bool has_entry = stored.value.version > 0 && !stored.expired;
  owner.hash += gossip::HashOf(value.key, value.version) - gossip::HashOf(value.key, stored.value.version);
  stored.value = value;
  stored.received_at = now;
  stored.expired = false;
  if (!has_entry) stored.due = TimePoint::max();
  Reschedule(stored, now);
}

// Moves an existing entry only if its time is too late or has passed.
void ValueStore::Reschedule(StoredValue& stored, TimePoint now) {
  const TimePoint due = stored.received_at + (stored.value.ttl - stored.value.age);
  if (stored.due <= due && stored.due > now) return;
  if (stored.due != TimePoint::max()) due_.erase({stored.due, stored.value.owner.name, stored.value.key});
  stored.due = due;
  due_.emplace(due, stored.value.owner.name, stored.value.key);
}

void ValueStore::MarkExpired(StoredValue& stored) {
  due_.erase({stored.due, stored.value.owner.name, stored.value.key});
  stored.expired = true;
  stored.value.bytes.clear();
  stored.value.bytes.shrink_to_fit();
}

const ValueStore::StoredValue* ValueStore::Find(const std::string& owner, const std::string& key) const {
  const auto it = owners_.find(owner);
  if (it == owners_.end()) return nullptr;
  const auto stored = it->second.keys.find(key);
  return stored == it->second.keys.end() ? nullptr : &stored->second;
}

Value ValueStore::WithCurrentAge(const StoredValue& stored, TimePoint now) {
  Value current = stored.value;
  current.age = std::min(stored.expired ? stored.value.ttl : stored.AgeAt(now), kMaxValueTtl);
  return current;
}

const std::map<std::string, ValueStore::StoredValue>* ValueStore::ValuesOf(const BootId& owner) const {
  const auto it = owners_.find(owner.name);
  return it == owners_.end() || it->second.boot_number != owner.boot_number ? nullptr : &it->second.keys;
}

std::uint64_t ValueStore::BootNumberOf(const std::string& owner) const {
  const auto it = owners_.find(owner);
  return it == owners_.end() ? 0 : it->second.boot_number;
}

bool ValueStore::AllExpired(const std::string& owner) const {
  const auto it = owners_.find(owner);
  return it != owners_.end() && std::all_of(it->second.keys.begin(), it->second.keys.end(),
                                            [](const auto& key) { return key.second.expired; });
}

std::uint64_t ValueStore::HashOf(const BootId& owner) const {
  const auto it = owners_.find(owner.name);
  return it == owners_.end() || it->second.boot_number != owner.boot_number ? 0 : it->second.hash;
}

TimePoint ValueStore::next() const { return due_.empty() ? TimePoint::max() : std::get<0>(*due_.begin()); }

}  // namespace mothrack::gossip
