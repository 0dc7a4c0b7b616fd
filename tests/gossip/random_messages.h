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

  // Small and large alike: the number of bits is drawn first.
  std::uint64_t Number(std::uint64_t most) { return std::min(most, random_() >> Below(64)); }
  std::uint64_t Below(std::uint64_t end) { return random_() % end; }
  std::string Text(std::size_t least, std::size_t most, std::string_view of) {
    std::string text(least + Below(most - least + 1), ' ');
    for (char& c : text) c = of[Below(of.size())];
    return text;
  }
  std::string Name() { return Text(1, kMaxNameSize, "abcXYZ019-_"); }
  BootId RandomBootId() { return {Name(), Number(kMaxCounter)}; }
  MembershipUpdate RandomMember() {
    MembershipUpdate update;
    update.boot_id = RandomBootId();
    update.incarnation = Number(kMaxCounter);
    update.state = static_cast<MemberState>(1 + Below(4));
    update.role = static_cast<Role>(1 + Below(2));
    update.address = Text(1, kMaxAddressSize - 6, "0123456789.") + ':' + std::to_string(Below(65536));
    if (Below(4) != 0) update.zone = Name();
    return update;
  }
  Value RandomValue() {
    const auto time = [&] { return Duration(Number(static_cast<std::uint64_t>(kMaxValueTtl.count()))); };
    std::string bytes = Text(0, kMaxValueSize, {"\0\xff ax", 5});
    return {RandomBootId(),  Text(1, kMaxKeySize, "!~a.z/:"), Number(kMaxCounter), time(), time(),
            std::move(bytes)};
  }
  DigestEntry RandomDigestEntry() {
    return {RandomBootId(), Number(kMaxCounter), static_cast<MemberState>(1 + Below(4)),
            Number(~std::uint64_t{0})};
  }
  // As full as the core would make it.
  Message RandomMessage() {
    Message message;
    message.kind = static_cast<MessageKind>(1 + Below(8));
    message.sender = RandomMember();
    message.sequence = Number(~std::uint64_t{0});
    if (message.kind == MessageKind::kPingRequest || Below(2) == 0) message.subject = RandomMember();
    message.range_from = Text(0, kMaxNameSize + 1, {"ab\0", 3});
    message.range_to = Text(0, kMaxNameSize + 1, "ab");
    std::size_t capacity = kMaxDatagramSize - kMaxSealSize - MaxEncodedSize(message);
    const auto fill = [&capacity](auto& parts, auto part) {
      if (MaxEncodedSize(part) > capacity) return;
      capacity -= MaxEncodedSize(part);
      parts.push_back(std::move(part));
    };
    for (std::uint64_t tries = Below(24); tries > 0; --tries) {
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

// What its parts may take at most, as the core reckons.
inline std::size_t MaxEncodedSizeOfAll(const Message& message) {
  std::size_t size = MaxEncodedSize(message);
  for (const auto& part : message.digest) size += MaxEncodedSize(part);
  for (const auto& part : message.updates) size += MaxEncodedSize(part);
  for (const auto& part : message.values) size += MaxEncodedSize(part);
  return size;
}

}  // namespace mothrack::gossip
