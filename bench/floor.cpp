// bench_floor udp|stream UPSTREAM_PORT: a minimal relay, which shows the least cost of relaying messages on
// this machine. It has one thread and one epoll loop. Over UDP it parses only the id of a message, which it
// replaces and restores; over a stream (HTTP, DNS over TCP) it parses nothing. It listens on a free loopback
// port and prints that port.
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

int OpenSocket(int type) { return ::socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0); }

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
  // A query without an answer: its client, and the id that the client used.
  struct PendingQuery {
    sockaddr_in client;
    std::uint16_t id;
  };
  std::vector<PendingQuery> pending(65536);  // by the id that the relay uses
  std::uint16_t next_id = 0;
  const int frontend = OpenSocket(SOCK_DGRAM);
  Bind(frontend, 0);
  const int upstream = OpenSocket(SOCK_DGRAM);
  const sockaddr_in upstream_address = LoopbackAddress(upstream_port);
  ::connect(upstream, reinterpret_cast<const sockaddr*>(&upstream_address), sizeof upstream_address);
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
        const ssize_t received = from_client ? ::recvfrom(frontend, bytes.data(), bytes.size(), 0,
                                                          reinterpret_cast<sockaddr*>(&from), &size)
                                             : ::recv(upstream, bytes.data(), bytes.size(), 0);
        if (received < 2) break;
        if (from_client) {
          const std::uint16_t id = next_id++;
          std::memcpy(&pending[id].id, bytes.data(), 2);
          pending[id].client = from;
          std::memcpy(bytes.data(), &id, 2);
          ::send(upstream, bytes.data(), static_cast<std::size_t>(received), 0);
        } else {
          std::uint16_t id = 0;
          std::memcpy(&id, bytes.data(), 2);
          std::memcpy(bytes.data(), &pending[id].id, 2);
          ::sendto(frontend, bytes.data(), static_cast<std::size_t>(received), 0,
                   reinterpret_cast<const sockaddr*>(&pending[id].client), sizeof pending[id].client);
        }
      }
    }
  }
}

// Opens one upstream connection for each client connection. It does not handle partial sends, because all
// messages of the benchmark fit the system's socket buffers.
int RelayStreams(std::uint16_t upstream_port) {
  std::vector<int> peers(65536, -1);  // by descriptor: the descriptor of the other side, or -1
  const int listening = OpenSocket(SOCK_STREAM);
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
        const sockaddr_in upstream_address = LoopbackAddress(upstream_port);
        ::connect(upstream, reinterpret_cast<const sockaddr*>(&upstream_address), sizeof upstream_address);
        ::fcntl(upstream, F_SETFL, O_NONBLOCK);
        const int on = 1;
        for (const int socket : {client, upstream})
          ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        peers[static_cast<std::size_t>(client)] = upstream;
        peers[static_cast<std::size_t>(upstream)] = client;
        Watch(epoll, client);
        Watch(epoll, upstream);
        continue;
      }
      const int peer = peers[static_cast<std::size_t>(fd)];
      if (peer < 0) continue;
      const ssize_t received = ::recv(fd, bytes.data(), bytes.size(), 0);
      if (received < 0 && errno == EAGAIN) continue;
      if (received <= 0) {
        peers[static_cast<std::size_t>(fd)] = peers[static_cast<std::size_t>(peer)] = -1;
        ::close(fd);
        ::close(peer);
        continue;
      }
      ::send(peer, bytes.data(), static_cast<std::size_t>(received), MSG_NOSIGNAL);
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
