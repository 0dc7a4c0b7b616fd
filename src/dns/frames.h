// Framing of DNS messages over TCP: each message is preceded by its length (RFC 1035 section 4.2.2, RFC 7766
// section 8).
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "dns/message.h"

namespace mothrack::dns {

// Splits a byte stream into messages. Holds no more bytes than were appended, whatever the length field says.
// A value without a thread of its own.
class FrameReader {
 public:
  // Appends received bytes. Invalidates the result of Next().
  void Append(Bytes bytes) {
    buffer_.erase(buffer_.begin(), buffer_.begin() + static_cast<std::ptrdiff_t>(offset_));
    offset_ = 0;
    buffer_.insert(buffer_.end(), bytes.begin(), bytes.end());
  }

  // The next complete message, valid until Append() or Shrink(); nothing if more bytes are needed.
  std::optional<Bytes> Next() {
    const Bytes unread = Bytes(buffer_).subspan(offset_);
    if (unread.size() < 2) return std::nullopt;
    const std::size_t size = std::size_t{unread[0]} << 8 | unread[1];
    if (unread.size() - 2 < size) return std::nullopt;
    offset_ += 2 + size;
    return unread.subspan(2, size);
  }

  bool empty() const { return offset_ == buffer_.size(); }
  // Frees the memory. Allowed only while empty().
  void Shrink() {
    buffer_ = Buffer();
    offset_ = 0;
  }

 private:
  Buffer buffer_;
  std::size_t offset_ = 0;  // bytes of buffer_ that Next() has returned
};

// Appends the length and then the message.
inline void AppendFrame(Buffer& out, Bytes message) {
  out.reserve(out.size() + 2 + message.size());
  out.push_back(static_cast<std::uint8_t>(message.size() >> 8));
  out.push_back(static_cast<std::uint8_t>(message.size()));
  out.insert(out.end(), message.begin(), message.end());
}

}  // namespace mothrack::dns
