#include "http/exchange_memory.h"

#include <utility>

#include "http/head_memory.h"

namespace mothrack::http {

ExchangeMemory::ExchangeMemory(std::shared_ptr<const HttpMessage> message,
                               runtime::MemoryBudget::Charge charge)
    : message_(std::move(message)), charge_(std::move(charge)) {}

std::optional<ExchangeMemory> ExchangeMemory::Take(std::shared_ptr<const HttpMessage> message,
                                                   const runtime::MemoryBudget& budget) {
  if (message->memory.exchange.bytes() > 0) {
    auto charge = std::move(message->memory.exchange);
    return ExchangeMemory(std::move(message), std::move(charge));
  }
  runtime::MemoryBudget::Charge charge(budget);
  if (!charge.Reserve(Required(HeadMemory(message->request)))) return std::nullopt;
  return ExchangeMemory(std::move(message), std::move(charge));
}

void ExchangeMemory::Return() {
  const auto message = std::exchange(message_, nullptr);
  if (message && message->memory.exchange.bytes() == 0) message->memory.exchange = std::move(charge_);
  charge_.Set(0);
}

}  // namespace mothrack::http
