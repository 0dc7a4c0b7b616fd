// Repairs updates that gossip has lost: one member sends a digest of a range of names, and the other answers
// with its later updates and values in that range. Pure: no I/O, clock or thread.
//
// Successive ranges cover all names in turn. The cost of a round over all names grows with the fleet, but the
// cost per second does not. Source: docs/design/gossip.md; push-pull exchange of memberlist.
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
  // Fills in the digest of the next range of names, with as many entries as fit into `capacity` bytes.
  void FillDigest(Message& digest, std::size_t capacity, TimePoint now, const Membership& membership,
                  const ValueStore& values);
  // Fills in the updates and values that are later than the digest's, in the order of names, until `capacity`
  // bytes are used. If that ends the records early, `range_to` becomes the first name that is missing.
  // Returns the number of updates and values.
  std::size_t FillRecords(const Message& digest, Message& records, std::size_t capacity, TimePoint now,
                          const Membership& membership, const ValueStore& values);
  // Handles the answer to the latest digest: the next range begins where the answer ended. Returns false for
  // an answer to another digest.
  bool OnRecords(const Message& records);
  // Whether the latest answer reached the end of all names.
  bool round_complete() const { return cursor_.empty(); }

 private:
  // Appends the values that fit and subtracts their size from `capacity`. Returns their number.
  std::size_t AppendValues(const std::map<std::string, ValueStore::StoredValue>& stored_values,
                           Message& records, std::size_t& capacity, TimePoint now);

  std::string cursor_;              // first name of the next range; empty: start over
  std::string requested_from_;      // first name of the latest digest's range
  std::size_t value_rotation_ = 0;  // rotates the values of a member whose values do not all fit
};

}  // namespace mothrack::gossip
