// Datagrams a second. What came together is sent together up to a fifth of the second's number, the rest by
// rate: so no second, wherever it begins, has more than the number.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "gossip/types.h"

namespace mothrack::gossip {

class Rate {
 public:
  Rate(std::size_t per_s, TimePoint now)
      : most_(std::max<std::int64_t>(1, static_cast<std::int64_t>(per_s) / 5)),
        per_s_(std::max<std::int64_t>(1, static_cast<std::int64_t>(per_s) - most_)),
        left_(most_ * kOne),
        at_(now) {}

  // One more now? `leave`: as many must be left for others.
  bool Take(std::int64_t leave, TimePoint now) {
    if (now > at_) {
      const std::int64_t passed = std::min<std::int64_t>((now - at_).count(), 60'000);
      left_ = std::min(most_ * kOne, left_ + passed * per_s_);
      at_ = now;
    }
    if (left_ < kOne || left_ < (std::min(leave, most_ - 1) + 1) * kOne) return false;
    left_ -= kOne;
    return true;
  }

 private:
  static constexpr std::int64_t kOne = 1000;  // so a millisecond's share is a whole number
  std::int64_t most_, per_s_, left_;
  TimePoint at_;
};

}  // namespace mothrack::gossip
