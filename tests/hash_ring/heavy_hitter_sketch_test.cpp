// The sketch contains every heavy key, and its counts are never too low.
#include "hash_ring/heavy_hitter_sketch.h"

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>

namespace mothrack::hash_ring {
namespace {

TEST(BoundedLoad, SketchContainsEveryHeavyKeyAndNeverUnderestimates) {
  HeavyHitterSketch sketch;
  std::mt19937_64 random(5);
  std::map<std::uint64_t, std::uint32_t> exact;
  for (int i = 0; i < 20'000; ++i) {
    const std::uint64_t key = i % 50 == 0 ? 1 : i % 40 == 0 ? 2 : 100 + random() % 5000;
    sketch.Add(key);
    ++exact[key];
  }
  std::set<std::uint64_t> keys_in_sketch;
  for (const auto& entry : sketch) {
    keys_in_sketch.insert(entry.key);
    EXPECT_GE(entry.count, exact[entry.key]);
    EXPECT_LE(entry.count - entry.overcount, exact[entry.key]);
  }
  EXPECT_TRUE(keys_in_sketch.contains(1) && keys_in_sketch.contains(2));
}

}  // namespace
}  // namespace mothrack::hash_ring
