// Values that members publish: they merge in any order, and expire by their age. Pure.
//
// A state-based CRDT: the greatest version of an owner's latest boot wins. The table "Rules of values" in
// docs/design/gossip.md has its rules. Bounds: kMaxMembers owners, kMaxKeysPerOwner values each.
#pragma once

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "gossip/types.h"

namespace mothrack::gossip {

// Within the bounds of src/gossip/types.h.
bool IsValid(const Value& value);

class ValueStore {
 public:
  struct StoredValue {
    Value value;  // `age` as of `received_at`
    TimePoint received_at;
    TimePoint due;         // checked for expiry then; not once it expired
    bool expired = false;  // without bytes; its version is kept, so no old copy comes back
    Duration AgeAt(TimePoint now) const { return value.age + (now - received_at); }
  };
  enum class MergeOutcome {
    kApplied,         // to be disseminated
    kAged,            // the same version with a greater age: the age is applied, not disseminated
    kStale,           // of a former boot, an earlier version, or the same
    kAppliedExpired,  // later, but expired: its version is remembered, and what it replaces expires
    kFull,            // too many keys or owners
  };
  struct MergeResult {
    MergeOutcome outcome = MergeOutcome::kStale;
    std::vector<Value> expired;  // by this merge: replaced by an expired version, or of a former boot
  };

  MergeResult Merge(const Value& value, TimePoint now);
  // The owner's own: a version above all before. False where there are too many keys.
  bool Put(const BootId& owner, const std::string& key, const std::string& bytes, Duration ttl,
           TimePoint now);
  // `value` has a later version of an own value than was ever put: the own one's version is raised above it.
  // False where there is nothing to raise.
  bool RefuteVersion(const Value& value);
  // A later boot of an owner. `keep_values`: they pass to the new boot; otherwise they expire and are
  // returned.
  std::vector<Value> AdvanceBoot(const BootId& boot_id, bool keep_values);
  std::vector<Value> ExpireDue(TimePoint now);
  void Forget(const std::string& owner);

  const StoredValue* Find(const std::string& owner, const std::string& key) const;
  // With its age as of `now`, as it is sent.
  static Value WithCurrentAge(const StoredValue& stored, TimePoint now);
  const std::map<std::string, StoredValue>* ValuesOf(const BootId& owner) const;
  std::uint64_t BootNumberOf(const std::string& owner) const;  // of the boot whose values are stored; 0: none
  bool AllExpired(const std::string& owner) const;
  std::uint64_t HashOf(const BootId& owner) const;  // 0: none
  TimePoint next() const;

 private:
  struct Owner {
    std::uint64_t boot_number = 0;
    std::uint64_t hash = 0;  // a sum, so that the order of arrival does not matter
    std::map<std::string, StoredValue> keys;
  };
  void Set(Owner& owner, StoredValue& stored, const Value& value, TimePoint now);
  void Reschedule(StoredValue& stored, TimePoint now);
  void MarkExpired(StoredValue& stored);

  std::map<std::string, Owner> owners_;
  // Each unexpired value once, at or before its expiry: renewed ones are checked again, so that a new version
  // costs nothing here.
  std::set<std::tuple<TimePoint, std::string, std::string>> due_;
};

}  // namespace mothrack::gossip
