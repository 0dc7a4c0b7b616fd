// What members say: small values that merge in any order, and lapse by their age. Pure.
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
    Value value;  // `age` as of when it came
    TimePoint received_at;
    TimePoint due;         // looked at then; not after it has lapsed
    bool expired = false;  // without bytes; its version is kept, so no old copy comes back
    Duration AgeAt(TimePoint now) const { return value.age + (now - received_at); }
  };
  enum class MergeOutcome {
    kApplied,         // told on
    kAged,            // the same version, but older than was thought: its age is taken, not told on
    kStale,           // a former life's, an earlier version, or the same
    kAppliedExpired,  // later, but its time is over: its version is remembered, and what it replaces lapses
    kFull,            // too many keys or owners
  };
  struct MergeResult {
    MergeOutcome outcome = MergeOutcome::kStale;
    std::vector<Value> expired;  // by this: replaced by what is over, or a former life's
  };

  MergeResult Merge(const Value& value, TimePoint now);
  // The owner's own: a version above all before. False where there are too many keys.
  bool Put(const BootId& owner, const std::string& key, const std::string& bytes, Duration ttl,
           TimePoint now);
  // Somebody tells a later version of an own value than was ever put: the own one is put above it.
  bool RefuteVersion(const Value& value);
  // The former life's values are nobody's any more; those of `keep` go over into this life.
  std::vector<Value> AdvanceBoot(const BootId& boot_id, bool keep_values);
  std::vector<Value> ExpireDue(TimePoint now);
  void Forget(const std::string& owner);

  const StoredValue* Find(const std::string& owner, const std::string& key) const;
  // As it is told now.
  static Value WithCurrentAge(const StoredValue& stored, TimePoint now);
  const std::map<std::string, StoredValue>* ValuesOf(const BootId& owner) const;
  std::uint64_t BootNumberOf(const std::string& owner) const;  // of the life whose values are held; 0: none
  bool AllExpired(const std::string& owner) const;
  std::uint64_t HashOf(const BootId& owner) const;  // 0: none
  TimePoint next() const;

 private:
  struct Owner {
    std::uint64_t boot_number = 0;
    std::uint64_t hash = 0;  // a sum, so that the order of arrival is nothing to it
    std::map<std::string, StoredValue> keys;
  };
  void Set(Owner& owner, StoredValue& stored, const Value& value, TimePoint now);
  void Reschedule(StoredValue& stored, TimePoint now);
  void MarkExpired(StoredValue& stored);

  std::map<std::string, Owner> owners_;
  // Each held value once, at a moment not after its time: renewed ones are looked at again, so that a new
  // version costs nothing here.
  std::set<std::tuple<TimePoint, std::string, std::string>> due_;
};

}  // namespace mothrack::gossip
