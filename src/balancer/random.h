// The only random number generator of the decision module. The order of draws is part of its behaviour: the
// same settings, seed and events give the same actions.
#pragma once

#include <cstdint>
#include <random>

namespace mothrack::balancer {

class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  // A number from [0, 1). It is made of raw engine output, since the standard's distributions differ between
  // libraries.
  double Uniform() { return static_cast<double>(engine_() >> 11) * 0x1p-53; }

 private:
  std::mt19937_64 engine_;
};

}  // namespace mothrack::balancer
