// Messages drawn at random within the bounds of types.h, for tests and measurements.
#pragma once

#include <algorithm>
#include <random>
#include <string>
#include <string_view>
#include <utility>

#include "gossip/wire.h"

namespace mothrack::gossip {

class MessageGenerator {
 public:
  explicit MessageGenerator(std::uint64_t seed) : random_(seed) {}

  // Returns a number of at most `max`. Draws the number of bits first, so that small numbers are as frequent
  // as large ones.
  std::uint64_t RandomNumber(std::uint64_t max) { return std::min(max, random_() >> Below(64)); }
  std::uint64_t Below(std::uint64_t end) { return random_() % end; }
  std::string RandomText(std::size_t min_size, std::size_t max_size, std::string_view alphabet) {
    std::string text(min_size + Below(max_size - min_size + 1), ' ');
    for (char& character : text) character = alphabet[Below(alphabet.size())];
    return text;
  }
  std::string RandomName() { return RandomText(1, kMaxNameSize, "abcXYZ019-_"); }
  BootId RandomBootId() { return {RandomName(), RandomNumber(kMaxCounter)}; }
  MembershipUpdate RandomMember() {
    MembershipUpdate update;
    update.boot_id = RandomBootId();
    update.incarnation = RandomNumber(kMaxCounter);
    update.state = static_cast<MemberState>(1 + Below(4));
    update.role = static_cast<Role>(1 + Below(2));
    update.address = RandomText(1, kMaxAddressSize - 6, "0123456789.");
    update.address += ':' + std::to_string(Below(65536));
    if (Below(4) != 0) update.zone = RandomName();
    return update;
  }
  Value RandomValue() {
    const auto time = [&] {
      return Duration(RandomNumber(static_cast<std::uint64_t>(kMaxValueTtl.count())));
    };
    std::string bytes = RandomText(0, kMaxValueSize, {"\0\xff ax", 5});
    return {RandomBootId(),  RandomText(1, kMaxKeySize, "!~a.z/:"), RandomNumber(kMaxCounter), time(), time(),
            std::move(bytes)};
  }
  DigestEntry RandomDigestEntry() {
    return {RandomBootId(), RandomNumber(kMaxCounter), static_cast<MemberState>(1 + Below(4)),
            RandomNumber(~std::uint64_t{0})};
  }
  // Returns a message with a random number of parts, within the size that the core allows.
  Message RandomMessage() {
    Message message;
    message.kind = static_cast<MessageKind>(1 + Below(8));
    message.sender = RandomMember();
    message.sequence = RandomNumber(~std::uint64_t{0});
    if (message.kind == MessageKind::kPingRequest || Below(2) == 0) message.subject = RandomMember();
    message.range_from = RandomText(0, kMaxNameSize + 1, {"ab\0", 3});
    message.range_to = RandomText(0, kMaxNameSize + 1, "ab");
    std::size_t capacity = kMaxDatagramSize - kMaxSealSize - MaxEncodedSize(message);
    const auto fill = [&capacity](auto& parts, auto part) {
      if (MaxEncodedSize(part) > capacity) return;
      capacity -= MaxEncodedSize(part);
      parts.push_back(std::move(part));
    };
    for (std::uint64_t attempts = Below(24); attempts > 0; --attempts) {
      switch (Below(3)) {
        case 0:
          fill(message.digest, RandomDigestEntry());
          break;
        case 1:
          fill(message.updates, RandomMember());
          break;
        default:
          fill(message.values, RandomValue());
      }
    }
    return message;
  }

 private:
  std::mt19937_64 random_;
};

// The upper bound of a message's encoded size that the core assumes.
inline std::size_t MaxEncodedSizeOfAll(const Message& message) {
  std::size_t size = MaxEncodedSize(message);
  for (const auto& part : message.digest) size += MaxEncodedSize(part);
  for (const auto& part : message.updates) size += MaxEncodedSize(part);
  for (const auto& part : message.values) size += MaxEncodedSize(part);
  return size;
}

}  // namespace mothrack::gossip
