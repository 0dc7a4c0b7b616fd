#include "zone_failover/fair_share.h"

#include <algorithm>

namespace mothrack::zone_failover {
namespace {

std::uint64_t SumClampedTo(const std::vector<std::uint64_t>& values, std::uint64_t cap) {
  std::uint64_t sum = 0;
  for (const std::uint64_t value : values) sum += std::min(value, cap);
  return sum;
}

// The greatest number, up to the highest value, for which `holds` is true. `holds` must be true for 0, and
// for all numbers below one for which it is true.
template <typename Holds>
std::uint64_t GreatestThatHolds(const std::vector<std::uint64_t>& values, const Holds& holds) {
  std::uint64_t low = 0;
  std::uint64_t high = values.empty() ? 0 : *std::max_element(values.begin(), values.end());
  while (low < high) {
    const std::uint64_t middle = low + (high - low + 1) / 2;
    if (holds(middle)) {
      low = middle;
    } else {
      high = middle - 1;
    }
  }
  return low;
}

}  // namespace

std::uint64_t WeightCap(const std::vector<std::uint64_t>& weights, std::uint64_t divisor) {
  // If the condition holds for one cap, it holds for all lower ones, because the sum is concave.
  return GreatestThatHolds(weights,
                           [&](std::uint64_t cap) { return SumClampedTo(weights, cap) >= divisor * cap; });
}

std::uint64_t FairShareLevel(const std::vector<std::uint64_t>& needs, std::uint64_t total) {
  return GreatestThatHolds(needs, [&](std::uint64_t level) { return SumClampedTo(needs, level) <= total; });
}

}  // namespace mothrack::zone_failover
