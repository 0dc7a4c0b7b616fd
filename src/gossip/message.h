// The content of a datagram before it is encoded (gossip/wire.h) and sealed (gossip/seal.h). Plain values.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "gossip/types.h"

namespace mothrack::gossip {

// SWIM's messages with Lifeguard's nack, and anti-entropy over ranges of names, which bounds its cost.
enum class MessageKind : std::uint8_t {
  kPing = 1,  // answered by kAck with the same `sequence`
  kAck = 2,
  kPingRequest = 3,  // ping `subject`: answered by kAck if it acks in time, otherwise by kNack
  kNack = 4,
  kGossip = 5,   // updates only
  kDigest = 6,   // the sender's knowledge of names in [range_from, range_to)
  kRecords = 7,  // the answer to a digest: the later updates and values known to its sender, as many as fit
  kLeave = 8,    // the sender leaves
};

// The state of one member, and a hash of its values, as known to the sender of a digest.
struct DigestEntry {
  BootId boot_id;
  std::uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;
  std::uint64_t values_hash = 0;  // hash over keys and versions of its values (xxHash64)
  bool operator==(const DigestEntry&) const = default;
};

// One message. Fields that its kind does not use are empty.
struct Message {
  MessageKind kind = MessageKind::kGossip;
  MembershipUpdate sender;     // the sender's own latest state
  std::uint64_t sequence = 0;  // for kPing, kAck, kPingRequest, kNack
  // For kPingRequest: the member to ping. For kPing: the pinged member's state as the sender knows it
  // (Lifeguard's buddy system). For kGossip: a member that the sender suspects because it got no ack itself.
  MembershipUpdate subject;
  std::string range_from, range_to;  // for kDigest and kRecords; an empty range_to is the end of all names
  std::vector<DigestEntry> digest;
  std::vector<MembershipUpdate> updates;
  std::vector<Value> values;
  bool operator==(const Message&) const = default;
};

// Upper bounds of the encoded size in bytes. The core packs datagrams by them, and a test checks them.
std::size_t MaxEncodedSize(const Message& message);  // without digest, updates and values
std::size_t MaxEncodedSize(const DigestEntry& entry);
std::size_t MaxEncodedSize(const MembershipUpdate& update);
std::size_t MaxEncodedSize(const Value& value);
constexpr std::size_t kMaxSealSize = 64;  // maximum part of kMaxDatagramSize that the seal uses

}  // namespace mothrack::gossip
