// Counts the sockets that are open, against the limit that the deployment sets.
//
// One for the process, handed to all that open sockets; used on the thread of the event loop only. Numbers
// are file descriptors.
#pragma once

#include <algorithm>
#include <cstddef>

namespace mothrack::runtime {

class Descriptors {
 public:
  // What is always open: standard streams, event loop, timer, signals, listening socket, discovery and its
  // next connection, with some left over.
  static constexpr std::size_t kFixed = 16;

  // `further`: more that are open all the time.
  explicit Descriptors(std::size_t limit, std::size_t further = 0)
      : fixed_(kFixed + further), full_(limit > fixed_ ? limit - fixed_ : 1), limit_(full_) {}

  // Another process of this sidecar may hold some of them: this one may not have more than `most` by now.
  // What is over stays until it is closed.
  void Cap(std::size_t most) { limit_ = std::clamp<std::size_t>(most, 1, full_); }
  void Uncap() { limit_ = full_; }
  // What both sides may have together, where no other process has a part.
  std::size_t full() const { return full_; }
  // What is open all the time.
  std::size_t fixed() const { return fixed_; }
  // Open now, on both sides.
  std::size_t used() const { return clients_ + upstreams_; }

  enum class Side { kClient, kUpstream };

  // One descriptor of one side; held as long as its socket is open. The Descriptors must outlive it.
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

  // Is there room for one more? Each side has half for its own: clients that connect and stay must not leave
  // nothing to serve them with, nor make the pools close what the next request needs. A request takes one
  // descriptor on either side, and a second copy one more.
  bool HasCapacity(Side side) const {
    return side == Side::kClient ? clients_ < limit_ / 2 : upstreams_ < limit_ - limit_ / 2;
  }

 private:
  std::size_t fixed_;
  std::size_t full_;
  std::size_t limit_;
  std::size_t clients_ = 0;
  std::size_t upstreams_ = 0;
};

}  // namespace mothrack::runtime
