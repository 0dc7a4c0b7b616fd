// A UDP socket to which clients send queries. Responses are sent from the same address.
//
// Owned by Frontend and used on the thread of the event loop only. Holds at most 4096 responses that the
// kernel did not accept; further ones are dropped and counted.
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
  // Reads the datagrams that the kernel has received and ignores later ones.
  void StopReceiving();
  // Whether no response is waiting to be sent.
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
  std::deque<std::pair<Peer, Buffer>> unsent_;  // responses that did not fit into the kernel's send buffer
  bool receiving_ = true;
};

}  // namespace mothrack::dns
