// System calls on sockets that never block, made again where a signal interrupted them: EINTR says nothing of
// the socket, and whoever took it for an error would close a connection over a request that it had read.
// Errors come back as the system has them; functions of any thread.
#pragma once

#include <poll.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <cerrno>
#include <cstddef>
#include <optional>

namespace mothrack::runtime {

// The events among `events` (poll(2)) that hold for the descriptor now, errors and hang-ups included; absent
// where the system can't tell (ENOMEM).
inline std::optional<short> PollNow(int descriptor, short events) {
  pollfd polled{descriptor, events, 0};
  int ready = 0;
  do {
    ready = ::poll(&polled, 1, 0);
  } while (ready < 0 && errno == EINTR);
  if (ready < 0) return std::nullopt;
  return ready == 1 ? polled.revents : short{0};
}

// As socket.read_some(), on a socket that does not block.
template <typename Socket, typename Buffers>
std::size_t ReadSome(Socket& socket, const Buffers& buffers, boost::system::error_code& error) {
  std::size_t size = 0;
  do {
    size = socket.read_some(buffers, error);
  } while (error == boost::asio::error::interrupted);
  return size;
}

// As socket.write_some(), on a socket that does not block.
template <typename Socket, typename Buffers>
std::size_t WriteSome(Socket& socket, const Buffers& buffers, boost::system::error_code& error) {
  std::size_t size = 0;
  do {
    size = socket.write_some(buffers, error);
  } while (error == boost::asio::error::interrupted);
  return size;
}

// As socket.receive() of one byte that stays where it is, on a socket that does not block. No error: there is
// something to read; would_block: there is not, and the connection stands.
template <typename Socket>
void PeekByte(Socket& socket, boost::system::error_code& error) {
  char byte = 0;
  do {
    socket.receive(boost::asio::buffer(&byte, 1), Socket::message_peek, error);
  } while (error == boost::asio::error::interrupted);
}

// How a connection that was accepted is used here: small messages leave at once (TCP_NODELAY), and no call on
// it blocks. A socket that refuses either is broken, which its first read or write tells.
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
