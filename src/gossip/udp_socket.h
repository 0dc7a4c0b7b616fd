// The gossip task's UDP socket: bound, non-blocking, closed with the object.
#pragma once

#include <boost/asio/ip/udp.hpp>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

#include "runtime/address.h"

namespace mothrack::gossip {

// Result of a system call.
enum class IoStatus : std::uint8_t {
  kDone,
  kWouldBlock,
  kInterrupted,  // by a signal; may be retried
  kFailed,
};

// Used on the task's thread only, except local().
class UdpSocket {
 public:
  // Throws ResourceError if the kernel provides no socket, TaskError if `listen` cannot be bound.
  explicit UdpSocket(const runtime::Endpoint& listen);
  ~UdpSocket();
  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;

  struct Received {
    IoStatus status = IoStatus::kFailed;
    int error = 0;                   // errno; 0 for kDone
    std::string_view datagram = {};  // for kDone; points into the buffer, truncated to its size
    runtime::Endpoint from = {};     // for kDone
  };
  Received Receive(std::span<char> buffer) const;

  struct Sent {
    IoStatus status = IoStatus::kFailed;
    int error = 0;  // errno; 0 for kDone
  };
  Sent Send(std::string_view datagram, const runtime::Endpoint& to) const;

  int fd() const { return fd_; }
  // The bound address, with the port that the kernel chose.
  runtime::Endpoint local() const;

 private:
  const int fd_;
};

}  // namespace mothrack::gossip
