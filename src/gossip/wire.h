// A message as bytes (peers.proto) and back. Decoding checks everything against the bounds of types.h: what
// it returns needs no further check. Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "gossip/message.h"

namespace mothrack::gossip {

// A reader takes its own version alone. Fields that a later build adds within it are skipped.
constexpr std::uint64_t kVersion = 1;

enum class DecodeFault : std::uint8_t {
  kNone,
  kLater,      // of a later version: no fault of the sender's, and counted on its own during an upgrade
  kMalformed,  // cut, or something else altogether
  kBounds,     // well formed, but with a value beyond the bounds of types.h
};

struct DecodeError {
  DecodeFault fault = DecodeFault::kNone;
  std::string_view cause;  // for people; static, empty of kNone
};

// The rule of the fleet's names: letters, digits, '-', '_' and '.', at most 64, no dot first.
bool IsValidName(std::string_view name);
// "ip:port": digits, hex digits, '.', ':', '[' and ']', at most 48. Whether one can send there, the socket
// tells.
bool IsValidAddress(std::string_view address);
// Printable ASCII without blanks, at most 24.
bool IsValidKey(std::string_view key);

// Of a message within the bounds; never more bytes than MaxEncodedSize() of its parts in sum. A subject
// without a name is none and is left out.
std::string Encode(const Message& message);

// Nothing where the bytes are no valid message of this version; `error`, where it is given, then says why.
std::optional<Message> Decode(std::string_view bytes, DecodeError* error = nullptr);

}  // namespace mothrack::gossip
