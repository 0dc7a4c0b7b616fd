// The updates that are still to be disseminated. Selects those for the next datagram: members before values,
// then those sent least often, then the latest. Pure: no I/O, clock or thread.
//
// Source: SWIM, section 4.1 (piggybacked updates, those sent least often first).
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
  // Queues an update and resets its number of sends. `key` is empty for the member itself. `changed_at` is
  // the time of the change by this member's clock.
  void Add(const std::string& name, const std::string& key, TimePoint changed_at);
  void Drop(const std::string& name, const std::string& key);
  // Appends the queued updates and values that fit into `capacity` bytes. Each is sent at most `max_sends`
  // times in total.
  void Fill(Message& message, std::size_t capacity, std::size_t max_sends, TimePoint now,
            const Membership& membership, const ValueStore& values);
  bool empty() const { return entries_.empty(); }
  std::size_t size() const { return entries_.size(); }

 private:
  using Id = std::pair<std::string, std::string>;  // member's name; key, empty for the member itself
  struct Entry {
    std::size_t sends = 0;
    TimePoint changed_at;
  };
  // Lowest first: whether it is a value; number of sends; negated time of the change; id.
  using Priority = std::tuple<bool, std::size_t, TimePoint::rep, Id>;
  static Priority PriorityOf(const Id& id, const Entry& entry) {
    return {!id.second.empty(), entry.sends, -entry.changed_at.time_since_epoch().count(), id};
  }
  void CountSend(const Id& id, std::size_t max_sends);

  std::map<Id, Entry> entries_;
  std::set<Priority> by_priority_;
};

}  // namespace mothrack::gossip
