#include "gossip/wire.h"

#include <algorithm>
#include <utility>

#include "gossip/peers.pb.h"

namespace mothrack::gossip {
namespace {

constexpr char kVersionTag = 0x08;  // field 1, a varint

bool IsLetterOrDigit(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

// Reads the version without the protobuf parser, because a later version may have a format that this parser
// considers malformed.
std::optional<std::uint64_t> VersionOf(std::string_view bytes) {
  if (bytes.empty() || bytes.front() != kVersionTag) return std::nullopt;
  std::uint64_t version = 0;
  // A varint has at most nine groups of seven bits here.
  for (std::size_t i = 1; i < bytes.size() && i <= 9; ++i) {
    const auto byte = static_cast<std::uint8_t>(bytes[i]);
    version |= std::uint64_t{byte & 0x7fu} << (7 * (i - 1));
    if (byte < 0x80) return version;
  }
  return std::nullopt;
}

void EncodeMember(const MembershipUpdate& update, pb::Member& to) {
  to.set_name(update.boot_id.name);
  to.set_boot_number(update.boot_id.boot_number);
  to.set_incarnation(update.incarnation);
  to.set_state(static_cast<std::uint64_t>(update.state));
  to.set_role(static_cast<std::uint64_t>(update.role));
  to.set_address(update.address);
  to.set_zone(update.zone);
}

// Decodes a message part by part. Each function returns false at the first error, whose cause is kept.
class Decoder {
 public:
  bool Decode(const pb::Datagram& from, Message& to) {
    if (!DecodeEnum(from.kind(), MessageKind::kLeave, to.kind, "the kind is unknown")) return false;
    if (!Require(from.has_sender(), "the sender is missing") || !Decode(from.sender(), to.sender))
      return false;
    to.sequence = from.sequence();
    if (from.has_subject() && !Decode(from.subject(), to.subject)) return false;
    if (!Require(to.kind != MessageKind::kPingRequest || from.has_subject(), "a ping request has no subject"))
      return false;
    if (!DecodeRangeEnd(from.range_from(), to.range_from) || !DecodeRangeEnd(from.range_to(), to.range_to))
      return false;
    return DecodeAll(from.digest(), to.digest) && DecodeAll(from.updates(), to.updates) &&
           DecodeAll(from.values(), to.values);
  }
  std::string_view cause() const { return cause_; }

 private:
  bool Require(bool is_valid, std::string_view cause) {
    if (!is_valid) cause_ = cause;
    return is_valid;
  }
  bool DecodeCounter(std::uint64_t from, std::uint64_t& to) {
    to = from;
    return Require(from <= kMaxCounter, "a boot number, incarnation or version is above 2^62");
  }
  template <typename EnumType>
  bool DecodeEnum(std::uint64_t from, EnumType last, EnumType& to, std::string_view cause) {
    to = static_cast<EnumType>(from);
    return Require(from >= 1 && from <= static_cast<std::uint64_t>(last), cause);
  }
  bool DecodeBootId(const std::string& name, std::uint64_t boot_number, BootId& to) {
    to.name = name;
    return Require(IsValidName(name),
                   "a name must be letters, digits, '-', '_' and '.', at most 64, not starting with a dot") &&
           DecodeCounter(boot_number, to.boot_number);
  }
  bool DecodeTime(std::uint64_t ms, Duration& to) {
    if (!Require(ms <= static_cast<std::uint64_t>(kMaxValueTtl.count()),
                 "an age or a time to live is above ten minutes")) {
      return false;
    }
    to = Duration(static_cast<Duration::rep>(ms));
    return true;
  }
  // A range end is only compared with names. It may be one byte longer than a name, so that a range can begin
  // directly after one.
  bool DecodeRangeEnd(const std::string& from, std::string& to) {
    to = from;
    return Require(from.size() <= kMaxNameSize + 1, "a range end is longer than a name and one byte");
  }

  bool Decode(const pb::Member& from, MembershipUpdate& to) {
    to.address = from.address();
    to.zone = from.zone();
    return DecodeBootId(from.name(), from.boot_number(), to.boot_id) &&
           DecodeCounter(from.incarnation(), to.incarnation) &&
           DecodeEnum(from.state(), MemberState::kLeft, to.state, "the state is unknown") &&
           DecodeEnum(from.role(), Role::kAgent, to.role, "the role is unknown") &&
           Require(IsValidAddress(to.address), "an address is not an ip:port of at most 48 bytes") &&
           Require(to.zone.empty() || IsValidName(to.zone),
                   "a zone is not a valid name");  // empty: not configured
  }
  bool Decode(const pb::DigestEntry& from, DigestEntry& to) {
    to.values_hash = from.values_hash();
    return DecodeBootId(from.name(), from.boot_number(), to.boot_id) &&
           DecodeCounter(from.incarnation(), to.incarnation) &&
           DecodeEnum(from.state(), MemberState::kLeft, to.state, "the state is unknown");
  }
  bool Decode(const pb::Value& from, Value& to) {
    to.key = from.key();
    to.bytes = from.bytes();
    return DecodeBootId(from.owner(), from.boot_number(), to.owner) &&
           DecodeCounter(from.version(), to.version) && DecodeTime(from.age_ms(), to.age) &&
           DecodeTime(from.ttl_ms(), to.ttl) &&
           Require(IsValidKey(to.key), "a key must be 1 to 24 printable characters without blanks") &&
           Require(to.bytes.size() <= kMaxValueSize, "a value is longer than 256 bytes");
  }
  // The number of parts is bounded by the size of the datagram.
  template <typename Parts, typename T>
  bool DecodeAll(const Parts& from, std::vector<T>& to) {
    to.resize(static_cast<std::size_t>(from.size()));
    std::size_t index = 0;
    return std::all_of(from.begin(), from.end(), [&](const auto& part) { return Decode(part, to[index++]); });
  }

  std::string_view cause_;
};

}  // namespace

bool IsValidName(std::string_view name) {
  return !name.empty() && name.size() <= kMaxNameSize && name.front() != '.' &&
         std::all_of(name.begin(), name.end(),
                     [](char c) { return IsLetterOrDigit(c) || c == '-' || c == '_' || c == '.'; });
}

bool IsValidAddress(std::string_view address) {
  const auto is_valid = [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F') || c == '.' ||
           c == ':' || c == '[' || c == ']';
  };
  const auto colon = address.rfind(':');
  return address.size() <= kMaxAddressSize && colon != std::string_view::npos && colon > 0 &&
         colon + 1 < address.size() && std::all_of(address.begin(), address.end(), is_valid) &&
         std::all_of(address.begin() + static_cast<std::ptrdiff_t>(colon) + 1, address.end(),
                     [](char c) { return c >= '0' && c <= '9'; });
}

bool IsValidKey(std::string_view key) {
  return !key.empty() && key.size() <= kMaxKeySize &&
         std::all_of(key.begin(), key.end(), [](char c) { return c > ' ' && c <= '~'; });
}

std::string Encode(const Message& message) {
  pb::Datagram to;
  to.set_version(kVersion);
  to.set_kind(static_cast<std::uint64_t>(message.kind));
  EncodeMember(message.sender, *to.mutable_sender());
  to.set_sequence(message.sequence);
  if (!message.subject.boot_id.name.empty()) EncodeMember(message.subject, *to.mutable_subject());
  to.set_range_from(message.range_from);
  to.set_range_to(message.range_to);
  for (const DigestEntry& entry : message.digest) {
    pb::DigestEntry& part = *to.add_digest();
    part.set_name(entry.boot_id.name);
    part.set_boot_number(entry.boot_id.boot_number);
    part.set_incarnation(entry.incarnation);
    part.set_state(static_cast<std::uint64_t>(entry.state));
    part.set_values_hash(entry.values_hash);
  }
  for (const MembershipUpdate& update : message.updates) EncodeMember(update, *to.add_updates());
  for (const Value& value : message.values) {
    pb::Value& part = *to.add_values();
    part.set_owner(value.owner.name);
    part.set_boot_number(value.owner.boot_number);
    part.set_key(value.key);
    part.set_version(value.version);
    part.set_age_ms(static_cast<std::uint64_t>(value.age.count()));
    part.set_ttl_ms(static_cast<std::uint64_t>(value.ttl.count()));
    part.set_bytes(value.bytes);
  }
  return to.SerializeAsString();
}

std::optional<Message> Decode(std::string_view bytes, DecodeError* error) {
  const auto reject = [&](DecodeFault fault, std::string_view cause) {
    if (error != nullptr) *error = {fault, cause};
    return std::nullopt;
  };
  if (error != nullptr) *error = {};
  if (bytes.size() > kMaxDatagramSize) return reject(DecodeFault::kOutOfBounds, "is longer than a datagram");
  const auto version = VersionOf(bytes);
  if (!version) return reject(DecodeFault::kMalformed, "does not begin with a version");
  if (*version > kVersion) return reject(DecodeFault::kLaterVersion, "is of a later version");
  pb::Datagram from;
  if (!from.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return reject(DecodeFault::kMalformed, "is truncated or corrupted");
  }
  // If there are two version fields, the parser keeps the second one. Version 0 does not exist.
  if (from.version() != kVersion) return reject(DecodeFault::kOutOfBounds, "is of an unknown version");
  Decoder decoder;
  std::optional<Message> message(std::in_place);
  if (!decoder.Decode(from, *message)) return reject(DecodeFault::kOutOfBounds, decoder.cause());
  return message;
}

}  // namespace mothrack::gossip
