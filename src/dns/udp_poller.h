// Watches many UDP sockets through one epoll descriptor, which the event loop watches in turn. Responses are
// spread over all ports. If the event loop waited on each socket separately, a query would cost three system
// calls more than necessary (figures in docs/design/dns.md).
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <memory>
#include <unordered_map>

namespace mothrack::dns {

class UdpPort;

// Owned by ResolverPool and used on the thread of the event loop only.
class UdpPoller {
 public:
  // Throws boost::system::system_error if the kernel provides no descriptor.
  explicit UdpPoller(boost::asio::io_context& io);

  // Calls the port's Receive() whenever `socket` has a datagram or an error, until Remove(). Returns false if
  // the kernel cannot add the socket.
  bool Add(int socket, const std::shared_ptr<UdpPort>& port);
  // Must be called before the socket is closed.
  void Remove(int socket);

 private:
  void WaitReadable();
  void DispatchReady();

  boost::asio::posix::stream_descriptor epoll_;
  // Keyed by descriptor. If a descriptor was closed and reused while its event was pending, one read finds
  // nothing.
  std::unordered_map<int, std::weak_ptr<UdpPort>> ports_;
};

}  // namespace mothrack::dns
