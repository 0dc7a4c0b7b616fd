// What comes from another peer once its seal is open. What can be read is written, read again and must be the
// same, and take no more bytes than the core reckons with. Broken invariants abort.
#include <cstdint>
#include <cstdlib>

#include "gossip/wire.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace mothrack::gossip;
  std::string why;
  ReadFault fault = ReadFault::kNone;
  const auto message = Read({reinterpret_cast<const char*>(data), size}, &why, &fault);
  if (message.has_value() != (fault == ReadFault::kNone) || message.has_value() != why.empty()) std::abort();
  if (!message) return 0;
  const std::string written = Write(*message);
  std::size_t most = MostSize(*message);
  for (const auto& part : message->digest) most += MostSize(part);
  for (const auto& part : message->news) most += MostSize(part);
  for (const auto& part : message->values) most += MostSize(part);
  if (written.size() > most) std::abort();
  if (Read(written) != message) std::abort();
  return 0;
}
