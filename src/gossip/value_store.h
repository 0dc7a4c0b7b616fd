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
    TimePoint due;         // time of its entry in `due_`; unused once expired
    bool expired = false;  // stored without bytes; the version is kept, so that no old copy returns
    Duration AgeAt(TimePoint now) const { return value.age + (now - received_at); }
  };
  // How a received value was merged.
  enum class MergeOutcome {
    kApplied,         // must be disseminated
    kAged,            // the same version with a greater age: the age is stored, but not disseminated
    kStale,           // from an earlier boot, or the same or an earlier version
    kAppliedExpired,  // a later version that has expired: it is remembered, and the value it replaces expires
    kFull,            // too many keys or owners
  };
  struct MergeResult {
    MergeOutcome outcome = MergeOutcome::kStale;
    // Values that this merge expired: replaced by an expired version, or from an earlier boot.
    std::vector<Value> expired;
  };

  MergeResult Merge(const Value& value, TimePoint now);
  // Stores a value of this member with a version above all earlier ones. Returns false if there are too many
  // keys.
  bool Put(const BootId& owner, const std::string& key, const std::string& bytes, Duration ttl,
           TimePoint now);
  // Handles a received version of this member's own value that is later than the stored one: raises the
  // stored version above it. Returns false if there is nothing to raise.
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
  // The values of this boot by their keys; null if none are stored.
  const std::map<std::string, StoredValue>* ValuesOf(const BootId& owner) const;
  std::uint64_t BootNumberOf(const std::string& owner) const;  // of the stored values; 0 if there are none
  bool AllExpired(const std::string& owner) const;
  // A hash of the keys and versions of an owner's values; 0 if none are stored for this boot.
  std::uint64_t HashOf(const BootId& owner) const;
  TimePoint next() const;  // when ExpireDue() must be called next

 private:
  struct Owner {
    std::uint64_t boot_number = 0;
    std::uint64_t hash = 0;  // a sum over the values, so that it does not depend on the order of arrival
    std::map<std::string, StoredValue> keys;
  };
  void Set(Owner& owner, StoredValue& stored, const Value& value, TimePoint now);
  void Reschedule(StoredValue& stored, TimePoint now);
  void MarkExpired(StoredValue& stored);

  std::map<std::string, Owner> owners_;
  // One entry (time, owner, key) for each unexpired value, at or before its expiry. A renewed value is
  // rescheduled only when its entry is due, so that a new version does not change the set.
  std::set<std::tuple<TimePoint, std::string, std::string>> due_;
};

}  // namespace mothrack::gossip
