#include "hash_ring/heavy_hitter_sketch.h"

namespace mothrack::hash_ring {

void HeavyHitterSketch::Add(std::uint64_t key) {
  Entry* smallest = nullptr;
  for (std::size_t i = 0; i < used_; ++i) {
    Entry& entry = entries_[i];
    if (entry.key == key) {
      ++entry.count;
      return;
    }
    if (smallest == nullptr || entry.count < smallest->count) smallest = &entry;
  }
  if (used_ < kCapacity) {
    entries_[used_++] = {key, 1, 0};
  } else {
    *smallest = {key, smallest->count + 1, smallest->count};
  }
}

}  // namespace mothrack::hash_ring
