// What is still to be told on, and what of it goes into the next datagram: who is there before what they say,
// the least told first, of these the youngest. Pure.
#pragma once

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>

#include "gossip/membership.h"
#include "gossip/value_store.h"

namespace mothrack::gossip {

class UpdateQueue {
 public:
  // New: it counts from nothing. `key` empty: of the member itself. `of`: when it became so, by this member's
  // clock.
  void Add(const std::string& name, const std::string& key, TimePoint changed_at);
  void Drop(const std::string& name, const std::string& key);
  // Puts in what fits into `room`; each piece at most `most` times in all.
  void Fill(Message& message, std::size_t capacity, std::size_t max_sends, TimePoint now,
            const Membership& membership, const ValueStore& values);
  bool empty() const { return entries_.empty(); }
  std::size_t size() const { return entries_.size(); }

 private:
  using Id = std::pair<std::string, std::string>;
  struct Entry {
    std::size_t sends = 0;
    TimePoint changed_at;
  };
  using Priority = std::tuple<bool, std::size_t, TimePoint::rep, Id>;  // a value; told; minus when; whose
  static Priority PriorityOf(const Id& id, const Entry& entry) {
    return {!id.second.empty(), entry.sends, -entry.changed_at.time_since_epoch().count(), id};
  }
  void CountSend(const Id& id, std::size_t max_sends);

  std::map<Id, Entry> entries_;
  std::set<Priority> by_priority_;
};

}  // namespace mothrack::gossip
