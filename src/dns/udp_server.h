// One address at which clients send queries as datagrams; responses are sent from the same. Used by the
// thread of the event loop only.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <deque>
#include <utility>

#include "dns/frontend.h"
#include "runtime/address.h"
#include "runtime/log.h"

namespace mothrack::dns {

class UdpServer {
 public:
  // Binds; throws boost::system::system_error.
  UdpServer(boost::asio::io_context& io, const runtime::Endpoint& endpoint, Frontend& frontend,
            Counters& counters, runtime::Logger& log);

  runtime::Endpoint local() const;
  // Reads what the system has received, and nothing after it.
  void StopReceiving();
  // No response waits to be sent.
  bool done() const { return unsent_.empty(); }

 private:
  using Peer = boost::asio::ip::udp::endpoint;

  void WaitReadable();
  void Receive();
  void Send(const Peer& to, Buffer answer);
  void Flush();

  boost::asio::ip::udp::socket socket_;
  Frontend& frontend_;
  Counters& counters_;
  runtime::Logger& log_;
  std::deque<std::pair<Peer, Buffer>> unsent_;  // responses that the system's full buffer did not accept
  bool receiving_ = true;
};

}  // namespace mothrack::dns
