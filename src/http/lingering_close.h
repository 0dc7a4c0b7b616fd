// Closes a client connection without losing its last response: sends a half-close, then reads and discards
// what still arrives until the client closes. Closing a socket with unread bytes sends an RST, which may
// destroy the end of the response (RFC 9112 section 9.6).
//
// Owned by a ClientConnection, used on its thread. The connection limits how many bytes are discarded. Socket
// errors are ignored, because the socket is closed next.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>

namespace mothrack::http {

// Bound on the bytes discarded after the last response. A client that keeps sending beyond it gets an RST,
// because reading megabytes only to discard them would waste processor time. The same bound applies to bytes
// that arrive after a request while it is being served.
inline constexpr std::size_t kMaxLingerBytes = std::size_t{256} * 1024;

class LingeringClose {
 public:
  explicit LingeringClose(boost::asio::ip::tcp::socket& socket) : socket_(socket) {}

  // Half-closes after the last response and starts counting discarded bytes.
  void Begin();
  // Half-closes without a preceding response.
  void ShutdownSend();

  // Counts bytes that were read and belong to no request.
  void CountDiscarded(std::size_t bytes) { discarded_bytes_ += bytes; }
  std::size_t discarded_bytes() const { return discarded_bytes_; }

  // Reads and discards pending bytes, up to kMaxLingerBytes in total, since unread bytes would turn a close
  // into an RST.
  void DiscardUnread();

 private:
  boost::asio::ip::tcp::socket& socket_;
  std::size_t discarded_bytes_ = 0;  // after the current request, or since the last response
};

}  // namespace mothrack::http
