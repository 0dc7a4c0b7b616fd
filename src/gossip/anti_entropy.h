// What gossip lost: a digest of a range of names goes to one member, which answers with what is later there.
// The ranges follow one another around the names, so a round's cost grows with the fleet but a second's does
// not. Pure.
#pragma once

#include <string>

#include "gossip/membership.h"
#include "gossip/value_store.h"

namespace mothrack::gossip {

class AntiEntropy {
 public:
  // The next range, as many lines as fit into `room`.
  void FillDigest(Message& digest, std::size_t capacity, TimePoint now, const Membership& membership,
                  const ValueStore& values);
  // What is later here, in the order of names, until `room` is full: then range_to says how far it went.
  // Returns how many pieces it holds.
  std::size_t FillRecords(const Message& digest, Message& records, std::size_t capacity, TimePoint now,
                          const Membership& membership, const ValueStore& values);
  // The answer to the last question: the next range begins where it ended. False for another's or a late one.
  bool OnRecords(const Message& records);
  // The last answer came to the end of all names.
  bool round_complete() const { return cursor_.empty(); }

 private:
  std::string cursor_, requested_from_;
  std::size_t value_rotation_ = 0;  // where a member's values begin that do not fit in all
};

}  // namespace mothrack::gossip
