// Random numbers from a seed, identical with every standard library, unlike the standard distributions.
// SplitMix64 (Steele, Lea, Flood 2014). Not for secrets.
#pragma once

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace mothrack::gossip {

class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) { Next(); }
  std::uint64_t Next() {  // SplitMix64
    std::uint64_t mixed = (state_ += 0x9e3779b97f4a7c15);
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb;
    return mixed ^ (mixed >> 31);
  }
  // A number below `bound`, which must be small, so that the modulo bias is negligible.
  std::size_t Below(std::size_t bound) { return static_cast<std::size_t>(Next() % bound); }
  template <typename T>
  void Shuffle(std::vector<T>& elements) {
    for (std::size_t i = elements.size(); i > 1; --i) std::swap(elements[i - 1], elements[Below(i)]);
  }

 private:
  std::uint64_t state_;
};

}  // namespace mothrack::gossip
