// Cryptographically secure random numbers from the kernel (getrandom(2)), read in blocks.
//
// Owned by its only user, used on its thread. Throws std::runtime_error if the kernel provides none.
#pragma once

#include <sys/random.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <stdexcept>

namespace mothrack::runtime {

class SecureRandom {
 public:
  // Returns a number that is uniformly distributed over all 16-bit values.
  std::uint16_t Next16() {
    if (position_ + 2 > block_.size()) Refill();
    std::uint16_t value = 0;
    std::memcpy(&value, block_.data() + position_, 2);
    position_ += 2;
    return value;
  }
  // Returns a number below `bound`, which is at most 2^16. Its distribution is nearly uniform if `bound` is
  // small.
  std::size_t Below(std::size_t bound) { return (std::size_t{Next16()} * bound) >> 16; }

 private:
  void Refill() {
    // Reads of up to 256 bytes are never short (getrandom(2)).
    if (::getrandom(block_.data(), block_.size(), 0) != static_cast<ssize_t>(block_.size())) {
      throw std::runtime_error("no random numbers from the system");
    }
    position_ = 0;
  }

  std::array<std::uint8_t, 256> block_{};
  std::size_t position_ = 256;
};

}  // namespace mothrack::runtime
