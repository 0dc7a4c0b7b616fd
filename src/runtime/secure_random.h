// Cryptographically secure random numbers from the kernel (getrandom(2)), read in blocks.
//
// Owned by its only user, on its thread. Throws std::runtime_error if the kernel has none.
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
  // Uniform over all 16 bits.
  std::uint16_t Next16() {
    if (at_ + 2 > block_.size()) Refill();
    std::uint16_t value = 0;
    std::memcpy(&value, block_.data() + at_, 2);
    at_ += 2;
    return value;
  }
  // Below `bound`, which is at most 2^16; even enough for choosing among few.
  std::size_t Below(std::size_t bound) { return (std::size_t{Next16()} * bound) >> 16; }

 private:
  void Refill() {
    // Reads of up to 256 bytes are never short (getrandom(2)).
    if (::getrandom(block_.data(), block_.size(), 0) != static_cast<ssize_t>(block_.size())) {
      throw std::runtime_error("no random numbers from the system");
    }
    at_ = 0;
  }

  std::array<std::uint8_t, 256> block_{};
  std::size_t at_ = 256;
};

}  // namespace mothrack::runtime
