#include "gossip/message.h"

#include <tuple>

namespace mothrack::gossip {
namespace {

// Maximum sizes of encoded fields: tag and length of a text; tag and longest varint; a number below 128, with
// room to spare.
constexpr std::size_t kText = 3;
constexpr std::size_t kNumber = 11;
constexpr std::size_t kSmall = 3;

std::size_t SizeOf(const BootId& boot_id) { return kText + boot_id.name.size() + kNumber; }

}  // namespace

bool Supersedes(const MembershipUpdate& update, const MembershipUpdate& current) {
  return std::tuple(update.boot_id.boot_number, update.incarnation, update.state) >
         std::tuple(current.boot_id.boot_number, current.incarnation, current.state);
}

std::size_t MaxEncodedSize(const DigestEntry& line) {
  return kText + SizeOf(line.boot_id) + 2 * kNumber + kSmall;
}

std::size_t MaxEncodedSize(const MembershipUpdate& update) {
  return kText + SizeOf(update.boot_id) + kNumber + 2 * kSmall + kText + update.address.size() + kText +
         update.zone.size();
}

std::size_t MaxEncodedSize(const Value& value) {
  return kText + SizeOf(value.owner) + kText + value.key.size() + 3 * kNumber + kText + value.bytes.size();
}

std::size_t MaxEncodedSize(const Message& message) {
  return 2 * kSmall + kNumber + MaxEncodedSize(message.sender) + MaxEncodedSize(message.subject) + kText +
         message.range_from.size() + kText + message.range_to.size();
}

}  // namespace mothrack::gossip
