// The body of one message on its way through the sidecar, in bounded pieces: one side appends what has come,
// the other takes what it can pass on, and what is held in between is bounded by a window, which is this
// stream's share of the process's budget. What was taken is kept too, as long as it is little, so that the
// body can be sent again from its beginning.
//
// Shared by the two sides through a shared_ptr, on the thread of the event loop; sizes are bytes. Has no
// errors of its own: a body that breaks off ends as kBroken.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace mothrack::runtime {

// Bytes that all streams of the process may hold together, shared evenly among those that are open.
class ByteBudget {
 public:
  // `bytes`: of the whole process.
  explicit ByteBudget(std::size_t bytes) : bytes_(bytes), full_(bytes) {}

  // What each open stream may hold: enough to keep both sides busy, never so little that it stands still. The
  // sum may pass the budget by kMinWindow for each stream beyond what it allows: streams are as many as
  // descriptors.
  std::size_t Window() const;
  // Another process of this sidecar has the other half.
  void Halve() { bytes_ = full_ / 2; }
  void Restore() { bytes_ = full_; }

  // Bytes that the streams hold now, and how many streams are open.
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
    kWhole,   // all of it was
    kBroken,  // the rest will never come
  };

  // What is taken is kept, too, until the body is longer than `keep`, or half of the budget is held.
  Stream(ByteBudget& budget, std::size_t keep);
  ~Stream();
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  // ---- The side that appends ----

  // Bytes that may be appended now.
  std::size_t Capacity() const;
  // Takes what `bytes` holds; more than Capacity() is taken, too, and leaves none.
  void Append(std::string_view bytes);
  // No more comes; the first call counts.
  void End(State state);
  // There is room again, or nobody wants the rest. Called from within the other side's calls.
  std::function<void()> on_capacity;

  // ---- The side that takes; one at a time ----

  // Begins at the first byte; false where that is held no more. What another one took so far counts as not
  // taken.
  bool BeginConsuming();
  // Whoever began takes no more: another may begin.
  void StopConsuming();
  // What can be taken now; valid until the next call of either side.
  std::string_view Ready() const { return std::string_view(bytes_).substr(head_ + (next_ - base_)); }
  // Passes over the first `size` bytes of Ready(), which has at least so many.
  void Consume(std::size_t size);
  State state() const { return state_; }
  // All has come, and all is taken.
  bool done() const { return state_ == State::kWhole && next_ == size(); }
  // The rest is not wanted: it is dropped as it comes.
  void Abandon();
  bool abandoned() const { return abandoned_; }
  // More came, or its end. Called from within the other side's calls.
  std::function<void()> on_bytes;

  std::uint64_t size() const { return base_ + bytes_.size() - head_; }  // all that came

 private:
  void DropConsumed();
  void Drop(std::size_t size);

  ByteBudget& budget_;
  const std::size_t keep_;
  std::string bytes_;  // from base_ on, behind `head_` that are dropped already
  std::size_t head_ = 0;
  std::uint64_t base_ = 0;  // of the body's bytes, the first one held
  std::uint64_t next_ = 0;  // the next one to be taken
  State state_ = State::kComing;
  bool abandoned_ = false;
  bool has_consumer_ = false;  // somebody takes
};

}  // namespace mothrack::runtime
