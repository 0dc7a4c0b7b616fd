// Two exact divisions in whole numbers, each found by bisection; neither depends on the order of its input.
#pragma once

#include <cstdint>
#include <vector>

namespace mothrack::zone_failover {

// The greatest cap so that with each weight cut down to it none is more than 1/divisor of their sum; 0 where
// there is none, as they are too few. divisor x the highest weight must fit 64 bits.
std::uint64_t WeightCap(const std::vector<std::uint64_t>& weights, std::uint64_t divisor);

// Max-min fair division (water filling): the greatest level so that the sum of all needs, each cut down to
// it, is at most `total`. Whoever needs less than an equal part leaves the rest to the others.
std::uint64_t FairShareLevel(const std::vector<std::uint64_t>& needs, std::uint64_t total);

}  // namespace mothrack::zone_failover
