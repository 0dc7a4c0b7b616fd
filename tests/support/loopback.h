// IPv4 loopback addresses and sockets for stand-ins, tests and measurements. Plain functions without state:
// any thread may call them. Ports are in host byte order.
#pragma once

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>

namespace mothrack::testing {

// 127.0.0.1 and `port`; as the address of a bind, port 0 lets the system choose one.
inline sockaddr_in LoopbackAddress(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

// Binds an IPv4 socket to the loopback address; false leaves the reason in errno.
inline bool BindLoopback(int fd, std::uint16_t port) {
  const sockaddr_in address = LoopbackAddress(port);
  return ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
}

// The local port of an IPv4 socket; 0 if it has none.
inline std::uint16_t LocalPort(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  return ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) == 0 ? ntohs(address.sin_port) : 0;
}

// A blocking socket of `type` (SOCK_STREAM, SOCK_DGRAM), closed on exec and connected to `port`. The
// caller closes it. Returns -1 if the connection fails.
inline int ConnectLoopback(int type, std::uint16_t port) {
  const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
  if (fd < 0) return -1;
  const sockaddr_in address = LoopbackAddress(port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) return fd;
  ::close(fd);
  return -1;
}

}  // namespace mothrack::testing
