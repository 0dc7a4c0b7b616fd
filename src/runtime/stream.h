// The body of one message while it passes through the sidecar. The producer appends received bytes, and the
// consumer reads as many as it can write. The buffer between them is bounded by a window, which is this
// stream's part of the process's budget. A short body is retained after it was consumed, so that a retry can
// send it from its beginning.
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

namespace mothrack::runtime {

// The bytes that all streams of the process may buffer together, shared evenly among the open ones.
class ByteBudget {
 public:
  // `bytes`: the budget of the process.
  explicit ByteBudget(std::size_t bytes) : bytes_(bytes), full_bytes_(bytes) {}

  // The window of each open stream. It is at least kMinWindow, so that every stream makes progress, and at
  // most kMaxWindow. If there are more streams than windows of kMinWindow fit into the budget, each further
  // stream exceeds the budget by up to kMinWindow. The number of streams is bounded by the descriptors.
  std::size_t Window() const;
  // Halves the budget, because another process of this sidecar uses the other half.
  void Halve() { bytes_ = full_bytes_ / 2; }
  // Restores the full budget, once that process has exited.
  void Restore() { bytes_ = full_bytes_; }

  // The number of bytes that all open streams buffer.
  std::size_t buffered() const { return buffered_; }
  std::size_t open_streams() const { return open_streams_; }

  static constexpr std::size_t kMinWindow = std::size_t{16} * 1024;
  static constexpr std::size_t kMaxWindow = std::size_t{256} * 1024;

 private:
  friend class Stream;
  std::size_t bytes_;       // the budget now
  std::size_t full_bytes_;  // the budget while no other process uses half of it
  std::size_t buffered_ = 0;
  std::size_t open_streams_ = 0;
};

class Stream {
 public:
  enum class State {
    kArriving,   // more bytes may be appended
    kComplete,   // all bytes of the body are appended
    kTruncated,  // the rest of the body will never arrive
  };

  // Consumed bytes are retained until the body exceeds `max_retained`, or half of the budget is in use.
  Stream(ByteBudget& budget, std::size_t max_retained);
  ~Stream();
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  // ---- Producer ----

  // The number of bytes that may be appended now.
  std::size_t Capacity() const;
  // Appends `bytes`, even beyond Capacity(), which is then 0.
  void Append(std::string_view bytes);
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
  void DropConsumed();
  void Drop(std::size_t size);

  ByteBudget& budget_;
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
