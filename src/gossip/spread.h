// What is still to be told on, and what of it goes into the next datagram: who is there before what they say,
// the least told first, of these the youngest. Pure.
#pragma once

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>

#include "gossip/membership.h"
#include "gossip/values.h"

namespace mothrack::gossip {

class Spread {
 public:
  // New: it counts from nothing. `key` empty: of the member itself. `of`: when it became so, by this member's
  // clock.
  void Add(const std::string& name, const std::string& key, TimePoint of);
  void Drop(const std::string& name, const std::string& key);
  // Puts in what fits into `room`; each piece at most `most` times in all.
  void Fill(Message& message, std::size_t room, std::size_t most, TimePoint now, const Membership& membership,
            const Values& values);
  bool empty() const { return pieces_.empty(); }
  std::size_t size() const { return pieces_.size(); }

 private:
  using Id = std::pair<std::string, std::string>;
  struct Piece {
    std::size_t told = 0;
    TimePoint of;
  };
  using Order = std::tuple<bool, std::size_t, TimePoint::rep, Id>;  // a value; told; minus when; whose
  static Order OrderOf(const Id& id, const Piece& piece) {
    return {!id.second.empty(), piece.told, -piece.of.time_since_epoch().count(), id};
  }
  void Told(const Id& id, std::size_t most);

  std::map<Id, Piece> pieces_;
  std::set<Order> order_;
};

}  // namespace mothrack::gossip
