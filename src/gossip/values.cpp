#include "gossip/values.h"

#include <algorithm>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "gossip/membership.h"

namespace mothrack::gossip {
namespace {

std::uint64_t HashOf(const std::string& key, std::uint64_t version) {
  return version == 0 ? 0 : XXH64(key.data(), key.size(), version);
}

}  // namespace

bool Fine(const Value& value) {
  return Fine(value.owner) && !value.key.empty() && value.key.size() <= kMostKey &&
         value.bytes.size() <= kMostValue && value.version > 0 && value.version <= kMostNumber &&
         value.age.count() >= 0 && value.lasts.count() > 0 && value.lasts <= kLongestLife;
}

Values::Result Values::Take(const Value& value, TimePoint now) {
  Result result;
  auto it = owners_.find(value.owner.name);
  if (it != owners_.end() && value.owner.born < it->second.born) return result;
  if (it == owners_.end()) {
    if (owners_.size() >= kMostMembers) return {Verdict::kFull, {}};
    it = owners_.try_emplace(value.owner.name).first;
    it->second.born = value.owner.born;
  }
  Owner& owner = it->second;
  if (value.owner.born > owner.born) result.lapsed = Later(value.owner, false);
  if (!owner.keys.contains(value.key) && owner.keys.size() >= kMostKeys) return {Verdict::kFull, {}};
  Held& held = owner.keys[value.key];
  const bool over = value.age >= value.lasts;
  if (value.version < held.value.version) return result;
  if (value.version == held.value.version) {
    if (held.lapsed || value.age <= held.AgeAt(now)) return result;
    held.value.age = value.age;
    held.came = now;
    Due(held, now);
    result.verdict = Verdict::kAged;
    return result;
  }
  if (over && held.value.version > 0 && !held.lapsed) {
    Value lapsed = held.value;
    lapsed.bytes.clear();
    result.lapsed.push_back(std::move(lapsed));
  }
  Set(owner, held, value, now);
  if (over) Lapsed(held);
  result.verdict = over ? Verdict::kNoted : Verdict::kTaken;
  return result;
}

bool Values::Put(const Life& life, const std::string& key, const std::string& bytes, Duration lasts,
                 TimePoint now) {
  Owner& owner = owners_[life.name];
  owner.born = life.born;
  if (!owner.keys.contains(key) && owner.keys.size() >= kMostKeys) return false;
  Held& held = owner.keys[key];
  Set(owner, held, {life, key, held.value.version + 1, Duration(0), lasts, bytes}, now);
  return true;
}

bool Values::Outdo(const Value& value) {
  const auto owner = owners_.find(value.owner.name);
  if (owner == owners_.end() || owner->second.born != value.owner.born || value.version >= kMostNumber)
    return false;
  const auto it = owner->second.keys.find(value.key);
  if (it == owner->second.keys.end() || it->second.value.version >= value.version) return false;
  owner->second.hash +=
      gossip::HashOf(value.key, value.version + 1) - gossip::HashOf(value.key, it->second.value.version);
  it->second.value.version = value.version + 1;
  return true;
}

std::vector<Value> Values::Later(const Life& life, bool keep) {
  std::vector<Value> lapsed;
  const auto it = owners_.find(life.name);
  if (it == owners_.end() || it->second.born >= life.born) return lapsed;
  Owner& owner = it->second;
  owner.born = life.born;
  if (keep) {
    for (auto& [key, held] : owner.keys) held.value.owner = life;
    return lapsed;
  }
  for (auto& [key, held] : owner.keys) {
    if (held.lapsed) continue;
    due_.erase({held.due, life.name, key});
    held.value.bytes.clear();
    lapsed.push_back(std::move(held.value));
  }
  owner.keys.clear();
  owner.hash = 0;
  return lapsed;
}

std::vector<Value> Values::Lapse(TimePoint now) {
  std::vector<Value> lapsed;
  while (!due_.empty() && std::get<0>(*due_.begin()) <= now) {
    const auto [at, name, key] = *due_.begin();
    Held& held = owners_.at(name).keys.at(key);
    if (held.AgeAt(now) < held.value.lasts) {
      Due(held, now);
      continue;
    }
    Lapsed(held);
    lapsed.push_back(held.value);
  }
  return lapsed;
}

void Values::Forget(const std::string& name) {
  const auto it = owners_.find(name);
  if (it == owners_.end()) return;
  for (const auto& [key, held] : it->second.keys) {
    if (!held.lapsed) due_.erase({held.due, name, key});
  }
  owners_.erase(it);
}

void Values::Set(Owner& owner, Held& held, const Value& value, TimePoint now) {
  const bool queued = held.value.version > 0 && !held.lapsed;
  owner.hash += gossip::HashOf(value.key, value.version) - gossip::HashOf(value.key, held.value.version);
  held.value = value;
  held.came = now;
  held.lapsed = false;
  if (!queued) held.due = TimePoint::max();
  Due(held, now);
}

// Moves what is queued only where its moment is too late, or is over.
void Values::Due(Held& held, TimePoint now) {
  const TimePoint due = held.came + (held.value.lasts - held.value.age);
  if (held.due <= due && held.due > now) return;
  if (held.due != TimePoint::max()) due_.erase({held.due, held.value.owner.name, held.value.key});
  held.due = due;
  due_.emplace(due, held.value.owner.name, held.value.key);
}

void Values::Lapsed(Held& held) {
  due_.erase({held.due, held.value.owner.name, held.value.key});
  held.lapsed = true;
  held.value.bytes.clear();
  held.value.bytes.shrink_to_fit();
}

const Values::Held* Values::Find(const std::string& owner, const std::string& key) const {
  const auto it = owners_.find(owner);
  if (it == owners_.end()) return nullptr;
  const auto held = it->second.keys.find(key);
  return held == it->second.keys.end() ? nullptr : &held->second;
}

Value Values::Told(const Held& held, TimePoint now) {
  Value told = held.value;
  told.age = std::min(held.lapsed ? held.value.lasts : held.AgeAt(now), kLongestLife);
  return told;
}

const std::map<std::string, Values::Held>* Values::Of(const Life& owner) const {
  const auto it = owners_.find(owner.name);
  return it == owners_.end() || it->second.born != owner.born ? nullptr : &it->second.keys;
}

std::uint64_t Values::BornOf(const std::string& owner) const {
  const auto it = owners_.find(owner);
  return it == owners_.end() ? 0 : it->second.born;
}

bool Values::AllLapsed(const std::string& owner) const {
  const auto it = owners_.find(owner);
  return it != owners_.end() && std::all_of(it->second.keys.begin(), it->second.keys.end(),
                                            [](const auto& key) { return key.second.lapsed; });
}

std::uint64_t Values::HashOf(const Life& owner) const {
  const auto it = owners_.find(owner.name);
  return it == owners_.end() || it->second.born != owner.born ? 0 : it->second.hash;
}

TimePoint Values::next() const { return due_.empty() ? TimePoint::max() : std::get<0>(*due_.begin()); }

}  // namespace mothrack::gossip
