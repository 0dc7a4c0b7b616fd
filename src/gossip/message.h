// What one datagram says, before it is written (src/gossip/wire.h) and sealed (src/gossip/seal.h). Pure.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "gossip/types.h"

namespace mothrack::gossip {

// SWIM's messages with Lifeguard's nack; and anti-entropy in ranges of names, so that its cost is bounded.
enum class MessageKind : std::uint8_t {
  kPing = 1,  // answer me by kAck with my `sequence`
  kAck = 2,
  kPingRequest = 3,  // ping `subject` for me; answer kAck if it did, kNack if it did not in time
  kNack = 4,
  kGossip = 5,   // news only
  kDigest = 6,   // what I hold of the owners whose names lie in [range_from, range_to): tell me what is later
  kRecords = 7,  // the answer: news and values, as many as fit
  kLeave = 8,    // the sender's last word
};

// One line of a digest: the sender holds this of the member.
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

// Never less than what they take on the wire; the core packs by these, a test of the wire holds them to it.
std::size_t MaxEncodedSize(const Message& message);  // without digest, news and values
std::size_t MaxEncodedSize(const DigestEntry& line);
std::size_t MaxEncodedSize(const MembershipUpdate& update);
std::size_t MaxEncodedSize(const Value& value);
constexpr std::size_t kMaxSealSize = 64;  // what the seal takes of kMaxDatagramSize, at most

}  // namespace mothrack::gossip
