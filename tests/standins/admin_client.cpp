#include "standins/admin_client.h"

#include <poll.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <cstring>

#include "support/loopback.h"

namespace mothrack::testing {
namespace {

constexpr int kTimeoutMs = 15000;

}  // namespace

int AdminClient::Connect() const {
  if (!address_.starts_with("unix:")) {
    const int port = std::stoi(address_.substr(address_.find(':') + 1));
    return ConnectLoopback(SOCK_STREAM, static_cast<std::uint16_t>(port));
  }
  sockaddr_un to{};
  to.sun_family = AF_UNIX;
  std::strncpy(to.sun_path, address_.c_str() + 5, sizeof to.sun_path - 1);
  const int fd = ::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0) return fd;
  ::close(fd);
  return -1;
}

std::optional<AdminAnswer> AdminClient::Raw(const std::string& bytes) const {
  const int fd = Connect();
  if (fd < 0) return std::nullopt;
  std::string text;
  if (::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size())) {
    char part[4096];
    pollfd ready{fd, POLLIN, 0};
    while (::poll(&ready, 1, kTimeoutMs) > 0) {
      const ssize_t got = ::recv(fd, part, sizeof part, 0);
      if (got <= 0) break;
      text.append(part, static_cast<std::size_t>(got));
    }
  }
  ::close(fd);
  const auto end = text.find("\r\n\r\n");
  if (text.rfind("HTTP/1.1 ", 0) != 0 || end == std::string::npos) return std::nullopt;
  AdminAnswer answer;
  answer.status = std::stoi(text.substr(9, 3));
  answer.head = text.substr(0, end);
  answer.body = nlohmann::json::parse(text.substr(end + 4), nullptr, false);
  return answer;
}

std::optional<AdminAnswer> AdminClient::Put(const std::string& target, const std::string& body) const {
  return Raw("PUT " + target + " HTTP/1.1\r\nHost: ops\r\nContent-Length: " + std::to_string(body.size()) +
             "\r\n\r\n" + body);
}

std::optional<AdminAnswer> AdminClient::Request(const std::string& method, const std::string& target) const {
  std::string request = method + ' ' + target + " HTTP/1.1\r\nHost: door\r\n";
  if (!token_.empty()) request += "Authorization: Bearer " + token_ + "\r\n";
  if (method == "POST") request += "Content-Length: 0\r\n";
  return Raw(request + "\r\n");
}

}  // namespace mothrack::testing
