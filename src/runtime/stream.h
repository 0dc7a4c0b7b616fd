// The body of one message while it passes through the sidecar. The producer appends received bytes, and the
// consumer reads as many as it can write. The buffer between them is bounded by a window, which is this
// stream's part of the process's memory budget. A short body is retained after it was consumed, so that a
// retry can send it from its beginning.
//
// The budget counts the buffer's whole capacity, and MemoryBudget::kMinWindow at least. Whoever creates a
// stream must have reserved that much and gives it back, because the stream claims it without asking.
//
// Shared by the producer and the consumer through a shared_ptr, used on the thread of the event loop. Sizes
// are in bytes. No call fails: a body that is truncated ends in State::kTruncated.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "runtime/memory_budget.h"

namespace mothrack::runtime {

class Stream {
 public:
  enum class State {
    kArriving,   // more bytes may be appended
    kComplete,   // all bytes of the body are appended
    kTruncated,  // the rest of the body will never arrive
  };

  // Consumed bytes are retained until the body exceeds `max_retained`, or half of the budget is in use, or
  // their memory is needed for bytes that are not consumed.
  Stream(const MemoryBudget& budget, std::size_t max_retained);
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  // ---- Producer ----

  // The number of bytes that may be appended now.
  std::size_t Capacity() const;
  // Appends `bytes`, even beyond Capacity(), which is then 0.
  void Append(std::string_view bytes);
  // The same, and frees the storage of `bytes`, or takes it over if nothing is buffered.
  void AppendAndFree(std::string& bytes);
  // Ends the body; calls after the first have no effect.
  void End(State state);
  // Called when there may be capacity again, or when the stream was abandoned, from within a call of the
  // consumer.
  std::function<void()> on_capacity;

  // ---- Consumer; one at a time ----

  // Starts from the first byte, also if an earlier consumer has read it. Returns false if that byte is no
  // longer retained, if there is a consumer, or if the stream is abandoned.
  bool BeginConsuming();
  // Ends the current consumer; another one may begin.
  void StopConsuming();
  // The bytes available to the consumer; valid until the next call of either side.
  std::string_view Ready() const { return std::string_view(bytes_).substr(head_ + (next_ - base_)); }
  // Consumes the first `size` bytes of Ready(), which must have at least that many.
  void Consume(std::size_t size);
  State state() const { return state_; }
  // Whether the body is complete and has been consumed completely.
  bool done() const { return state_ == State::kComplete && next_ == size(); }
  // Drops the rest of the body, also bytes that arrive later, because it is not needed.
  void Abandon();
  bool abandoned() const { return abandoned_; }
  // Called when more bytes or the end arrived, from within a call of the producer.
  std::function<void()> on_bytes;

  std::uint64_t size() const { return base_ + bytes_.size() - head_; }  // bytes appended so far

 private:
  bool IsClosed() const { return abandoned_ || state_ != State::kArriving; }
  std::size_t buffered() const { return bytes_.size() - head_; }
  void OnAppended();
  void MakeRoom(std::size_t size);
  bool Reallocate(std::size_t capacity);
  void DropConsumed();
  void Drop(std::size_t size);
  void ReleaseSpareMemory();
  void SetCharge();

  const MemoryBudget budget_;
  const MemoryBudget::OpenStream open_stream_;
  MemoryBudget::Charge charge_;
  const std::size_t max_retained_;
  std::string bytes_;  // the body from offset base_ on, after `head_` bytes that are already dropped
  std::size_t head_ = 0;
  std::uint64_t base_ = 0;  // offset in the body of the first buffered byte
  std::uint64_t next_ = 0;  // offset in the body of the next byte to be consumed
  State state_ = State::kArriving;
  bool abandoned_ = false;
  bool has_consumer_ = false;  // between BeginConsuming() and StopConsuming()
};

}  // namespace mothrack::runtime
