#include "gossip/wire.h"

#include <algorithm>
#include <utility>

#include "gossip/peers.pb.h"

namespace mothrack::gossip {
namespace {

constexpr char kVersionTag = 0x08;  // field 1, a varint

bool LetterOrDigit(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

// The version without a parser: the rest of a later one may have a form that ours calls malformed.
std::optional<std::uint64_t> VersionOf(std::string_view bytes) {
  if (bytes.empty() || bytes.front() != kVersionTag) return std::nullopt;
  std::uint64_t version = 0;
  for (std::size_t i = 1; i < bytes.size() && i <= 9; ++i) {  // nine groups of seven bits: more is no version
    const auto byte = static_cast<std::uint8_t>(bytes[i]);
    version |= std::uint64_t{byte & 0x7fu} << (7 * (i - 1));
    if (byte < 0x80) return version;
  }
  return std::nullopt;
}

void Put(const MemberNews& news, pb::Member& to) {
  to.set_name(news.life.name);
  to.set_born(news.life.born);
  to.set_incarnation(news.incarnation);
  to.set_state(static_cast<std::uint64_t>(news.state));
  to.set_role(static_cast<std::uint64_t>(news.role));
  to.set_address(news.address);
  to.set_zone(news.zone);
}

// Takes part by part; the first fault stays.
class Reader {
 public:
  bool Take(const pb::Datagram& from, Message& to) {
    if (!Enum(from.kind(), Kind::kLeave, to.kind, "kind is none")) return false;
    if (!Fine(from.has_sender(), "nobody is named as the sender") || !Take(from.sender(), to.sender))
      return false;
    to.sequence = from.sequence();
    if (from.has_subject() && !Take(from.subject(), to.subject)) return false;
    if (!Fine(to.kind != Kind::kPingFor || from.has_subject(), "a ping for another names no other"))
      return false;
    if (!Range(from.range_from(), to.range_from) || !Range(from.range_to(), to.range_to)) return false;
    return TakeAll(from.digest(), to.digest) && TakeAll(from.news(), to.news) &&
           TakeAll(from.values(), to.values);
  }
  const char* why() const { return why_; }

 private:
  bool Fine(bool good, const char* otherwise) {
    if (!good) why_ = otherwise;
    return good;
  }
  bool Count(std::uint64_t from, std::uint64_t& to) {
    to = from;
    return Fine(from <= kMostCount, "a life, incarnation or version is above 2^62");
  }
  template <typename E>
  bool Enum(std::uint64_t from, E last, E& to, const char* otherwise) {
    to = static_cast<E>(from);
    return Fine(from >= 1 && from <= static_cast<std::uint64_t>(last), otherwise);
  }
  bool TakeLife(const std::string& name, std::uint64_t born, Life& to) {
    to.name = name;
    return Fine(GoodName(name), "a name takes letters, digits, '-', '_' and '.', at most 64, no dot first") &&
           Count(born, to.born);
  }
  bool Time(std::uint64_t ms, Duration& to) {
    if (!Fine(ms <= static_cast<std::uint64_t>(kLongestLife.count()),
              "an age or a life is above ten minutes")) {
      return false;
    }
    to = Duration(static_cast<Duration::rep>(ms));
    return true;
  }
  // Only compared with names; one byte more than a name, so that a range can begin right behind one.
  bool Range(const std::string& from, std::string& to) {
    to = from;
    return Fine(from.size() <= kMostName + 1, "a range's end is longer than a name");
  }

  bool Take(const pb::Member& from, MemberNews& to) {
    to.address = from.address();
    to.zone = from.zone();
    return TakeLife(from.name(), from.born(), to.life) && Count(from.incarnation(), to.incarnation) &&
           Enum(from.state(), State::kLeft, to.state, "state is none") &&
           Enum(from.role(), Role::kAgent, to.role, "role is none") &&
           Fine(GoodAddress(to.address), "an address is no ip:port of at most 48 bytes") &&
           Fine(to.zone.empty() || GoodName(to.zone), "a zone is no name");  // empty: its settings name none
  }
  bool Take(const pb::Line& from, DigestLine& to) {
    to.values = from.values();
    return TakeLife(from.name(), from.born(), to.life) && Count(from.incarnation(), to.incarnation) &&
           Enum(from.state(), State::kLeft, to.state, "state is none");
  }
  bool Take(const pb::Value& from, Value& to) {
    to.key = from.key();
    to.bytes = from.bytes();
    return TakeLife(from.owner(), from.born(), to.owner) && Count(from.version(), to.version) &&
           Time(from.age_ms(), to.age) && Time(from.lasts_ms(), to.lasts) &&
           Fine(GoodKey(to.key), "a key takes 1 to 24 printable characters without blanks") &&
           Fine(to.bytes.size() <= kMostValue, "a value is longer than 256 bytes");
  }
  // As many as a datagram holds: its size is the bound.
  template <typename Parts, typename T>
  bool TakeAll(const Parts& from, std::vector<T>& to) {
    to.resize(static_cast<std::size_t>(from.size()));
    std::size_t at = 0;
    return std::all_of(from.begin(), from.end(), [&](const auto& part) { return Take(part, to[at++]); });
  }

  const char* why_ = "";
};

}  // namespace

bool GoodName(std::string_view name) {
  return !name.empty() && name.size() <= kMostName && name.front() != '.' &&
         std::all_of(name.begin(), name.end(),
                     [](char c) { return LetterOrDigit(c) || c == '-' || c == '_' || c == '.'; });
}

bool GoodAddress(std::string_view address) {
  const auto good = [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F') || c == '.' ||
           c == ':' || c == '[' || c == ']';
  };
  const auto colon = address.rfind(':');
  return address.size() <= kMostAddress && colon != std::string_view::npos && colon > 0 &&
         colon + 1 < address.size() && std::all_of(address.begin(), address.end(), good) &&
         std::all_of(address.begin() + static_cast<std::ptrdiff_t>(colon) + 1, address.end(),
                     [](char c) { return c >= '0' && c <= '9'; });
}

bool GoodKey(std::string_view key) {
  return !key.empty() && key.size() <= kMostKey &&
         std::all_of(key.begin(), key.end(), [](char c) { return c > ' ' && c <= '~'; });
}

std::string Write(const Message& message) {
  pb::Datagram to;
  to.set_version(kVersion);
  to.set_kind(static_cast<std::uint64_t>(message.kind));
  Put(message.sender, *to.mutable_sender());
  to.set_sequence(message.sequence);
  if (!message.subject.life.name.empty()) Put(message.subject, *to.mutable_subject());
  to.set_range_from(message.range_from);
  to.set_range_to(message.range_to);
  for (const DigestLine& line : message.digest) {
    pb::Line& part = *to.add_digest();
    part.set_name(line.life.name);
    part.set_born(line.life.born);
    part.set_incarnation(line.incarnation);
    part.set_state(static_cast<std::uint64_t>(line.state));
    part.set_values(line.values);
  }
  for (const MemberNews& news : message.news) Put(news, *to.add_news());
  for (const Value& value : message.values) {
    pb::Value& part = *to.add_values();
    part.set_owner(value.owner.name);
    part.set_born(value.owner.born);
    part.set_key(value.key);
    part.set_version(value.version);
    part.set_age_ms(static_cast<std::uint64_t>(value.age.count()));
    part.set_lasts_ms(static_cast<std::uint64_t>(value.lasts.count()));
    part.set_bytes(value.bytes);
  }
  return to.SerializeAsString();
}

std::optional<Message> Read(std::string_view bytes, std::string* why, ReadFault* fault) {
  const auto refuse = [&](ReadFault what, const char* text) {
    if (fault != nullptr) *fault = what;
    if (why != nullptr) *why = text;
    return std::nullopt;
  };
  if (fault != nullptr) *fault = ReadFault::kNone;
  if (bytes.size() > kMostDatagram) return refuse(ReadFault::kBounds, "longer than a datagram");
  const auto version = VersionOf(bytes);
  if (!version) return refuse(ReadFault::kMalformed, "does not begin with a version");
  if (*version > kVersion) return refuse(ReadFault::kLater, "of a later version");
  pb::Datagram from;
  if (!from.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return refuse(ReadFault::kMalformed, "cut or garbled");
  }
  // A second version field would win in the parser; before the first version there was none.
  if (from.version() != kVersion) return refuse(ReadFault::kBounds, "of no version");
  Reader reader;
  std::optional<Message> message(std::in_place);
  if (!reader.Take(from, *message)) return refuse(ReadFault::kBounds, reader.why());
  return message;
}

}  // namespace mothrack::gossip
