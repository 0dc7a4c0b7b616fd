// What members say: small values that merge in any order, and lapse by their age. Pure.
#pragma once

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "gossip/core.h"

namespace mothrack::gossip {

// Within the bounds of src/gossip/types.h.
bool Fine(const Value& value);

class Values {
 public:
  struct Held {
    Value value;  // `age` as of when it came
    TimePoint came;
    TimePoint due;        // looked at then; not after it has lapsed
    bool lapsed = false;  // without bytes; its version is kept, so no old copy comes back
    Duration AgeAt(TimePoint now) const { return value.age + (now - came); }
  };
  enum class Verdict {
    kTaken,  // told on
    kAged,   // the same version, but older than was thought: its age is taken, not told on
    kOld,    // a former life's, an earlier version, or the same
    kNoted,  // later, but its time is over: its version is remembered, and what it replaces lapses
    kFull,   // too many keys or owners
  };
  struct Result {
    Verdict verdict = Verdict::kOld;
    std::vector<Value> lapsed;  // by this: replaced by what is over, or a former life's
  };

  Result Take(const Value& value, TimePoint now);
  // The owner's own: a version above all before. False where there are too many keys.
  bool Put(const Life& owner, const std::string& key, const std::string& bytes, Duration lasts,
           TimePoint now);
  // Somebody tells a later version of an own value than was ever put: the own one is put above it.
  bool Outdo(const Value& value);
  // The former life's values are nobody's any more; those of `keep` go over into this life.
  std::vector<Value> Later(const Life& life, bool keep);
  std::vector<Value> Lapse(TimePoint now);
  void Forget(const std::string& owner);

  const Held* Find(const std::string& owner, const std::string& key) const;
  // As it is told now.
  static Value Told(const Held& held, TimePoint now);
  const std::map<std::string, Held>* Of(const Life& owner) const;
  std::uint64_t BornOf(const std::string& owner) const;  // of the life whose values are held; 0: none
  bool AllLapsed(const std::string& owner) const;
  std::uint64_t HashOf(const Life& owner) const;  // 0: none
  TimePoint next() const;

 private:
  struct Owner {
    std::uint64_t born = 0;
    std::uint64_t hash = 0;  // a sum, so that the order of arrival is nothing to it
    std::map<std::string, Held> keys;
  };
  void Set(Owner& owner, Held& held, const Value& value, TimePoint now);
  void Due(Held& held, TimePoint now);
  void Lapsed(Held& held);

  std::map<std::string, Owner> owners_;
  // Each held value once, at a moment not after its time: renewed ones are looked at again, so that a new
  // version costs nothing here.
  std::set<std::tuple<TimePoint, std::string, std::string>> due_;
};

}  // namespace mothrack::gossip
