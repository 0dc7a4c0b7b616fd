// A TCP listening socket for DNS clients. Accepts connections within the bounds and closes overdue ones.
//
// Owned by Frontend and used on the thread of the event loop only.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>

#include "dns/client_connection.h"
#include "dns/frontend.h"
#include "runtime/acceptor.h"
#include "runtime/address.h"
#include "runtime/connection_set.h"
#include "runtime/descriptors.h"
#include "runtime/log.h"
#include "runtime/sweep_timer.h"

namespace mothrack::dns {

class TcpServer : private runtime::Acceptor::Owner {
 public:
  // Binds and listens; throws boost::system::system_error. The references must outlive this object.
  TcpServer(boost::asio::io_context& io, const runtime::Endpoint& endpoint, const Settings& settings,
            runtime::Descriptors& descriptors, Frontend& frontend, runtime::Logger& log);
  ~TcpServer();

  // From now on, connections are closed as soon as they are idle.
  void Drain();
  // Accepts the connections in the listen backlog, then closes the listening socket.
  void StopAccepting() {
    if (acceptor_.is_open()) acceptor_.Close();
  }
  // Whether no connection is open.
  bool done() const { return connections_.empty(); }

 private:
  bool HasCapacity() const override;
  bool EvictOne() override;
  void Admit(boost::asio::ip::tcp::socket socket) override;
  void Sweep();

  const Settings& settings_;
  runtime::Descriptors& descriptors_;
  Frontend& frontend_;
  runtime::ConnectionSet<ClientConnection> connections_;
  runtime::Acceptor acceptor_;
  runtime::SweepTimer sweep_timer_;
  std::uint64_t last_connection_ = 0;
  bool draining_ = false;
};

}  // namespace mothrack::dns
