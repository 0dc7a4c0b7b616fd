// A token bucket for datagrams. The burst is a fifth of the allowed number per second, and the refill rate is
// the rest. So no interval of one second, wherever it begins, exceeds that number. Pure: no I/O, clock or
// thread.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "gossip/types.h"

namespace mothrack::gossip {

class DatagramRateLimiter {
 public:
  DatagramRateLimiter(std::size_t per_s, TimePoint now)
      : burst_(std::max<std::int64_t>(1, static_cast<std::int64_t>(per_s) / 5)),
        per_s_(std::max<std::int64_t>(1, static_cast<std::int64_t>(per_s) - burst_)),
        tokens_(burst_ * kUnitsPerToken),
        refilled_at_(now) {}

  // Takes a token if more than `reserve` tokens are left.
  bool TryAcquire(std::int64_t reserve, TimePoint now) {
    if (now > refilled_at_) {
      const std::int64_t elapsed = std::min<std::int64_t>((now - refilled_at_).count(), 60'000);
      tokens_ = std::min(burst_ * kUnitsPerToken, tokens_ + elapsed * per_s_);
      refilled_at_ = now;
    }
    if (tokens_ < kUnitsPerToken || tokens_ < (std::min(reserve, burst_ - 1) + 1) * kUnitsPerToken)
      return false;
    tokens_ -= kUnitsPerToken;
    return true;
  }

 private:
  static constexpr std::int64_t kUnitsPerToken = 1000;  // so that the refill of one millisecond is an integer
  std::int64_t burst_, per_s_, tokens_;
  TimePoint refilled_at_;
};

}  // namespace mothrack::gossip
