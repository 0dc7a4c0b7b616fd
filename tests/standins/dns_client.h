// Blocking clients of a DNS server on a loopback port: one over UDP, one over TCP. All waits end after a
// timeout that is far longer than an answer should take.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "standins/dns_wire.h"

namespace mothrack::testing {

constexpr std::chrono::milliseconds kDnsTimeout{15000};

class DnsUdpClient {
 public:
  explicit DnsUdpClient(std::uint16_t port);
  ~DnsUdpClient();
  DnsUdpClient(const DnsUdpClient&) = delete;
  DnsUdpClient& operator=(const DnsUdpClient&) = delete;

  void Send(const Octets& query);
  // Returns the next datagram, or nullopt on timeout.
  std::optional<Octets> Receive(std::chrono::milliseconds timeout = kDnsTimeout);
  std::optional<Octets> Query(const Octets& query) {
    Send(query);
    return Receive();
  }

 private:
  int fd_ = -1;
};

class DnsTcpClient {
 public:
  explicit DnsTcpClient(std::uint16_t port);
  ~DnsTcpClient();
  DnsTcpClient(const DnsTcpClient&) = delete;
  DnsTcpClient& operator=(const DnsTcpClient&) = delete;

  bool connected() const { return fd_ >= 0; }
  void Send(const Octets& query);     // with the length prefix
  void SendRaw(const Octets& bytes);  // without a length prefix
  void EndSending();                  // closes the sending direction
  // Returns the next message, or nullopt on timeout or at the connection's end.
  std::optional<Octets> Receive(std::chrono::milliseconds timeout = kDnsTimeout);
  std::optional<Octets> Query(const Octets& query) {
    Send(query);
    return Receive();
  }
  // Waits until the other side closes. Returns false on timeout or if anything else arrives.
  bool ReadsEnd(std::chrono::milliseconds timeout = kDnsTimeout);

 private:
  bool ReadMore(std::chrono::steady_clock::time_point until);

  int fd_ = -1;
  bool ended_ = false;
  Octets read_;
};

}  // namespace mothrack::testing
