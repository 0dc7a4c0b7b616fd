// Repairs what gossip lost: one member sends a digest of a range of names, the other answers with what is
// later there. Pure.
//
// The ranges follow one another around all names, so the cost of a whole round grows with the fleet but the
// cost of a second does not. Source: docs/design/gossip.md; push-pull exchange of memberlist.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "gossip/membership.h"
#include "gossip/message.h"
#include "gossip/value_store.h"

namespace mothrack::gossip {

class AntiEntropy {
 public:
  // The next range of names, as many entries as fit into `capacity` bytes.
  void FillDigest(Message& digest, std::size_t capacity, TimePoint now, const Membership& membership,
                  const ValueStore& values);
  // What is later here, in the order of names, until `capacity` bytes are full: range_to then says how far it
  // came. Returns the number of updates and values in it.
  std::size_t FillRecords(const Message& digest, Message& records, std::size_t capacity, TimePoint now,
                          const Membership& membership, const ValueStore& values);
  // The answer to the last digest: the next range begins where it ended. False for the answer to another one.
  bool OnRecords(const Message& records);
  // The last answer came to the end of all names.
  bool round_complete() const { return cursor_.empty(); }

 private:
  // Those that fit; takes their size off `capacity`. Returns their number.
  std::size_t AppendValues(const std::map<std::string, ValueStore::StoredValue>& stored_values,
                           Message& records, std::size_t& capacity, TimePoint now);

  std::string cursor_;              // first name of the next range; empty: all names
  std::string requested_from_;      // first name of the last digest's range
  std::size_t value_rotation_ = 0;  // where the values of a member begin that do not all fit
};

}  // namespace mothrack::gossip
