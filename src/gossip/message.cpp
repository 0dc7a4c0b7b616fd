#include "gossip/message.h"

#include <tuple>

namespace mothrack::gossip {
namespace {

// Maximum sizes in bytes of parts of an encoded message.
constexpr std::size_t kTextOverhead = 3;  // tag and length of a text
constexpr std::size_t kNumberSize = 11;   // tag and the longest varint
constexpr std::size_t kEnumSize = 3;      // tag and a number below 128; one byte more than needed

std::size_t MaxEncodedSize(const BootId& boot_id) {
  return kTextOverhead + boot_id.name.size() + kNumberSize;
}

}  // namespace

bool Supersedes(const MembershipUpdate& update, const MembershipUpdate& current) {
  return std::tuple(update.boot_id.boot_number, update.incarnation, update.state) >
         std::tuple(current.boot_id.boot_number, current.incarnation, current.state);
}

std::size_t MaxEncodedSize(const DigestEntry& entry) {
  return kTextOverhead + MaxEncodedSize(entry.boot_id) + 2 * kNumberSize + kEnumSize;
}

std::size_t MaxEncodedSize(const MembershipUpdate& update) {
  return kTextOverhead + MaxEncodedSize(update.boot_id) + kNumberSize + 2 * kEnumSize + kTextOverhead +
         update.address.size() + kTextOverhead + update.zone.size();
}

std::size_t MaxEncodedSize(const Value& value) {
  return kTextOverhead + MaxEncodedSize(value.owner) + kTextOverhead + value.key.size() + 3 * kNumberSize +
         kTextOverhead + value.bytes.size();
}

std::size_t MaxEncodedSize(const Message& message) {
  return 2 * kEnumSize + kNumberSize + MaxEncodedSize(message.sender) + MaxEncodedSize(message.subject) +
         kTextOverhead + message.range_from.size() + kTextOverhead + message.range_to.size();
}

}  // namespace mothrack::gossip
