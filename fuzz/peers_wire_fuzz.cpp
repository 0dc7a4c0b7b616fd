// Fuzzes the reader of a peer's datagrams after decryption. A message that can be read must be the same after
// it is written and read again, and must not exceed the size that the gossip core computes. A broken
// invariant aborts.
#include <cstdint>
#include <cstdlib>

#include "gossip/wire.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace mothrack::gossip;
  DecodeError error;
  const auto message = Decode({reinterpret_cast<const char*>(data), size}, &error);
  const bool valid = error.fault == DecodeFault::kNone;
  if (message.has_value() != valid || message.has_value() != error.cause.empty()) std::abort();
  if (!message) return 0;
  const std::string written = Encode(*message);
  std::size_t max_size = MaxEncodedSize(*message);
  for (const auto& part : message->digest) max_size += MaxEncodedSize(part);
  for (const auto& part : message->updates) max_size += MaxEncodedSize(part);
  for (const auto& part : message->values) max_size += MaxEncodedSize(part);
  if (written.size() > max_size) std::abort();
  if (Decode(written) != message) std::abort();
  return 0;
}
