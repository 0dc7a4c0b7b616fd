// Watches many UDP sockets through one epoll descriptor of its own, itself watched by the event loop. Answers
// come spread over all ports: with a wait of the event loop's for each, a query costs three system calls more
// than it needs (docs/design/dns.md has the figures).
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <memory>
#include <unordered_map>

namespace mothrack::dns {

class UdpPort;

class UdpPoller {
 public:
  // Throws boost::system::system_error where the system gives no descriptor.
  explicit UdpPoller(boost::asio::io_context& io);

  // Calls the port's Receive() whenever a datagram or an error waits at `socket`, until Remove(). False where
  // the system has no room.
  bool Add(int socket, const std::shared_ptr<UdpPort>& port);
  // Before the socket is closed.
  void Remove(int socket);

 private:
  void WaitReadable();
  void DispatchReady();

  boost::asio::posix::stream_descriptor epoll_;
  // By descriptor. One that was closed and reused while its event waited costs one read in vain.
  std::unordered_map<int, std::weak_ptr<UdpPort>> ports_;
};

}  // namespace mothrack::dns
