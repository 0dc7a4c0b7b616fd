#include "dns/udp_poller.h"

#include <sys/epoll.h>

#include <array>
#include <boost/system/system_error.hpp>
#include <cerrno>

#include "dns/udp_port.h"

namespace mothrack::dns {
namespace {

constexpr int kMaxEvents = 64;

int NewEpoll() {
  const int fd = ::epoll_create1(EPOLL_CLOEXEC);
  if (fd < 0) {
    throw boost::system::system_error(errno, boost::system::system_category(), "epoll_create1");
  }
  return fd;
}

}  // namespace

UdpPoller::UdpPoller(boost::asio::io_context& io) : epoll_(io, NewEpoll()) { WaitReadable(); }

bool UdpPoller::Add(int socket, const std::shared_ptr<UdpPort>& port) {
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.fd = socket;
  if (::epoll_ctl(epoll_.native_handle(), EPOLL_CTL_ADD, socket, &event) != 0) return false;
  ports_[socket] = port;
  return true;
}

void UdpPoller::Remove(int socket) {
  ::epoll_ctl(epoll_.native_handle(), EPOLL_CTL_DEL, socket, nullptr);
  ports_.erase(socket);
}

void UdpPoller::WaitReadable() {
  epoll_.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                    [this](boost::system::error_code error) {
                      if (error) return;
                      // Re-arms the wait even if a handler throws: without it, all UDP traffic would stop.
                      struct Again {
                        ~Again() { poll.WaitReadable(); }
                        UdpPoller& poll;
                      } const again{*this};
                      DispatchReady();
                    });
}

// Handles at most kMaxEvents. The next wait reports sockets that are still readable.
void UdpPoller::DispatchReady() {
  std::array<epoll_event, kMaxEvents> events;
  const int ready = ::epoll_wait(epoll_.native_handle(), events.data(), kMaxEvents, 0);
  for (int i = 0; i < ready; ++i) {
    const auto it = ports_.find(events[static_cast<std::size_t>(i)].data.fd);
    if (it == ports_.end()) continue;
    if (const auto port = it->second.lock()) port->Receive();
  }
}

}  // namespace mothrack::dns
