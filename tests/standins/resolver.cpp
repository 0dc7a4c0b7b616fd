#include "standins/resolver.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <utility>

#include "support/loopback.h"

namespace mothrack::testing {
namespace {

void Watch(int epoll, int fd) {
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.fd = fd;
  ::epoll_ctl(epoll, EPOLL_CTL_ADD, fd, &event);
}

Octets Framed(const Octets& message) {
  Octets frame;
  frame.reserve(2 + message.size());
  frame.push_back(static_cast<std::uint8_t>(message.size() >> 8));
  frame.push_back(static_cast<std::uint8_t>(message.size()));
  frame.insert(frame.end(), message.begin(), message.end());
  return frame;
}

}  // namespace

StandinResolver::StandinResolver(Script script, bool tcp, std::uint16_t port) : script_(std::move(script)) {
  // Looks for a port that is free for both UDP and TCP.
  for (int i = 0; i < 50; ++i) {
    udp_ = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (!BindLoopback(udp_, port))
      throw std::runtime_error("the stand-in resolver cannot bind its UDP socket");
    port_ = LocalPort(udp_);
    listening_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listening_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (BindLoopback(listening_, port_)) break;
    ::close(udp_);
    ::close(listening_);
    udp_ = listening_ = -1;
  }
  if (udp_ < 0)
    throw std::runtime_error("the stand-in resolver found no port that is free for both UDP and TCP");
  const int buffer = 4 << 20;
  ::setsockopt(udp_, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
  epoll_ = ::epoll_create1(EPOLL_CLOEXEC);
  wake_ = ::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
  Watch(epoll_, wake_);
  Watch(epoll_, udp_);
  if (tcp) {
    ::listen(listening_, 512);
    Watch(epoll_, listening_);
  }
  thread_ = std::thread([this] { Loop(); });
}

StandinResolver::~StandinResolver() {
  stopping_ = true;
  const std::uint64_t one = 1;
  [[maybe_unused]] const auto written = ::write(wake_, &one, sizeof one);
  thread_.join();
  for (const auto& [fd, connection] : open_) ::close(fd);
  for (const int fd : {udp_, listening_, epoll_, wake_}) ::close(fd);
}

void StandinResolver::SetScript(Script script) {
  const std::lock_guard lock(mutex_);
  script_ = std::move(script);
}

std::vector<StandinResolver::RecordedQuery> StandinResolver::seen() const {
  const std::lock_guard lock(mutex_);
  return seen_;
}

void StandinResolver::Loop() {
  while (!stopping_) {
    int wait = 1000;
    if (!delayed_.empty()) {
      const auto left = delayed_.begin()->first - std::chrono::steady_clock::now();
      wait = static_cast<int>(
          std::max<std::int64_t>(0, std::chrono::ceil<std::chrono::milliseconds>(left).count()));
    }
    epoll_event events[64];
    const int ready = ::epoll_wait(epoll_, events, 64, wait);
    const auto now = std::chrono::steady_clock::now();
    while (!delayed_.empty() && delayed_.begin()->first <= now) {
      const DelayedAnswer answer = delayed_.begin()->second;
      delayed_.erase(delayed_.begin());
      const auto it = open_.find(answer.fd);
      const bool connected = answer.number < 0 || (it != open_.end() && it->second.number == answer.number);
      if (connected) SendNow(answer.fd, answer.peer, answer.bytes);
    }
    for (int i = 0; i < ready; ++i) {
      const int fd = events[i].data.fd;
      if (fd == udp_) {
        ReceiveDatagrams();
      } else if (fd == listening_) {
        const int accepted = ::accept4(listening_, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) continue;
        const int on = 1;
        ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        open_[accepted].number = connections_++;
        Watch(epoll_, accepted);
      } else if (fd != wake_) {
        ReceiveBytes(fd);
      }
    }
  }
}

void StandinResolver::ReceiveDatagrams() {
  std::uint8_t bytes[65536];
  for (int i = 0; i < 256; ++i) {
    sockaddr_in from{};
    socklen_t size = sizeof from;
    const ssize_t got = ::recvfrom(udp_, bytes, sizeof bytes, 0, reinterpret_cast<sockaddr*>(&from), &size);
    if (got < 0) return;
    Responder responder(*this);
    responder.fd_ = udp_;
    responder.peer_.resize(size);
    std::memcpy(responder.peer_.data(), &from, size);
    responder.query_.query.assign(bytes, bytes + got);
    responder.query_.from_port = ntohs(from.sin_port);
    ++udp_queries_;
    Handle(responder);
  }
}

void StandinResolver::ReceiveBytes(int fd) {
  std::uint8_t bytes[65536];
  const ssize_t got = ::recv(fd, bytes, sizeof bytes, MSG_DONTWAIT);
  if (got < 0 && (errno == EAGAIN || errno == EINTR)) return;
  if (got <= 0) return CloseConnection(fd);
  Octets& read = open_[fd].read;
  read.insert(read.end(), bytes, bytes + got);
  while (open_.contains(fd) && open_[fd].read.size() >= 2) {
    Octets& buffered = open_[fd].read;
    const std::size_t size = std::size_t{buffered[0]} << 8 | buffered[1];
    if (buffered.size() - 2 < size) return;
    Responder responder(*this);
    responder.fd_ = fd;
    responder.query_.via = Via::kTcp;
    responder.query_.connection = open_[fd].number;
    responder.query_.query.assign(buffered.begin() + 2,
                                  buffered.begin() + 2 + static_cast<std::ptrdiff_t>(size));
    buffered.erase(buffered.begin(), buffered.begin() + 2 + static_cast<std::ptrdiff_t>(size));
    ++tcp_queries_;
    Handle(responder);
  }
}

void StandinResolver::Handle(Responder& responder) {
  responder.query_.at = std::chrono::steady_clock::now();
  Script script;
  {
    const std::lock_guard lock(mutex_);
    responder.number_ = udp_queries_ + tcp_queries_ - 1;
    if (recording_) seen_.push_back(responder.query_);
    script = script_;
  }
  script(responder);
}

void StandinResolver::SendNow(int fd, const std::vector<std::uint8_t>& peer, const Octets& bytes) {
  if (fd == udp_) {
    ::sendto(fd, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(peer.data()),
             static_cast<socklen_t>(peer.size()));
    return;
  }
  std::size_t at = 0;
  while (at < bytes.size()) {
    const ssize_t sent = ::send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
    if (sent <= 0) return;
    at += static_cast<std::size_t>(sent);
  }
}

void StandinResolver::CloseConnection(int fd) {
  open_.erase(fd);
  ::close(fd);
}

void StandinResolver::Responder::Send(const Octets& answer) {
  owner_.SendNow(fd_, peer_, via() == Via::kTcp ? Framed(answer) : answer);
}

void StandinResolver::Responder::SendRaw(const Octets& bytes) { owner_.SendNow(fd_, peer_, bytes); }

void StandinResolver::Responder::Reset() {
  const linger now{1, 0};
  ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  owner_.CloseConnection(fd_);
}

void StandinResolver::Responder::SendAfter(std::chrono::milliseconds delay, const Octets& answer) {
  owner_.delayed_.emplace(
      std::chrono::steady_clock::now() + delay,
      DelayedAnswer{fd_, query_.connection, peer_, via() == Via::kTcp ? Framed(answer) : answer});
}

}  // namespace mothrack::testing
