// Counts the sockets that are open, against the limit that the deployment sets.
#pragma once

#include <algorithm>
#include <cstddef>

namespace mothrack {

class Descriptors {
 public:
  // What is always open: standard streams, event loop, timer, signals, listening socket, discovery and its
  // next connection, with some left over.
  static constexpr std::size_t kFixed = 16;

  explicit Descriptors(std::size_t limit) : limit_(limit > kFixed ? limit - kFixed : 1) {}

  enum class Side { kClient, kUpstream };

  // Held as long as its socket is open.
  class Slot {
   public:
    Slot(Descriptors& owner, Side side) : used_(side == Side::kClient ? owner.clients_ : owner.upstreams_) {
      ++used_;
    }
    ~Slot() { --used_; }
    Slot(const Slot&) = delete;
    Slot& operator=(const Slot&) = delete;

   private:
    std::size_t& used_;
  };

  // Is there room for one more? Guards each side against the other: clients that stay connected must not
  // leave nothing to serve them with, nor the pools nothing to take clients with.
  bool Room(Side side) const {
    return clients_ + upstreams_ < limit_ &&
           Used(side) + std::max<std::size_t>(1, limit_ / kReserve) < limit_;
  }
  // Does this side hold more than what is kept for it?
  bool BeyondReserve(Side side) const { return Used(side) > limit_ / kReserve; }

 private:
  static constexpr std::size_t kReserve = 8;

  std::size_t Used(Side side) const { return side == Side::kClient ? clients_ : upstreams_; }

  std::size_t limit_;
  std::size_t clients_ = 0;
  std::size_t upstreams_ = 0;
};

}  // namespace mothrack
