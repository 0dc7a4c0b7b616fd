// Plain sockets and small topologies for the tests of FaultyRelay, in place of processes at each end of a
// link. Failures to send, connect or listen fail the test. Not thread-safe, except Write().
#pragma once

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gtest/gtest.h"
#include "standins/faulty_relay.h"
#include "support/loopback.h"

namespace mothrack::testing {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr milliseconds kTimeout(10'000);  // for data that must arrive
constexpr milliseconds kQuietTime(
    150);  // for data that must not arrive; over loopback it would take far less

// A socket that is closed with the object.
class Socket {
 public:
  explicit Socket(int fd) : fd_(fd) {}
  Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Socket& operator=(Socket&&) = delete;
  ~Socket() { Close(); }
  void Close() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }
  int fd() const { return fd_; }
  std::uint16_t port() const { return LocalPort(fd_); }
  bool Ready(milliseconds timeout) const {
    pollfd waiting{fd_, POLLIN, 0};
    return ::poll(&waiting, 1, static_cast<int>(timeout.count())) > 0;
  }

 private:
  int fd_;
};

// A UDP socket on a port of loopback.
class Udp : public Socket {
 public:
  Udp() : Socket(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0)) {
    EXPECT_TRUE(BindLoopback(fd(), 0));
    const int buffer = 1 << 21;
    ::setsockopt(fd(), SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
  }
  void Send(std::uint16_t port, const std::string& bytes) const {
    const sockaddr_in to = LoopbackAddress(port);
    EXPECT_EQ(
        ::sendto(fd(), bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&to), sizeof to),
        static_cast<ssize_t>(bytes.size()));
  }
  std::optional<std::string> Receive(milliseconds timeout = kTimeout) {
    if (!Ready(timeout)) return std::nullopt;
    char bytes[65'536];
    sockaddr_in from{};
    socklen_t size = sizeof from;
    const ssize_t got = ::recvfrom(fd(), bytes, sizeof bytes, 0, reinterpret_cast<sockaddr*>(&from), &size);
    if (got < 0) return std::nullopt;
    from_ = ntohs(from.sin_port);
    return std::string(bytes, static_cast<std::size_t>(got));
  }
  std::uint16_t from() const { return from_; }  // sender's port of the last datagram

 private:
  std::uint16_t from_ = 0;
};

// A TCP socket that listens on a port of loopback.
inline Socket Listener() {
  Socket listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  EXPECT_TRUE(BindLoopback(listener.fd(), 0));
  EXPECT_EQ(::listen(listener.fd(), 16), 0);
  return listener;
}

// A TCP connection to `port` of loopback.
inline Socket Connect(std::uint16_t port) {
  Socket socket(ConnectLoopback(SOCK_STREAM, port));
  EXPECT_GE(socket.fd(), 0);
  return socket;
}

// Waits for the next connection.
inline Socket Accept(const Socket& listener) {
  EXPECT_TRUE(listener.Ready(kTimeout));
  return Socket(::accept4(listener.fd(), nullptr, nullptr, SOCK_CLOEXEC));
}

// Sends all of `bytes`; blocks while the send buffer is full.
inline void Write(const Socket& socket, const std::string& bytes) {
  EXPECT_EQ(::send(socket.fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL),
            static_cast<ssize_t>(bytes.size()));
}

// The result of one read: bytes, nothing before the timeout, the end of the stream, or an error such as a
// reset.
enum class ReadResult { kBytes, kTimedOut, kEnd, kReset };

// Reads the available bytes once and appends them to `bytes`.
inline ReadResult ReadOnce(const Socket& socket, milliseconds timeout = kTimeout,
                           std::string* bytes = nullptr) {
  if (!socket.Ready(timeout)) return ReadResult::kTimedOut;
  char buffer[65'536];
  const ssize_t got = ::recv(socket.fd(), buffer, sizeof buffer, 0);
  if (got > 0 && bytes != nullptr) bytes->append(buffer, static_cast<std::size_t>(got));
  if (got > 0) return ReadResult::kBytes;
  return got == 0 ? ReadResult::kEnd : ReadResult::kReset;
}

// Three UDP endpoints in two zones.
struct ThreeEndpoints {
  explicit ThreeEndpoints(std::uint64_t seed = 1) : relay(seed) {
    relay.AddEndpoint("a", {"bole"}, a.port());
    relay.AddEndpoint("b", {"bole"}, b.port());
    relay.AddEndpoint("c", {"kality"}, c.port());
  }
  // The port at which the relay serves this endpoint.
  std::uint16_t port_of(const std::string& name) const { return relay.advertised_port(name); }

  Udp a, b, c;
  FaultyRelay relay;
};

// Sends `count` numbered datagrams from a to b, slowly enough that no buffer overflows; returns those that
// arrive.
inline std::vector<int> SendAndCollect(ThreeEndpoints& udp, int count) {
  std::vector<int> received;
  for (int i = 0; i < count; ++i) {
    udp.a.Send(udp.port_of("b"), std::to_string(i));
    if (i % 50 == 49) std::this_thread::sleep_for(milliseconds(1));
  }
  while (udp.relay.counts("a", "b").received < static_cast<std::uint64_t>(count))
    std::this_thread::sleep_for(milliseconds(1));
  while (const auto got = udp.b.Receive(kQuietTime)) received.push_back(std::stoi(*got));
  return received;
}

// Endpoint a for a TCP client, which connects to `port`, and endpoint b for its server, which listens.
struct TcpPair {
  TcpPair() {
    relay.AddEndpoint("a", {"bole"});
    relay.AddEndpoint("b", {"kality"});
    port = relay.AddTcpPort("a", "b", listener.port());
  }
  Socket listener = Listener();
  FaultyRelay relay;
  std::uint16_t port = 0;
};

}  // namespace mothrack::testing
