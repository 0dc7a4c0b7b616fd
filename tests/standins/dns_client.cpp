#include "standins/dns_client.h"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

#include "support/loopback.h"

namespace mothrack::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

bool Readable(int fd, steady_clock::time_point until) {
  const auto left = std::chrono::ceil<milliseconds>(until - steady_clock::now()).count();
  pollfd ready{fd, POLLIN, 0};
  return ::poll(&ready, 1, static_cast<int>(std::max<std::int64_t>(0, left))) > 0;
}

}  // namespace

DnsUdpClient::DnsUdpClient(std::uint16_t port) : fd_(ConnectLoopback(SOCK_DGRAM, port)) {
  const int buffer = 4 << 20;
  ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
}

DnsUdpClient::~DnsUdpClient() { ::close(fd_); }

void DnsUdpClient::Send(const Octets& query) { ::send(fd_, query.data(), query.size(), 0); }

std::optional<Octets> DnsUdpClient::Receive(milliseconds timeout) {
  if (!Readable(fd_, steady_clock::now() + timeout)) return std::nullopt;
  Octets answer(65536);
  const ssize_t size = ::recv(fd_, answer.data(), answer.size(), 0);
  if (size < 0) return std::nullopt;
  answer.resize(static_cast<std::size_t>(size));
  return answer;
}

DnsTcpClient::DnsTcpClient(std::uint16_t port) : fd_(ConnectLoopback(SOCK_STREAM, port)) {
  const int on = 1;
  ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

DnsTcpClient::~DnsTcpClient() {
  if (fd_ >= 0) ::close(fd_);
}

void DnsTcpClient::Send(const Octets& query) {
  Octets frame;
  frame.reserve(2 + query.size());
  frame.push_back(static_cast<std::uint8_t>(query.size() >> 8));
  frame.push_back(static_cast<std::uint8_t>(query.size()));
  frame.insert(frame.end(), query.begin(), query.end());
  SendRaw(frame);
}

void DnsTcpClient::SendRaw(const Octets& bytes) {
  std::size_t at = 0;
  while (at < bytes.size()) {
    const ssize_t sent = ::send(fd_, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
    if (sent <= 0) return;
    at += static_cast<std::size_t>(sent);
  }
}

void DnsTcpClient::EndSending() { ::shutdown(fd_, SHUT_WR); }

bool DnsTcpClient::ReadMore(steady_clock::time_point until) {
  if (ended_ || !Readable(fd_, until)) return false;
  std::uint8_t bytes[65536];
  const ssize_t size = ::recv(fd_, bytes, sizeof bytes, 0);
  ended_ = size <= 0;
  if (ended_) return false;
  read_.insert(read_.end(), bytes, bytes + size);
  return true;
}

std::optional<Octets> DnsTcpClient::Receive(milliseconds timeout) {
  const auto until = steady_clock::now() + timeout;
  while (true) {
    if (read_.size() >= 2) {
      const std::size_t size = std::size_t{read_[0]} << 8 | read_[1];
      if (read_.size() >= 2 + size) {
        const Octets answer(read_.begin() + 2, read_.begin() + 2 + static_cast<std::ptrdiff_t>(size));
        read_.erase(read_.begin(), read_.begin() + 2 + static_cast<std::ptrdiff_t>(size));
        return answer;
      }
    }
    if (!ReadMore(until)) return std::nullopt;
  }
}

bool DnsTcpClient::ReadsEnd(milliseconds timeout) {
  const auto until = steady_clock::now() + timeout;
  while (ReadMore(until)) {
  }
  return ended_ && read_.empty();
}

}  // namespace mothrack::testing
