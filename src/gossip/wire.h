// Encodes messages to bytes (peers.proto) and back. Decode() checks everything against the bounds of types.h,
// so that its result needs no further check. Pure functions.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "gossip/message.h"

namespace mothrack::gossip {

// The protocol version. A reader accepts only its own version. Fields that a later build adds within it are
// skipped.
constexpr std::uint64_t kVersion = 1;

// Why a datagram was rejected.
enum class DecodeFault : std::uint8_t {
  kNone,
  kLaterVersion,  // of a later version, as during an upgrade; not an error of the sender
  kMalformed,     // truncated, or not a message of this protocol
  kOutOfBounds,   // well-formed, but a value is beyond the bounds of types.h
};

// The reason of a rejection.
struct DecodeError {
  DecodeFault fault = DecodeFault::kNone;
  std::string_view cause;  // human-readable; static; empty for kNone
};

// Whether a name of a member or zone is valid: 1 to 64 letters, digits, '-', '_' and '.', not starting with a
// dot.
bool IsValidName(std::string_view name);
// Whether an address is valid: "ip:port" of digits, hex digits, '.', ':', '[' and ']', at most 48 bytes.
// Whether the address can be used is known only when a datagram is sent to it.
bool IsValidAddress(std::string_view address);
// Whether a value's key is valid: 1 to 24 printable ASCII characters without blanks.
bool IsValidKey(std::string_view key);

// Encodes a message that is within the bounds. The result is never longer than the sum of MaxEncodedSize() of
// its parts. A subject without a name is omitted.
std::string Encode(const Message& message);

// Returns nothing if the bytes are no valid message of this version; `error`, if given, then has the reason.
std::optional<Message> Decode(std::string_view bytes, DecodeError* error = nullptr);

}  // namespace mothrack::gossip
