// The gossip task's UDP socket: bound, non-blocking, closed with the object.
#pragma once

#include <boost/asio/ip/udp.hpp>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

#include "runtime/address.h"

namespace mothrack::gossip {

enum class IoStatus : std::uint8_t {
  kDone,
  kWouldBlock,
  kInterrupted,  // by a signal; may be tried again
  kFailed,
};

// Not thread-safe but for local().
class UdpSocket {
 public:
  // Throws ResourceError where the system gives no socket, TaskError where `listen` cannot be bound.
  explicit UdpSocket(const runtime::Endpoint& listen);
  ~UdpSocket();
  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;

  struct Received {
    IoStatus status = IoStatus::kFailed;
    int error = 0;                   // errno; 0 of kDone
    std::string_view datagram = {};  // of kDone; within the buffer, and cut to its size
    runtime::Endpoint from = {};     // of kDone
  };
  Received Receive(std::span<char> buffer) const;

  struct Sent {
    IoStatus status = IoStatus::kFailed;
    int error = 0;  // errno; 0 of kDone
  };
  Sent Send(std::string_view datagram, const runtime::Endpoint& to) const;

  int fd() const { return fd_; }
  // The address that it is bound to, with the port that the system picked.
  runtime::Endpoint local() const;

 private:
  const int fd_;
};

}  // namespace mothrack::gossip
