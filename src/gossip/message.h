// One datagram's content, before it is encoded (src/gossip/wire.h) and sealed (src/gossip/seal.h). Pure
// values.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "gossip/types.h"

namespace mothrack::gossip {

// SWIM's messages with Lifeguard's nack; and anti-entropy in ranges of names, so that its cost is bounded.
enum class MessageKind : std::uint8_t {
  kPing = 1,  // to be answered by kAck with the same `sequence`
  kAck = 2,
  kPingRequest = 3,  // ping `subject`; to be answered by kAck if it acked, by kNack if it did not in time
  kNack = 4,
  kGossip = 5,   // updates only
  kDigest = 6,   // what the sender knows of names in [range_from, range_to)
  kRecords = 7,  // the answer: what is later at its sender, as much as fits
  kLeave = 8,    // the sender leaves
};

// The version of one member, and of its values, that the sender of a digest knows.
struct DigestEntry {
  BootId boot_id;
  std::uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;
  std::uint64_t values_hash = 0;  // a hash over keys and versions of its values (xxHash64)
  bool operator==(const DigestEntry&) const = default;
};

struct Message {
  MessageKind kind = MessageKind::kGossip;
  MembershipUpdate sender;     // of whoever sends it, its own newest word on itself
  std::uint64_t sequence = 0;  // of kPing, kAck, kPingRequest, kNack
  MembershipUpdate
      subject;  // of kPingRequest: whom; of kPing: what the sender thinks of the one pinged (buddy
                // system); of kGossip: one that the sender itself had no answer from, and suspects
  std::string range_from, range_to;  // of kDigest and kRecords; an empty range_to: to the end of all names
  std::vector<DigestEntry> digest;
  std::vector<MembershipUpdate> updates;
  std::vector<Value> values;
  bool operator==(const Message&) const = default;
};

// Bytes, never less than the encoding takes; the core packs datagrams by these, and a test checks them.
std::size_t MaxEncodedSize(const Message& message);  // without digest, updates and values
std::size_t MaxEncodedSize(const DigestEntry& line);
std::size_t MaxEncodedSize(const MembershipUpdate& update);
std::size_t MaxEncodedSize(const Value& value);
constexpr std::size_t kMaxSealSize = 64;  // what the seal takes of kMaxDatagramSize, at most

}  // namespace mothrack::gossip
