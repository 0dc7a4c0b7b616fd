#include "gossip/udp_socket.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

#include "gossip/settings.h"
#include "gossip/task_error.h"
#include "gossip/task_log.h"

namespace mothrack::gossip {
namespace {

using Udp = boost::asio::ip::udp;

IoStatus StatusOf(int error) {
  if (error == EAGAIN || error == EWOULDBLOCK) return IoStatus::kWouldBlock;
  return error == EINTR ? IoStatus::kInterrupted : IoStatus::kFailed;
}

}  // namespace

UdpSocket::UdpSocket(const runtime::Endpoint& listen)
    : fd_(::socket(listen.protocol().family(), SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
  if (fd_ < 0) throw ResourceError("cannot create a socket: " + ErrorText(errno));
  const Udp::endpoint address(listen.address(), listen.port());
  if (::bind(fd_, address.data(), static_cast<socklen_t>(address.size())) != 0) {
    const int error = errno;
    ::close(fd_);
    throw TaskError("peers.listen: " + ToText(listen) + ": " + ErrorText(error) +
                    "; free the address, or name another");
  }
}

UdpSocket::~UdpSocket() { ::close(fd_); }

UdpSocket::Received UdpSocket::Receive(std::span<char> buffer) const {
  Udp::endpoint from;
  auto from_size = static_cast<socklen_t>(from.capacity());
  const ssize_t size = ::recvfrom(fd_, buffer.data(), buffer.size(), 0, from.data(), &from_size);
  if (size < 0) {
    const int error = errno;
    return {.status = StatusOf(error), .error = error};
  }
  from.resize(from_size);
  return {.status = IoStatus::kDone,
          .datagram = {buffer.data(), static_cast<std::size_t>(size)},
          .from = {from.address(), from.port()}};
}

UdpSocket::Sent UdpSocket::Send(std::string_view datagram, const runtime::Endpoint& to) const {
  const Udp::endpoint address(to.address(), to.port());
  const auto address_size = static_cast<socklen_t>(address.size());
  if (::sendto(fd_, datagram.data(), datagram.size(), 0, address.data(), address_size) >= 0) {
    return {.status = IoStatus::kDone};
  }
  const int error = errno;
  return {.status = StatusOf(error), .error = error};
}

runtime::Endpoint UdpSocket::local() const {
  Udp::endpoint address;
  auto size = static_cast<socklen_t>(address.capacity());
  if (::getsockname(fd_, address.data(), &size) == 0) address.resize(size);
  return {address.address(), address.port()};
}

}  // namespace mothrack::gossip
