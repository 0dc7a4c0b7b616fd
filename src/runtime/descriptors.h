// Counts open sockets against the deployment's limit on file descriptors.
//
// Each process has one object, which is passed to everything that opens sockets. Used on the thread of the
// event loop only. All numbers are file descriptors.
#pragma once

#include <algorithm>
#include <cstddef>

namespace mothrack::runtime {

class Descriptors {
 public:
  // Descriptors that are always open: standard streams, event loop, timer, signals, listening socket,
  // discovery and its next connection, and a reserve.
  static constexpr std::size_t kFixed = 16;

  // `extra_fixed`: descriptors beyond kFixed that are always open.
  explicit Descriptors(std::size_t limit, std::size_t extra_fixed = 0)
      : fixed_(kFixed + extra_fixed),
        uncapped_limit_(limit > fixed_ ? limit - fixed_ : 1),
        limit_(uncapped_limit_) {}

  // Lowers the limit for both sides together to `limit`, because another process of this sidecar uses the
  // rest. Descriptors that are open above that stay open.
  void Cap(std::size_t limit) { limit_ = std::clamp<std::size_t>(limit, 1, uncapped_limit_); }
  void Uncap() { limit_ = uncapped_limit_; }
  // The limit for both sides together while no other process uses part of it.
  std::size_t uncapped_limit() const { return uncapped_limit_; }
  // The number of descriptors that are always open.
  std::size_t fixed() const { return fixed_; }
  // The number of descriptors that are open now, on both sides together.
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

  // Whether one more descriptor may be opened on this side. Each side has half of the limit: idle clients
  // must not use up the descriptors needed to serve them, nor make the pools close connections that the next
  // request needs. A request takes one descriptor on either side, and a hedge one more.
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
