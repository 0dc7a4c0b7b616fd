// The keys that are asked for most, in bounded memory: Space-Saving (Metwally, Agrawal, El Abbadi, "Efficient
// Computation of Frequent and Top-k Elements in Data Streams", 2005).
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace mothrack::hash_ring {

// Not thread-safe. A key with more than 1 / kCapacity of all keys that were added is in it; an entry's count
// is never too low, and too high by at most its overcount.
class HeavyHitterSketch {
 public:
  // 64 entries of 16 bytes; Add() passes over them once.
  static constexpr std::size_t kCapacity = 64;
  struct Entry {
    std::uint64_t key = 0;
    std::uint32_t count = 0;
    std::uint32_t overcount = 0;  // the count of the key that this one replaced
  };

  void Add(std::uint64_t key);
  void Clear() { used_ = 0; }
  const Entry* begin() const { return entries_.data(); }
  const Entry* end() const { return entries_.data() + used_; }

 private:
  std::array<Entry, kCapacity> entries_{};
  std::size_t used_ = 0;
};

}  // namespace mothrack::hash_ring
