// Tests the accounting of sockets against the descriptor limit, for each side, and while another process
// shares the limit.
#include "runtime/descriptors.h"

#include <cstddef>
#include <memory>
#include <vector>

#include "gtest/gtest.h"

namespace mothrack {
namespace {

TEST(Descriptors, EachSideHasHalfOfTheDescriptorsThatAreNotFixed) {
  runtime::Descriptors descriptors(64, 4);
  std::vector<std::unique_ptr<runtime::Descriptors::Slot>> slots;
  while (descriptors.HasCapacity(runtime::Descriptors::Side::kClient)) {
    slots.push_back(
        std::make_unique<runtime::Descriptors::Slot>(descriptors, runtime::Descriptors::Side::kClient));
  }
  EXPECT_EQ(slots.size(), (64U - runtime::Descriptors::kFixed - 4) / 2);
  EXPECT_TRUE(descriptors.HasCapacity(runtime::Descriptors::Side::kUpstream));
  slots.pop_back();
  EXPECT_TRUE(descriptors.HasCapacity(runtime::Descriptors::Side::kClient));
}

TEST(Descriptors, ACapLowersTheLimitUntilItIsRemoved) {
  runtime::Descriptors descriptors(100, 4);
  const std::size_t uncapped_limit = descriptors.uncapped_limit();
  descriptors.Cap(20);
  std::vector<std::unique_ptr<runtime::Descriptors::Slot>> slots;
  while (descriptors.HasCapacity(runtime::Descriptors::Side::kClient)) {
    slots.push_back(
        std::make_unique<runtime::Descriptors::Slot>(descriptors, runtime::Descriptors::Side::kClient));
  }
  EXPECT_EQ(slots.size(), 10U);
  descriptors.Uncap();
  EXPECT_TRUE(descriptors.HasCapacity(runtime::Descriptors::Side::kClient));
  descriptors.Cap(uncapped_limit * 2);
  EXPECT_EQ(descriptors.used(), 10U);
}

}  // namespace
}  // namespace mothrack
