// Tests the range of SecureRandom's numbers.
#include "runtime/secure_random.h"

#include <cstddef>
#include <set>

#include "gtest/gtest.h"

namespace mothrack {
namespace {

TEST(SecureRandom, NumbersBelowABoundCoverItsRange) {
  runtime::SecureRandom random;
  std::set<std::size_t> seen;
  for (int i = 0; i < 1000; ++i) {
    const auto value = random.Below(7);
    ASSERT_LT(value, 7U);
    seen.insert(value);
  }
  EXPECT_EQ(seen.size(), 7U);
}

}  // namespace
}  // namespace mothrack
