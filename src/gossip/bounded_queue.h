// A bounded queue from one thread to another, with an eventfd that wakes the receiver.
#pragma once

#include <concurrentqueue/concurrentqueue.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <system_error>
#include <utility>

namespace mothrack::gossip {

// One thread pushes, one pops; lock-free, and neither ever waits. A push at capacity drops the oldest element
// and counts it.
template <typename T>
class BoundedQueue {
 public:
  // Throws std::system_error where the system gives no eventfd.
  explicit BoundedQueue(std::size_t capacity) : capacity_(capacity), queue_(2 * capacity) {
    if (event_fd_ < 0) throw std::system_error(errno, std::generic_category(), "eventfd");
  }
  ~BoundedQueue() { ::close(event_fd_); }
  BoundedQueue(const BoundedQueue&) = delete;
  BoundedQueue& operator=(const BoundedQueue&) = delete;

  void Push(T value) {
    // Its place is taken first, so that there are never more than the bound. Where the other side took the
    // last one meanwhile there is nothing to drop, and room.
    T oldest;
    if (size_.fetch_add(1) >= capacity_ && queue_.try_dequeue(oldest)) {
      size_.fetch_sub(1);
      dropped_.fetch_add(1, std::memory_order_relaxed);
    }
    if (!queue_.enqueue(std::move(value))) {  // no memory
      size_.fetch_sub(1);
      dropped_.fetch_add(1, std::memory_order_relaxed);
      return;
    }
    Signal();
  }

  // Wakes the receiver without an element. A system call only where none was made since the receiver's
  // ClearSignal().
  void Signal() {
    if (signalled_.exchange(true)) return;
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto written =
        ::write(event_fd_, &one, sizeof one);  // never full: it is read before the next
  }

  // The receiver, awake: from here on a push wakes it again. To be called before TryPop(), not after: what is
  // pushed in between is either popped or wakes.
  void ClearSignal() {
    std::uint64_t count = 0;
    [[maybe_unused]] const auto got = ::read(event_fd_, &count, sizeof count);
    signalled_.exchange(false);
  }
  std::optional<T> TryPop() {
    T value;
    if (!queue_.try_dequeue(value)) return std::nullopt;
    size_.fetch_sub(1);
    return value;
  }

  int descriptor() const { return event_fd_; }  // readable while there may be something to pop
  std::uint64_t dropped() const { return dropped_.load(std::memory_order_relaxed); }

 private:
  const std::size_t capacity_;
  moodycamel::ConcurrentQueue<T> queue_;
  std::atomic<std::size_t> size_{0};
  std::atomic<std::uint64_t> dropped_{0};
  std::atomic<bool> signalled_{false};
  const int event_fd_ = ::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
};

}  // namespace mothrack::gossip
