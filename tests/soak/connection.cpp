#include "soak/connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace mothrack::soak {
namespace {

constexpr std::size_t kReadSize = 16384;

int MillisecondsUntil(TimePoint deadline) {
  const auto left = std::chrono::duration_cast<Milliseconds>(deadline - Clock::now()).count();
  return static_cast<int>(std::max<std::int64_t>(left, 0));
}

}  // namespace

Connection::Connection(Connection&& other) noexcept : descriptor_(std::exchange(other.descriptor_, -1)) {}

Connection& Connection::operator=(Connection&& other) noexcept {
  if (this == &other) return *this;
  Close();
  descriptor_ = std::exchange(other.descriptor_, -1);
  return *this;
}

Connection Connection::To(std::uint16_t port) {
  Connection connection(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const int one = 1;
  ::setsockopt(connection.descriptor_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (::connect(connection.descriptor_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    connection.Close();
  }
  return connection;
}

bool Connection::Await(short events, TimePoint deadline) const {
  pollfd polled{descriptor_, events, 0};
  return ::poll(&polled, 1, MillisecondsUntil(deadline)) > 0;
}

bool Connection::Send(std::string_view bytes, TimePoint deadline) {
  while (!bytes.empty()) {
    const ssize_t size = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (size > 0) bytes.remove_prefix(static_cast<std::size_t>(size));
    if (size < 0 && errno != EAGAIN && errno != EINTR) return false;
    if (size < 0 && !Await(POLLOUT, deadline)) return false;
  }
  return true;
}

Connection::Received Connection::Receive(std::string& to, std::size_t size, TimePoint deadline) {
  if (!Await(POLLIN, deadline)) return Received::kDeadline;
  std::string piece(size, '\0');
  const ssize_t received = ::recv(descriptor_, piece.data(), size, 0);
  if (received <= 0) return Received::kEnd;
  to.append(piece, 0, static_cast<std::size_t>(received));
  return Received::kBytes;
}

TimePoint Connection::LastReceivedAt() const {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(descriptor_, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return Clock::now();
  return Clock::now() - Milliseconds(info.tcpi_last_data_recv);
}

void Connection::Close() {
  if (is_open()) ::close(std::exchange(descriptor_, -1));
}

void Connection::Reset() {
  const linger immediate{1, 0};
  ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &immediate, sizeof immediate);
  Close();
}

void Connection::CloseWithReset() {
  const linger immediate{1, 0};
  ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &immediate, sizeof immediate);
}

void Connection::EndWithReset() {
  CloseWithReset();
  ::shutdown(descriptor_, SHUT_RD);
}

std::string FieldOf(const std::string& head, const std::string& name) {
  for (std::size_t at = head.find("\r\n"); at != std::string::npos; at = head.find("\r\n", at + 2)) {
    const std::size_t begin = at + 2;
    if (::strncasecmp(head.c_str() + begin, name.c_str(), name.size()) != 0) continue;
    if (head[begin + name.size()] != ':') continue;
    const std::size_t end = head.find("\r\n", begin);
    const std::size_t value = head.find_first_not_of(' ', begin + name.size() + 1);
    return head.substr(value, end - value);
  }
  return "";
}

bool ResponseParser::ReadMore(Connection& connection, TimePoint deadline) {
  const auto received = connection.Receive(buffer_, kReadSize, deadline);
  if (received == Connection::Received::kEnd) ended_ = true;
  return received == Connection::Received::kBytes;
}

ResponseParser::Response ResponseParser::Read(Connection& connection, TimePoint deadline) {
  Response response;
  Result& result = response.result;
  std::string head;
  do {
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (ReadMore(connection, deadline)) continue;
      const bool closed_idle = ended_ && buffer_.empty();
      result.kind = closed_idle ? Result::Kind::kIdleClose : Result::Kind::kNoAnswer;
      result.at = Clock::now();
      return response;
    }
    head = buffer_.substr(0, end + 4);
    buffer_.erase(0, end + 4);
    result.status = static_cast<unsigned>(std::atoi(head.c_str() + std::string("HTTP/1.1 ").size()));
  } while (result.status / 100 == 1);
  result.at = Clock::now();
  const bool whole = ReadBody(connection, head, deadline, response.body);
  result.kind = whole ? Result::Kind::kAnswered : Result::Kind::kTruncated;
  response.keeps_connection = whole && ::strcasecmp(FieldOf(head, "Connection").c_str(), "close") != 0;
  return response;
}

bool ResponseParser::ReadBody(Connection& connection, const std::string& head, TimePoint deadline,
                              std::string& body) {
  if (FieldOf(head, "Transfer-Encoding") == "chunked") return ReadChunks(connection, deadline, body);
  const std::string length = FieldOf(head, "Content-Length");
  const std::size_t size = length.empty() ? std::string::npos : std::stoul(length);
  while (buffer_.size() < size && ReadMore(connection, deadline)) {
  }
  const std::size_t available = std::min(size, buffer_.size());
  body = buffer_.substr(0, available);
  buffer_.erase(0, available);
  return length.empty() ? ended_ : available == size;
}

bool ResponseParser::ReadChunks(Connection& connection, TimePoint deadline, std::string& body) {
  while (true) {
    std::size_t line = 0;
    while ((line = buffer_.find("\r\n")) == std::string::npos) {
      if (!ReadMore(connection, deadline)) return false;
    }
    const std::size_t size = std::stoul(buffer_, nullptr, 16);
    while (buffer_.size() < line + 2 + size + 2) {
      if (ReadMore(connection, deadline)) continue;
      body += buffer_.substr(line + 2, size);
      return false;
    }
    body += buffer_.substr(line + 2, size);
    buffer_.erase(0, line + 2 + size + 2);
    if (size == 0) return true;
  }
}

}  // namespace mothrack::soak
