// bench_floor udp|stream UPSTREAM_PORT: a minimal relay, which shows the least cost of carrying messages on
// this machine. It has one thread and one epoll loop, and parses only what relaying needs: over UDP the id,
// which it replaces and restores; over a stream (HTTP, DNS over TCP) nothing. Listens on a free loopback port
// and prints it.
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>
#include <vector>

#include "support/loopback.h"

namespace {

using mothrack::testing::BindLoopback;
using mothrack::testing::LocalPort;
using mothrack::testing::LoopbackAddress;

int Open(int type) { return ::socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0); }

void Bind(int fd, std::uint16_t port) {
  if (!BindLoopback(fd, port)) std::exit(1);
}

void PrintPort(int fd) {
  std::printf("%d\n", LocalPort(fd));
  std::fflush(stdout);
}

void Watch(int epoll, int fd) {
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.fd = fd;
  ::epoll_ctl(epoll, EPOLL_CTL_ADD, fd, &event);
}

int RelayDatagrams(std::uint16_t upstream_port) {
  struct Open {
    sockaddr_in client;
    std::uint16_t id;
  };
  std::vector<Open> open(65536);
  std::uint16_t next = 0;
  const int frontend = ::Open(SOCK_DGRAM);
  Bind(frontend, 0);
  const int upstream = ::Open(SOCK_DGRAM);
  const sockaddr_in to = LoopbackAddress(upstream_port);
  ::connect(upstream, reinterpret_cast<const sockaddr*>(&to), sizeof to);
  const int epoll = ::epoll_create1(EPOLL_CLOEXEC);
  Watch(epoll, frontend);
  Watch(epoll, upstream);
  PrintPort(frontend);
  std::array<std::uint8_t, 65536> bytes{};
  while (true) {
    epoll_event events[16];
    const int ready = ::epoll_wait(epoll, events, 16, -1);
    for (int i = 0; i < ready; ++i) {
      const bool from_client = events[i].data.fd == frontend;
      while (true) {
        sockaddr_in from{};
        socklen_t size = sizeof from;
        const ssize_t got = from_client ? ::recvfrom(frontend, bytes.data(), bytes.size(), 0,
                                                     reinterpret_cast<sockaddr*>(&from), &size)
                                        : ::recv(upstream, bytes.data(), bytes.size(), 0);
        if (got < 2) break;
        if (from_client) {
          const std::uint16_t id = next++;
          std::memcpy(&open[id].id, bytes.data(), 2);
          open[id].client = from;
          std::memcpy(bytes.data(), &id, 2);
          ::send(upstream, bytes.data(), static_cast<std::size_t>(got), 0);
        } else {
          std::uint16_t id = 0;
          std::memcpy(&id, bytes.data(), 2);
          std::memcpy(bytes.data(), &open[id].id, 2);
          ::sendto(frontend, bytes.data(), static_cast<std::size_t>(got), 0,
                   reinterpret_cast<const sockaddr*>(&open[id].client), sizeof open[id].client);
        }
      }
    }
  }
}

// Opens one upstream connection for each client connection. All messages here fit the system's socket
// buffers.
int RelayStreams(std::uint16_t upstream_port) {
  std::vector<int> other(65536, -1);
  const int listening = ::Open(SOCK_STREAM);
  Bind(listening, 0);
  ::listen(listening, 512);
  const int epoll = ::epoll_create1(EPOLL_CLOEXEC);
  Watch(epoll, listening);
  PrintPort(listening);
  std::array<std::uint8_t, 65536> bytes{};
  while (true) {
    epoll_event events[64];
    const int ready = ::epoll_wait(epoll, events, 64, -1);
    for (int i = 0; i < ready; ++i) {
      const int fd = events[i].data.fd;
      if (fd == listening) {
        const int client = ::accept4(listening, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (client < 0) continue;
        const int upstream = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in to = LoopbackAddress(upstream_port);
        ::connect(upstream, reinterpret_cast<const sockaddr*>(&to), sizeof to);
        ::fcntl(upstream, F_SETFL, O_NONBLOCK);
        const int on = 1;
        for (const int s : {client, upstream}) ::setsockopt(s, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        other[static_cast<std::size_t>(client)] = upstream;
        other[static_cast<std::size_t>(upstream)] = client;
        Watch(epoll, client);
        Watch(epoll, upstream);
        continue;
      }
      const int to = other[static_cast<std::size_t>(fd)];
      if (to < 0) continue;
      const ssize_t got = ::recv(fd, bytes.data(), bytes.size(), 0);
      if (got < 0 && errno == EAGAIN) continue;
      if (got <= 0) {
        other[static_cast<std::size_t>(fd)] = other[static_cast<std::size_t>(to)] = -1;
        ::close(fd);
        ::close(to);
        continue;
      }
      ::send(to, bytes.data(), static_cast<std::size_t>(got), MSG_NOSIGNAL);
    }
  }
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    std::fprintf(stderr, "usage: bench_floor udp|stream UPSTREAM_PORT\n");
    return 2;
  }
  const auto port = static_cast<std::uint16_t>(std::atoi(argv[2]));
  return std::string(argv[1]) == "udp" ? RelayDatagrams(port) : RelayStreams(port);
}
