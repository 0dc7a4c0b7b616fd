// One address at which queries come as datagrams; answers go out from the same.
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
  // Takes what the system holds, and nothing after it.
  void StopReceiving();
  // No answer waits to be sent.
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
  std::deque<std::pair<Peer, Buffer>> unsent_;  // answers that the system has had no room for
  bool receiving_ = true;
};

}  // namespace mothrack::dns
