// Two fair divisions in integers, each found by bisection. The order of the input does not matter. Pure
// functions; any thread.
#pragma once

#include <cstdint>
#include <vector>

namespace mothrack::zone_failover {

// The greatest cap such that, with each weight clamped to it, none exceeds 1/divisor of their sum; 0 if there
// is none, because there are too few weights. divisor x the highest weight must fit into 64 bits.
std::uint64_t WeightCap(const std::vector<std::uint64_t>& weights, std::uint64_t divisor);

// Max-min fair division (water filling): the greatest level such that the sum of all needs, each clamped to
// it, is at most `total`. The unused part of one's equal share goes to the others.
std::uint64_t FairShareLevel(const std::vector<std::uint64_t>& needs, std::uint64_t total);

}  // namespace mothrack::zone_failover
