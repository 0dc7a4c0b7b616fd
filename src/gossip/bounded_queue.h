// What the serving loop and the peers' task say to each other: values in two bounded boxes, each with an
// eventfd that wakes the other side. Neither side ever waits for the other. A full box drops its oldest
// message and counts it.
#pragma once

#include <concurrentqueue/concurrentqueue.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <utility>
#include <variant>
#include <vector>

#include "gossip/core.h"

namespace mothrack::gossip {

// To the task.
struct PutValueCommand {
  std::string key, bytes;
  Duration ttl{0};
};
struct LeaveCommand {};
struct ReloadKeysCommand {};  // reads the key file again
using TaskCommand = std::variant<PutValueCommand, LeaveCommand, ReloadKeysCommand>;

// Every value of an owner four times over: a later put of a key makes the former worthless, so a task that is
// further behind than this has lost nothing that would still count, as long as the loop repeats what it puts.
constexpr std::size_t kMaxPendingCommands = 4 * kMaxKeysPerOwner;
// Only the latest picture counts. A second one, so that the task does not throw out what the loop is about to
// take.
constexpr std::size_t kMaxPendingSnapshots = 2;

// To the loop: one picture, whole, each time something changed (at most ten a second); the loop keeps the
// latest and knows by `made` how old it is.
struct MembershipSnapshot {
  TimePoint created_at;  // this machine's steady clock: both threads read the same
  MembershipUpdate self;
  int health = 0;
  std::size_t alive = 0, known = 0;
  std::vector<MemberView> members;
  std::vector<Value> values;  // ages as of `made`
  Counts counts;
  std::uint64_t dropped = 0;                           // messages, by both boxes
  std::uint64_t unauthenticated = 0, undecodable = 0;  // datagrams with a wrong seal; that could not be read
  std::uint64_t replayed = 0;       // datagrams that were heard before, or are older than the window
  std::uint64_t send_failures = 0;  // datagrams that the system did not take
};
using MembershipSnapshotPtr = std::shared_ptr<const MembershipSnapshot>;

// One direction: one thread pushes, one takes; lock-free, and neither ever waits. Only pushing at the bound
// drops.
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

  // Wakes the other side without a message. Tells the system only where it was not told since the other
  // side's Quiet().
  void Signal() {
    if (signalled_.exchange(true)) return;
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto written =
        ::write(event_fd_, &one, sizeof one);  // never full: it is read before the next
  }

  // The other side, awake: from here on a push wakes it again. Call it before taking, not after: what is
  // pushed in between is either taken or wakes.
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

  int descriptor() const { return event_fd_; }  // readable while there may be something to take
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
