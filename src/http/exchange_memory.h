// The memory that one attempt of a request needs, from its first byte to the start of its response.
//
// The first attempt uses what was reserved together with its request, so a request that was admitted can
// always be sent. It gives that back at its end for a retry. Attempts at the same time, and probes, reserve
// their own; they are not sent if that is denied.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>

#include "http/messages.h"
#include "runtime/memory_budget.h"

namespace mothrack::http {

class ExchangeMemory {
 public:
  // What one attempt takes of a response's head without asking, see UpstreamExchange.
  static constexpr std::size_t kHeadAllowance = std::size_t{4} * 1024;
  // How many copies of a request's head an attempt holds: the fields to be sent, and for a streamed body
  // their text.
  static constexpr std::size_t kRequestHeadCopies = 2;

  // The bytes needed by an attempt whose request head takes `head_memory`: the read buffer, the response's
  // head and the beginning of its body.
  static std::size_t Required(std::size_t head_memory) {
    return kMaxUpstreamReadAhead + kHeadAllowance + runtime::MemoryBudget::kMinWindow +
           kRequestHeadCopies * head_memory;
  }

  // Returns nothing if the budget denies it.
  static std::optional<ExchangeMemory> Take(std::shared_ptr<const HttpMessage> message,
                                            const runtime::MemoryBudget& budget);

  ExchangeMemory(ExchangeMemory&&) = default;
  ExchangeMemory& operator=(ExchangeMemory&&) = delete;
  ExchangeMemory(const ExchangeMemory&) = delete;
  ExchangeMemory& operator=(const ExchangeMemory&) = delete;
  ~ExchangeMemory() { Return(); }

  // Gives the memory back to the request. Calls after the first have no effect.
  void Return();
  // Gives up the part for the beginning of the body, which the response's stream claims for itself.
  void ReleaseWindow() { charge_.Set(charge_.bytes() - runtime::MemoryBudget::kMinWindow); }

 private:
  ExchangeMemory(std::shared_ptr<const HttpMessage> message, runtime::MemoryBudget::Charge charge);

  std::shared_ptr<const HttpMessage> message_;  // null once returned
  runtime::MemoryBudget::Charge charge_;
};

}  // namespace mothrack::http
