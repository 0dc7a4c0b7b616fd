// Counts open sockets against the deployment's limit.
//
// One per process, passed to everything that opens sockets; used on the thread of the event loop only. All
// numbers are file descriptors.
#pragma once

#include <algorithm>
#include <cstddef>

namespace mothrack::runtime {

class Descriptors {
 public:
  // Always open: standard streams, event loop, timer, signals, listening socket, discovery and its next
  // connection, with a reserve.
  static constexpr std::size_t kFixed = 16;

  // `further`: descriptors beyond kReserved that are always open.
  explicit Descriptors(std::size_t limit, std::size_t further = 0)
      : fixed_(kFixed + further),
        uncapped_limit_(limit > fixed_ ? limit - fixed_ : 1),
        limit_(uncapped_limit_) {}

  // Another process of this sidecar uses part of the limit: this one may have at most `most` from now on.
  // Open ones above that stay until they are closed.
  void Cap(std::size_t most) { limit_ = std::clamp<std::size_t>(most, 1, uncapped_limit_); }
  void Uncap() { limit_ = uncapped_limit_; }
  // The limit for both sides together, if no other process uses part of it.
  std::size_t uncapped_limit() const { return uncapped_limit_; }
  // Number that is always open.
  std::size_t fixed() const { return fixed_; }
  // Number open now, on both sides.
  std::size_t used() const { return clients_ + upstreams_; }

  enum class Side { kClient, kUpstream };

  // Accounts for one descriptor of one side while its socket is open. The Descriptors must outlive it.
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

  // Whether one more may be opened. Each side has half of the limit: idle clients must not use up the
  // descriptors needed to serve them, nor make the pools close connections that the next request needs. A
  // request takes one descriptor on either side, and a hedge one more.
  bool HasCapacity(Side side) const {
    return side == Side::kClient ? clients_ < limit_ / 2 : upstreams_ < limit_ - limit_ / 2;
  }

 private:
  std::size_t fixed_;
  std::size_t uncapped_limit_;
  std::size_t limit_;
  std::size_t clients_ = 0;
  std::size_t upstreams_ = 0;
};

}  // namespace mothrack::runtime
