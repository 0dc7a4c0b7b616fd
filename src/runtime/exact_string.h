// Allocates and frees the storage of strings exactly. std::string::reserve() may allocate twice as much as
// the string had, and assigning a short string keeps the storage; a memory budget would see neither.
#pragma once

#include <cstddef>
#include <string>

namespace mothrack::runtime {

// Gives `text` a capacity of `capacity` characters, or the least that std::string has if that is more. The
// contents are kept and must fit. Always reallocates.
inline void ReallocateExactly(std::string& text, std::size_t capacity) {
  std::string exact;
  exact.reserve(capacity);
  exact.append(text);
  text.swap(exact);
}

// Empties `text` and frees its storage.
inline void FreeStorage(std::string& text) { std::string().swap(text); }

}  // namespace mothrack::runtime
