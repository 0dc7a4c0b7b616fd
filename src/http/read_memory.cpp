#include "http/read_memory.h"

#include <algorithm>
#include <utility>

#include "http/exchange_memory.h"
#include "http/head_memory.h"

namespace mothrack::http {
namespace {

constexpr std::size_t kReadSize = 8192;
// How much of a request is read although the budget denies it.
constexpr std::size_t kUnclaimedRead = 1024;

}  // namespace

std::size_t ReadMemory::ReadSize(const RequestReader& reader, std::optional<std::size_t> upload_capacity) {
  const auto& buffer = reader.buffer();
  const std::size_t free = buffer.max_size() - buffer.size();
  const std::size_t least = std::min(free, kReadSize);
  if (!upload_capacity) return least;
  const std::size_t wanted = std::min({free, std::max(kReadSize, *upload_capacity), kMaxReadAhead});
  return wanted > least && charge_.Grow(reader.BufferMemory(wanted)) ? wanted : least;
}

bool ReadMemory::Claim(const RequestReader& reader, std::size_t size, Use use) {
  const std::size_t memory = std::max(charge_.bytes(), reader.BufferMemory(size));
  switch (use) {
    case Use::kRequest:
      return charge_.Reserve(memory);
    case Use::kReadAhead:
      return charge_.Grow(memory);
    case Use::kDiscarded:
      break;
  }
  charge_.Set(memory);
  return true;
}

std::size_t ReadMemory::ClaimBeginning(const RequestReader& reader) {
  const std::size_t buffered = reader.buffer().size();
  if (buffered >= kUnclaimedRead) return 0;
  charge_.Set(std::max(charge_.bytes(), reader.BufferMemory(kUnclaimedRead - buffered)));
  return kUnclaimedRead - buffered;
}

void ReadMemory::Release(const RequestReader& reader, Use use) {
  const bool reads_body = use == Use::kRequest && reader.in_body() && !reader.complete();
  charge_.Set(std::max(reader.buffer().capacity(), reads_body ? kReadSize : 0));
}

std::optional<RequestMemory> ReadMemory::ReserveRequest(const RequestReader& reader) {
  const std::size_t body = reader.has_body() ? runtime::MemoryBudget::kMinWindow : 0;
  const std::size_t head = HeadMemory(reader.head());
  RequestMemory memory{runtime::MemoryBudget::Charge(budget_), runtime::MemoryBudget::Charge(budget_)};
  if (!memory.message.Reserve(head + body)) return std::nullopt;
  if (!memory.exchange.Reserve(ExchangeMemory::Required(head))) return std::nullopt;
  if (body > 0 && !charge_.Reserve(std::max(charge_.bytes(), kReadSize))) return std::nullopt;
  return memory;
}

}  // namespace mothrack::http
