// Counts the sockets that are open, against the limit that the deployment sets.
#pragma once

#include <cstddef>
#include <utility>

namespace mothrack {

class Descriptors {
 public:
  // What is always open: standard streams, event loop, timer, signals, listening socket, discovery and its
  // next connection, with some left over.
  static constexpr std::size_t kFixed = 16;

  explicit Descriptors(std::size_t limit) : limit_(limit > kFixed ? limit - kFixed : 1) {}

  // Held as long as its socket is open.
  class Slot {
   public:
    explicit Slot(Descriptors& owner) : owner_(&owner) { ++owner_->used_; }
    ~Slot() {
      if (owner_ != nullptr) --owner_->used_;
    }
    Slot(Slot&& other) noexcept : owner_(std::exchange(other.owner_, nullptr)) {}
    Slot& operator=(Slot&&) = delete;

   private:
    Descriptors* owner_;
  };

  // Is there room for one more, with the reserve that clients keep?
  bool RoomForClient() const { return used_ < limit_; }
  bool RoomForUpstream() const { return used_ + ClientReserve() < limit_; }
  std::size_t limit() const { return limit_; }

 private:
  std::size_t ClientReserve() const { return limit_ / 8; }

  std::size_t limit_;
  std::size_t used_ = 0;
};

}  // namespace mothrack
