// One address at which clients connect for queries over TCP: accepts connections within the bounds, and
// closes those that are overdue. Used by the thread of the event loop only.
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
  // Binds and listens; throws boost::system::system_error. The references must outlive it.
  TcpServer(boost::asio::io_context& io, const runtime::Endpoint& endpoint, const Settings& settings,
            runtime::Descriptors& descriptors, Frontend& frontend, runtime::Logger& log);
  ~TcpServer();

  // From now on connections are closed as they become idle.
  void Drain();
  // Accepts the connections that wait, and none after them.
  void StopAccepting() {
    if (acceptor_.is_open()) acceptor_.Close();
  }
  // No connection is open.
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
