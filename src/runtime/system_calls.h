// System calls on non-blocking sockets, repeated on EINTR. EINTR is no error of the socket: treating it as
// one would close a connection although a request was read from it. Other errors are returned unchanged. All
// functions may be called on any thread.
#pragma once

#include <poll.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <cerrno>
#include <cstddef>
#include <optional>
#include <vector>

namespace mothrack::runtime {

// Returns which of `events` (poll(2)) are set for the descriptor now, and also errors and hang-ups. Returns
// nothing if the kernel can't tell (ENOMEM).
inline std::optional<short> PollNow(int descriptor, short events) {
  pollfd polled{descriptor, events, 0};
  int ready = 0;
  do {
    ready = ::poll(&polled, 1, 0);
  } while (ready < 0 && errno == EINTR);
  if (ready < 0) return std::nullopt;
  return ready == 1 ? polled.revents : short{0};
}

// The same for many descriptors: sets `revents` of each. Returns false if there is none with an event.
inline bool PollNow(std::vector<pollfd>& polled) {
  int ready = 0;
  do {
    ready = ::poll(polled.data(), polled.size(), 0);
  } while (ready < 0 && errno == EINTR);
  return ready > 0;
}

// Calls socket.read_some(). The socket must be non-blocking.
template <typename Socket, typename Buffers>
std::size_t ReadSome(Socket& socket, const Buffers& buffers, boost::system::error_code& error) {
  std::size_t size = 0;
  do {
    size = socket.read_some(buffers, error);
  } while (error == boost::asio::error::interrupted);
  return size;
}

// Calls socket.write_some(). The socket must be non-blocking.
template <typename Socket, typename Buffers>
std::size_t WriteSome(Socket& socket, const Buffers& buffers, boost::system::error_code& error) {
  std::size_t size = 0;
  do {
    size = socket.write_some(buffers, error);
  } while (error == boost::asio::error::interrupted);
  return size;
}

// Copies what can be read (MSG_PEEK) from a non-blocking socket and returns its size. Without an error there
// is something to read. The error would_block means that there is nothing to read and that the connection is
// open.
template <typename Socket, typename Buffers>
std::size_t Peek(Socket& socket, const Buffers& buffers, boost::system::error_code& error) {
  std::size_t size = 0;
  do {
    size = socket.receive(buffers, Socket::message_peek, error);
  } while (error == boost::asio::error::interrupted);
  return error ? 0 : size;
}

// The same for one byte, whose value does not matter.
template <typename Socket>
void PeekByte(Socket& socket, boost::system::error_code& error) {
  char byte = 0;
  Peek(socket, boost::asio::buffer(&byte, 1), error);
}

// Configures an accepted connection: TCP_NODELAY, non-blocking. Errors are ignored, since a socket that fails
// here fails at its first read or write too.
template <typename Socket>
void ConfigureAccepted(Socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  socket.non_blocking(true, ignored);
}

inline bool WouldBlock(const boost::system::error_code& error) {
  return error == boost::asio::error::would_block || error == boost::asio::error::try_again;
}

}  // namespace mothrack::runtime
