// Finds the most requested keys in bounded memory: Space-Saving (Metwally, Agrawal, El Abbadi, "Efficient
// Computation of Frequent and Top-k Elements in Data Streams", 2005).
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace mothrack::hash_ring {

// Not thread-safe. Contains every key that accounts for more than 1 / kCapacity of all Add() calls since
// Clear(). The count of an entry is never too low, and too high by at most its overcount.
class HeavyHitterSketch {
 public:
  // 64 entries of 16 bytes; Add() scans them once.
  static constexpr std::size_t kCapacity = 64;
  struct Entry {
    std::uint64_t key = 0;
    std::uint32_t count = 0;
    std::uint32_t overcount = 0;  // the count of the key that this one replaced
  };

  // Counts one request for a key. If the sketch is full, a new key replaces the one with the lowest count.
  void Add(std::uint64_t key);
  void Clear() { used_ = 0; }
  const Entry* begin() const { return entries_.data(); }
  const Entry* end() const { return entries_.data() + used_; }

 private:
  std::array<Entry, kCapacity> entries_{};
  std::size_t used_ = 0;
};

}  // namespace mothrack::hash_ring
