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

// One thread pushes and one pops. Lock-free: neither thread ever waits. A push into a full queue drops and
// counts the oldest element.
template <typename T>
class BoundedQueue {
 public:
  // Throws std::system_error if the kernel provides no eventfd.
  explicit BoundedQueue(std::size_t capacity) : capacity_(capacity), queue_(2 * capacity) {
    if (event_fd_ < 0) throw std::system_error(errno, std::generic_category(), "eventfd");
  }
  ~BoundedQueue() { ::close(event_fd_); }
  BoundedQueue(const BoundedQueue&) = delete;
  BoundedQueue& operator=(const BoundedQueue&) = delete;

  void Push(T value) {
    // Reserve a place first, so that the bound is never exceeded. If the receiver has taken the last element
    // meanwhile, there is nothing to drop and the place is free.
    T oldest;
    if (size_.fetch_add(1) >= capacity_ && queue_.try_dequeue(oldest)) {
      size_.fetch_sub(1);
      dropped_.fetch_add(1, std::memory_order_relaxed);
    }
    if (!queue_.enqueue(std::move(value))) {  // out of memory
      size_.fetch_sub(1);
      dropped_.fetch_add(1, std::memory_order_relaxed);
      return;
    }
    Signal();
  }

  // Wakes the receiver without an element. Makes a system call only if no signal was sent since the
  // receiver's last ClearSignal().
  void Signal() {
    if (signalled_.exchange(true)) return;
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto written =
        ::write(event_fd_, &one, sizeof one);  // cannot overflow: it is read before the next write
  }

  // Called by the receiver after it woke up: the next push wakes it again. Must be called before TryPop(),
  // not after it, so that an element pushed in between is either popped or wakes the receiver.
  void ClearSignal() {
    std::uint64_t count = 0;
    [[maybe_unused]] const auto size_read = ::read(event_fd_, &count, sizeof count);
    signalled_.exchange(false);
  }
  // Returns the oldest element, or nothing if the queue is empty.
  std::optional<T> TryPop() {
    T value;
    if (!queue_.try_dequeue(value)) return std::nullopt;
    size_.fetch_sub(1);
    return value;
  }

  int descriptor() const { return event_fd_; }  // readable while there may be elements
  // Elements dropped because the queue was full or memory was exhausted.
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
