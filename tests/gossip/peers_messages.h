// Messages drawn at random within the bounds of types.h, for tests and measurements.
#pragma once

#include <algorithm>
#include <random>
#include <string>
#include <string_view>
#include <utility>

#include "gossip/wire.h"

namespace mothrack::gossip {

class Draw {
 public:
  explicit Draw(std::uint64_t seed) : random_(seed) {}

  // Small and large alike: the number of bits is drawn first.
  std::uint64_t Number(std::uint64_t most) { return std::min(most, random_() >> Below(64)); }
  std::uint64_t Below(std::uint64_t end) { return random_() % end; }
  std::string Text(std::size_t least, std::size_t most, std::string_view of) {
    std::string text(least + Below(most - least + 1), ' ');
    for (char& c : text) c = of[Below(of.size())];
    return text;
  }
  std::string Name() { return Text(1, kMostName, "abcXYZ019-_"); }
  Life ALife() { return {Name(), Number(kMostCount)}; }
  MemberNews News() {
    MemberNews news;
    news.life = ALife();
    news.incarnation = Number(kMostCount);
    news.state = static_cast<State>(1 + Below(4));
    news.role = static_cast<Role>(1 + Below(2));
    news.address = Text(1, kMostAddress - 6, "0123456789.") + ':' + std::to_string(Below(65536));
    if (Below(4) != 0) news.zone = Name();
    return news;
  }
  Value AValue() {
    const auto time = [&] { return Duration(Number(static_cast<std::uint64_t>(kLongestLife.count()))); };
    std::string bytes = Text(0, kMostValue, {"\0\xff ax", 5});
    return {ALife(), Text(1, kMostKey, "!~a.z/:"), Number(kMostCount), time(), time(), std::move(bytes)};
  }
  DigestLine Line() {
    return {ALife(), Number(kMostCount), static_cast<State>(1 + Below(4)), Number(~std::uint64_t{0})};
  }
  // As full as the core would make it.
  Message AMessage() {
    Message message;
    message.kind = static_cast<Kind>(1 + Below(8));
    message.sender = News();
    message.sequence = Number(~std::uint64_t{0});
    if (message.kind == Kind::kPingFor || Below(2) == 0) message.subject = News();
    message.range_from = Text(0, kMostName + 1, {"ab\0", 3});
    message.range_to = Text(0, kMostName + 1, "ab");
    std::size_t room = kMostDatagram - kSealSize - MostSize(message);
    const auto fill = [&room](auto& parts, auto part) {
      if (MostSize(part) > room) return;
      room -= MostSize(part);
      parts.push_back(std::move(part));
    };
    for (std::uint64_t tries = Below(24); tries > 0; --tries) {
      switch (Below(3)) {
        case 0:
          fill(message.digest, Line());
          break;
        case 1:
          fill(message.news, News());
          break;
        default:
          fill(message.values, AValue());
      }
    }
    return message;
  }

 private:
  std::mt19937_64 random_;
};

// What its parts may take at most, as the core reckons.
inline std::size_t MostSizeOfAll(const Message& message) {
  std::size_t size = MostSize(message);
  for (const auto& part : message.digest) size += MostSize(part);
  for (const auto& part : message.news) size += MostSize(part);
  for (const auto& part : message.values) size += MostSize(part);
  return size;
}

}  // namespace mothrack::gossip
