#include "gossip/message.h"

#include <tuple>

namespace mothrack::gossip {
namespace {

// Of a field of the wire: its tag and length, or its tag and the longest number.
constexpr std::size_t kText = 3;
constexpr std::size_t kNumber = 11;
constexpr std::size_t kSmall = 3;  // a number below 128, with room

std::size_t SizeOf(const Life& life) { return kText + life.name.size() + kNumber; }

}  // namespace

bool Supersedes(const MemberNews& news, const MemberNews& held) {
  return std::tuple(news.life.born, news.incarnation, news.state) >
         std::tuple(held.life.born, held.incarnation, held.state);
}

std::size_t MostSize(const DigestLine& line) { return kText + SizeOf(line.life) + 2 * kNumber + kSmall; }

std::size_t MostSize(const MemberNews& news) {
  return kText + SizeOf(news.life) + kNumber + 2 * kSmall + kText + news.address.size() + kText +
         news.zone.size();
}

std::size_t MostSize(const Value& value) {
  return kText + SizeOf(value.owner) + kText + value.key.size() + 3 * kNumber + kText + value.bytes.size();
}

std::size_t MostSize(const Message& message) {
  return 2 * kSmall + kNumber + MostSize(message.sender) + MostSize(message.subject) + kText +
         message.range_from.size() + kText + message.range_to.size();
}

}  // namespace mothrack::gossip
