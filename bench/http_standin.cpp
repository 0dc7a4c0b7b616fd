#include "http_standin.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>
#include <string_view>

#include "support/loopback.h"

namespace mothrack::bench {
namespace {

constexpr int kBacklog = 512;
constexpr int kMaxEvents = 64;
constexpr int kStopCheckMs = 50;  // the interval at which the loop checks whether to stop
constexpr std::size_t kReadSize = 16384;
constexpr std::string_view kEndOfHeaders = "\r\n\r\n";

}  // namespace

HttpStandin::HttpStandin() {
  listening_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (!testing::BindLoopback(listening_, 0)) throw std::runtime_error("bind");
  port_ = testing::LocalPort(listening_);
  ::listen(listening_, kBacklog);
  epoll_ = ::epoll_create1(EPOLL_CLOEXEC);
  Watch(listening_);
  thread_ = std::thread([this] { Loop(); });
}

HttpStandin::~HttpStandin() {
  stopping_ = true;
  thread_.join();
  ::close(epoll_);
  ::close(listening_);
}

void HttpStandin::Loop() {
  while (!stopping_) {
    epoll_event events[kMaxEvents];
    const int ready = ::epoll_wait(epoll_, events, kMaxEvents, kStopCheckMs);
    for (int i = 0; i < ready; ++i) {
      const int fd = events[i].data.fd;
      if (fd == listening_) {
        Accept();
      } else {
        Serve(fd);
      }
    }
  }
}

void HttpStandin::Watch(int fd) {
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.fd = fd;
  ::epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event);
}

void HttpStandin::Accept() {
  const int accepted = ::accept4(listening_, nullptr, nullptr, SOCK_CLOEXEC);
  if (accepted < 0) return;
  const int on = 1;
  ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  Watch(accepted);
}

void HttpStandin::Serve(int fd) {
  static const std::string kResponse = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kBodySize) +
                                       "\r\n\r\n" + std::string(kBodySize, 'x');
  char bytes[kReadSize];
  const ssize_t received = ::recv(fd, bytes, sizeof bytes, MSG_DONTWAIT);
  if (received <= 0) {
    unanswered_.erase(fd);
    ::close(fd);
    return;
  }
  std::string& buffered = unanswered_[fd];
  buffered.append(bytes, static_cast<std::size_t>(received));
  for (std::size_t end; (end = buffered.find(kEndOfHeaders)) != std::string::npos;
       buffered.erase(0, end + kEndOfHeaders.size())) {
    ::send(fd, kResponse.data(), kResponse.size(), MSG_NOSIGNAL);
  }
}

}  // namespace mothrack::bench
