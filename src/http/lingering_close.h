// The end of a client connection whose last response must arrive whole: half-closed first, then what still
// comes is read and dropped until the client closes, since a close over unread bytes resets the connection
// and may take the response's end along (RFC 9112 section 9.6).
//
// Owned by a ClientConnection, on its thread; drops at most so many bytes as the connection allows. Errors of
// the socket are ignored: it is closed next.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>

namespace mothrack::http {

// Whoever sends on for long after the last answer gets the reset: reading megabytes to the end is no service.
// Nor is more than this read behind a request that is being served.
inline constexpr std::size_t kMaxLingerBytes = std::size_t{256} * 1024;

class LingeringClose {
 public:
  explicit LingeringClose(boost::asio::ip::tcp::socket& socket) : socket_(socket) {}

  // After the last response: sends the connection's end, and counts what comes from here on.
  void Begin();
  // Sends the connection's end, without a response before it.
  void ShutdownSend();

  // Counts bytes that were read and are no request's.
  void CountDropped(std::size_t bytes) { dropped_bytes_ += bytes; }
  std::size_t dropped_bytes() const { return dropped_bytes_; }

  // Reads what waits, up to kMaxLingerBytes in all: unread it would make a close a reset.
  void DropUnread();

 private:
  boost::asio::ip::tcp::socket& socket_;
  std::size_t dropped_bytes_ = 0;  // behind a flood's request, or since the last response
};

}  // namespace mothrack::http
