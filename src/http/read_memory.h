// The memory that a client connection claims for reading: of the reader's buffer, and of a request once its
// head is read.
//
// Owned by a ClientConnection, used on its thread. All sizes are in bytes. Does no I/O; a denied claim is a
// return value.
#pragma once

#include <cstddef>
#include <optional>

#include "http/messages.h"
#include "http/request_reader.h"
#include "runtime/memory_budget.h"

namespace mothrack::http {

class ReadMemory {
 public:
  // What the bytes belong to that are read next.
  enum class Use {
    kRequest,    // the request that is being read, or its body
    kReadAhead,  // the requests behind the one that is being served
    kDiscarded,  // nothing: they are discarded at once
  };

  // `budget` must outlive this object.
  explicit ReadMemory(const runtime::MemoryBudget& budget) : budget_(budget), charge_(budget) {}

  // How many bytes to read next. A long body is read in larger pieces if memory allows, but not in more than
  // `upload_capacity`, which is absent if no body is streamed.
  std::size_t ReadSize(const RequestReader& reader, std::optional<std::size_t> upload_capacity);
  // Claims what reading `size` more bytes takes. Returns false if the budget denies it.
  bool Claim(const RequestReader& reader, std::size_t size, Use use);
  // Claims the beginning of a request, which is read even if memory is short, so that health checks are
  // answered and other requests get their rejection. Returns its size; 0 if that much is buffered.
  std::size_t ClaimBeginning(const RequestReader& reader);
  // Claims no more than the buffer holds. While a request's body is read, the claim on one small piece is
  // kept, so that it can always go on.
  void Release(const RequestReader& reader, Use use);

  // Reserves all that is needed to serve the request to its end, once its head is read: its head and the
  // smallest window of its body, one attempt, and one piece of the body at a time. Returns nothing if the
  // budget denies it.
  std::optional<RequestMemory> ReserveRequest(const RequestReader& reader);

 private:
  const runtime::MemoryBudget& budget_;
  runtime::MemoryBudget::Charge charge_;  // of the reader's buffer
};

}  // namespace mothrack::http
