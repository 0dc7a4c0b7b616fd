// A loopback port that is closed for UDP and TCP and stays so.
#pragma once

#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <stdexcept>
#include <string>

#include "support/loopback.h"

namespace mothrack::testing {

// Holds the port for both protocols, so that the kernel assigns it to no other socket; a TCP socket leaves
// the port free for UDP. Connections are refused, since the TCP socket doesn't listen. Datagrams are
// refused (ICMP port unreachable), since the UDP socket is connected to its own address: it receives only
// what it sends itself, which is nothing.
class ClosedPort {
 public:
  ClosedPort() {
    constexpr int kMaxAttempts = 50;  // a port that is free for UDP may be in use for TCP
    for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
      if (Hold()) return;
      Close();
    }
    throw std::runtime_error("no port free for UDP and TCP");
  }
  ~ClosedPort() { Close(); }
  ClosedPort(const ClosedPort&) = delete;
  ClosedPort& operator=(const ClosedPort&) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  bool Hold() {
    udp_ = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    tcp_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (!BindLoopback(udp_, 0)) return false;
    port_ = LocalPort(udp_);
    const sockaddr_in own = LoopbackAddress(port_);
    return ::connect(udp_, reinterpret_cast<const sockaddr*>(&own), sizeof own) == 0 &&
           BindLoopback(tcp_, port_);
  }
  void Close() {
    for (const int fd : {udp_, tcp_}) {
      if (fd >= 0) ::close(fd);
    }
    udp_ = tcp_ = -1;
  }

  int udp_ = -1;
  int tcp_ = -1;
  std::uint16_t port_ = 0;
};

}  // namespace mothrack::testing
