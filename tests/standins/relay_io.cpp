#include "standins/relay_io.h"

#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <stdexcept>

#include "support/loopback.h"

namespace mothrack::testing::relay {
namespace {

constexpr std::size_t kMaxEvents = 256;  // returned by one wait

}  // namespace

int OpenLoopbackSocket(int type, std::uint16_t& port) {
  const int fd = ::socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0 || !BindLoopback(fd, 0) || (port = LocalPort(fd)) == 0) {
    throw std::runtime_error("the relay cannot open a loopback socket");
  }
  return fd;
}

void ResetOnClose(int fd) {
  const linger at_once{1, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

Poller::Poller() : epoll_(::epoll_create1(EPOLL_CLOEXEC)), wake_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  epoll_event event{EPOLLIN, {.fd = wake_}};
  if (epoll_ < 0 || wake_ < 0 || ::epoll_ctl(epoll_, EPOLL_CTL_ADD, wake_, &event) != 0) {
    throw std::runtime_error("the relay cannot create its epoll set");
  }
}

Poller::~Poller() {
  ::close(wake_);
  ::close(epoll_);
}

void Poller::Add(int fd, std::uint32_t events) const {
  epoll_event event{events, {.fd = fd}};
  ::epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event);
}

void Poller::Change(int fd, std::uint32_t events) const {
  epoll_event event{events, {.fd = fd}};
  ::epoll_ctl(epoll_, EPOLL_CTL_MOD, fd, &event);
}

void Poller::Remove(int fd) const { ::epoll_ctl(epoll_, EPOLL_CTL_DEL, fd, nullptr); }

std::vector<epoll_event> Poller::Wait(int timeout_ms) const {
  std::vector<epoll_event> events(kMaxEvents);
  const int ready = ::epoll_wait(epoll_, events.data(), static_cast<int>(events.size()), timeout_ms);
  events.resize(static_cast<std::size_t>(std::max(ready, 0)));
  const auto wake_ups =
      std::erase_if(events, [&](const epoll_event& event) { return event.data.fd == wake_; });
  if (wake_ups > 0) ClearWakeUp();
  return events;
}

void Poller::Wake() const {
  const std::uint64_t one = 1;
  [[maybe_unused]] const ssize_t written = ::write(wake_, &one, sizeof one);
}

void Poller::ClearWakeUp() const {
  std::uint64_t count = 0;
  [[maybe_unused]] const ssize_t size = ::read(wake_, &count, sizeof count);
}

}  // namespace mothrack::testing::relay
