// The pools of idle connections to all upstreams. Decides which connection carries the next exchange and when
// an idle connection is closed.
//
// Owned by HttpTransport, used on the thread of its event loop. Bounded by the upstream side of Descriptors:
// idle connections are evicted to free descriptors for new ones. No function throws: if no connection is
// available, a null pointer is returned.
#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>

#include "dispatch/exchange.h"
#include "http/upstream_connection.h"
#include "runtime/clock.h"
#include "runtime/descriptors.h"
#include "runtime/sweep_timer.h"

namespace mothrack::http {

class ConnectionPools {
 public:
  // `upstream_idle_limit`: idle time after which an upstream closes a connection on its own.
  ConnectionPools(boost::asio::io_context& io, runtime::Duration upstream_idle_limit,
                  runtime::Descriptors& descriptors, TransportCounters& counters);
  // Closes the idle connections.
  ~ConnectionPools();
  ConnectionPools(const ConnectionPools&) = delete;
  ConnectionPools& operator=(const ConnectionPools&) = delete;

  // Stores the address and state of an upstream. If the upstream drains, is gone, has moved or has restarted,
  // its idle connections are closed, and the function returns the pool that must not be sent to any more.
  // Otherwise returns null.
  std::shared_ptr<UpstreamPool> Apply(const std::string& uid, const dispatch::Location& location);
  // Returns a connection for one exchange: an idle one, or a new one whose socket is open but not connected.
  // Returns null if the upstream accepts no requests or no descriptor is available.
  std::shared_ptr<UpstreamConnection> Acquire(const std::string& uid);
  // Returns a connection whose exchange has ended or never began. It is closed if its upstream accepts no
  // more requests.
  void Release(const std::shared_ptr<UpstreamConnection>& connection);
  // Closes the idle connections to one upstream.
  void CloseIdle(const std::string& uid);

 private:
  std::shared_ptr<UpstreamConnection> TakeIdle(UpstreamPool& pool);
  std::shared_ptr<UpstreamConnection> Open(const std::shared_ptr<UpstreamPool>& pool);
  // Closes the connection that has been idle longest. Returns false if there is none.
  bool EvictIdle();
  void CloseAged();

  boost::asio::io_context& io_;
  runtime::Descriptors& descriptors_;
  TransportCounters& counters_;
  // Beyond this idle time the upstream may already be closing the connection.
  const runtime::Duration max_idle_;
  std::map<std::string, std::shared_ptr<UpstreamPool>> pools_;  // keyed by upstream uid
  runtime::SweepTimer sweep_timer_;
};

}  // namespace mothrack::http
