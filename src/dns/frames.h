// Messages over TCP: each with its length before it (RFC 1035 section 4.2.2, RFC 7766 section 8).
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "dns/message.h"

namespace mothrack::dns {

// Cuts whole messages off what has come. Holds no more than was added, whatever a length says.
class FrameReader {
 public:
  // Makes void what Next() gave.
  void Add(Bytes bytes) {
    held_.erase(held_.begin(), held_.begin() + static_cast<std::ptrdiff_t>(at_));
    at_ = 0;
    held_.insert(held_.end(), bytes.begin(), bytes.end());
  }

  // The next whole message; nothing until more has come.
  std::optional<Bytes> Next() {
    const Bytes rest = Bytes(held_).subspan(at_);
    if (rest.size() < 2) return std::nullopt;
    const std::size_t size = std::size_t{rest[0]} << 8 | rest[1];
    if (rest.size() - 2 < size) return std::nullopt;
    at_ += 2 + size;
    return rest.subspan(2, size);
  }

  bool empty() const { return at_ == held_.size(); }
  // Gives the memory back; only while empty().
  void Shrink() {
    held_ = Buffer();
    at_ = 0;
  }

 private:
  Buffer held_;
  std::size_t at_ = 0;  // read so far
};

// The length, then the message.
inline void AddFrame(Buffer& out, Bytes message) {
  out.reserve(out.size() + 2 + message.size());
  out.push_back(static_cast<std::uint8_t>(message.size() >> 8));
  out.push_back(static_cast<std::uint8_t>(message.size()));
  out.insert(out.end(), message.begin(), message.end());
}

}  // namespace mothrack::dns
