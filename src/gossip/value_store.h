// The values that members publish. They merge in any order and expire by their age. Pure: no I/O, clock or
// thread.
//
// A state-based CRDT: the greatest version of an owner's latest boot wins. The rules are in the table "Rules
// of values" of docs/design/gossip.md. Bounds: kMaxMembers owners, kMaxKeysPerOwner values each.
#pragma once

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "gossip/types.h"

namespace mothrack::gossip {

// Whether the value is within the bounds of gossip/types.h.
bool IsValid(const Value& value);

class ValueStore {
 public:
  struct StoredValue {
    Value value;  // `age` as of `received_at`
    TimePoint received_at;
    TimePoint due;         // when the expiry is checked next; unused once expired
    bool expired = false;  // stored without bytes; the version is kept, so that no old copy returns
    Duration AgeAt(TimePoint now) const { return value.age + (now - received_at); }
  };
  // What became of a received value.
  enum class MergeOutcome {
    kApplied,         // must be disseminated
    kAged,            // same version with a greater age: the age is stored, but not disseminated
    kStale,           // from an earlier boot, or the same or an earlier version
    kAppliedExpired,  // a later version that has expired: it is remembered, and the value it replaces expires
    kFull,            // too many keys or owners
  };
  struct MergeResult {
    MergeOutcome outcome = MergeOutcome::kStale;
    std::vector<Value> expired;  // by this merge: replaced by an expired version, or from an earlier boot
  };

  MergeResult Merge(const Value& value, TimePoint now);
  // Stores the owner's own value with a version above all earlier ones. Returns false if there are too many
  // keys.
  bool Put(const BootId& owner, const std::string& key, const std::string& bytes, Duration ttl,
           TimePoint now);
  // `value` has a later version of an own value than was ever put: raises the own version above it. Returns
  // false if there is nothing to raise.
  bool RefuteVersion(const Value& value);
  // Applies a later boot of an owner. `keep_values`: its values pass to the new boot; otherwise they expire
  // and are returned.
  std::vector<Value> AdvanceBoot(const BootId& boot_id, bool keep_values);
  // Expires the values that are due and returns them.
  std::vector<Value> ExpireDue(TimePoint now);
  void Forget(const std::string& owner);

  const StoredValue* Find(const std::string& owner, const std::string& key) const;
  // The value with its age as of `now`, in the form in which it is sent.
  static Value WithCurrentAge(const StoredValue& stored, TimePoint now);
  const std::map<std::string, StoredValue>* ValuesOf(const BootId& owner) const;
  std::uint64_t BootNumberOf(const std::string& owner) const;  // the boot whose values are stored; 0: none
  bool AllExpired(const std::string& owner) const;
  std::uint64_t HashOf(const BootId& owner) const;  // 0: none
  TimePoint next() const;

 private:
  struct Owner {
    std::uint64_t boot_number = 0;
    std::uint64_t hash = 0;  // a sum, so that it does not depend on the order of arrival
    std::map<std::string, StoredValue> keys;
  };
  void Set(Owner& owner, StoredValue& stored, const Value& value, TimePoint now);
  void Reschedule(StoredValue& stored, TimePoint now);
  void MarkExpired(StoredValue& stored);

  std::map<std::string, Owner> owners_;
  // Each unexpired value once, at or before its expiry. A renewed value is rescheduled only when its entry is
  // due, so that a new version costs nothing here.
  std::set<std::tuple<TimePoint, std::string, std::string>> due_;
};

}  // namespace mothrack::gossip
