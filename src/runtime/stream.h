// The body of one message while it passes through the sidecar: the producer appends received bytes, the
// consumer takes what it can write. The buffer in between is bounded by a window, this stream's share of the
// process's budget. A short body is retained after it was consumed, so that a retry can send it from its
// beginning.
//
// Shared by the two sides through a shared_ptr, on the thread of the event loop; sizes are bytes. Has no
// errors of its own: a body that is cut off ends as kBroken.
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
  // `bytes`: of the whole process.
  explicit ByteBudget(std::size_t bytes) : bytes_(bytes), full_(bytes) {}

  // The window of each open stream, from kMinWindow, so that every stream makes progress, to kMaxWindow. The
  // sum may exceed the budget by kMinWindow for each stream too many; the number of streams is bounded by the
  // descriptors.
  std::size_t Window() const;
  // While another process of this sidecar uses the other half.
  void Halve() { bytes_ = full_ / 2; }
  void Restore() { bytes_ = full_; }

  // Buffered bytes, and the number of open streams.
  std::size_t held() const { return held_; }
  std::size_t open() const { return open_; }

  static constexpr std::size_t kMinWindow = std::size_t{16} * 1024;
  static constexpr std::size_t kMaxWindow = std::size_t{256} * 1024;

 private:
  friend class Stream;
  std::size_t bytes_;
  std::size_t full_;
  std::size_t held_ = 0;
  std::size_t open_ = 0;
};

class Stream {
 public:
  enum class State {
    kComing,  // more may be appended
    kWhole,   // complete
    kBroken,  // cut off: the rest will never arrive
  };

  // Consumed bytes are retained until the body exceeds `keep`, or half of the budget is in use.
  Stream(ByteBudget& budget, std::size_t keep);
  ~Stream();
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  // ---- Producer ----

  // Number of bytes that may be appended now.
  std::size_t Capacity() const;
  // Appends `bytes`, even beyond Capacity(), which is 0 then.
  void Append(std::string_view bytes);
  // Ends the body; calls after the first have no effect.
  void End(State state);
  // There is capacity again, or the stream was abandoned. Called from within the consumer's calls.
  std::function<void()> on_capacity;

  // ---- Consumer; one at a time ----

  // Starts from the first byte, whatever an earlier consumer took; false if that byte is no longer retained.
  bool BeginConsuming();
  // The present consumer stops; another one may begin.
  void StopConsuming();
  // The bytes available to the consumer; valid until the next call of either side.
  std::string_view Ready() const { return std::string_view(bytes_).substr(head_ + (next_ - base_)); }
  // Consumes the first `size` bytes of Ready(), which must have at least that many.
  void Consume(std::size_t size);
  State state() const { return state_; }
  // Complete and completely consumed.
  bool done() const { return state_ == State::kWhole && next_ == size(); }
  // The rest is not needed: it is dropped as it arrives.
  void Abandon();
  bool abandoned() const { return abandoned_; }
  // More bytes or the end arrived. Called from within the producer's calls.
  std::function<void()> on_bytes;

  std::uint64_t size() const { return base_ + bytes_.size() - head_; }  // appended so far

 private:
  void DropConsumed();
  void Drop(std::size_t size);

  ByteBudget& budget_;
  const std::size_t keep_;
  std::string bytes_;  // from base_ on, after `head_` bytes that are already dropped
  std::size_t head_ = 0;
  std::uint64_t base_ = 0;  // offset in the body of the first buffered byte
  std::uint64_t next_ = 0;  // offset in the body of the next byte to be consumed
  State state_ = State::kComing;
  bool abandoned_ = false;
  bool has_consumer_ = false;  // between BeginConsuming() and StopConsuming()
};

}  // namespace mothrack::runtime
