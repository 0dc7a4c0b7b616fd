// The idle connections to all upstreams: which one carries the next exchange, and when one is retired.
//
// Owned by HttpTransport, on the thread of its event loop. Bounded by Descriptors, the upstreams' side: idle
// connections make room for new ones. Has no errors of its own: where no connection can be had there is none.
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
  // `upstream_idle_limit`: after so long an upstream closes an idle connection by itself.
  ConnectionPools(boost::asio::io_context& io, runtime::Duration upstream_idle_limit,
                  runtime::Descriptors& descriptors, TransportCounters& counters);
  // Closes the idle connections.
  ~ConnectionPools();
  ConnectionPools(const ConnectionPools&) = delete;
  ConnectionPools& operator=(const ConnectionPools&) = delete;

  // Takes over where the upstream is and what state it has. Where it drains, is gone, moved or started anew,
  // its idle connections are closed, and the pool is returned to which nothing more may be sent; else null.
  std::shared_ptr<UpstreamPool> Apply(const std::string& uid, const dispatch::Location& location);
  // A connection for one exchange: an idle one, or one whose socket is open and not connected. Null where the
  // upstream takes no requests, or this machine has no descriptor to spare.
  std::shared_ptr<UpstreamConnection> Acquire(const std::string& uid);
  // Its exchange is over, or never began. Closed where its upstream takes no more requests.
  void Release(const std::shared_ptr<UpstreamConnection>& connection);
  void CloseIdle(const std::string& uid);

 private:
  std::shared_ptr<UpstreamConnection> TakeIdle(UpstreamPool& pool);
  std::shared_ptr<UpstreamConnection> Open(const std::shared_ptr<UpstreamPool>& pool);
  // Closes the connection that has been idle longest; false where there is none.
  bool EvictIdle();
  void CloseAged();

  boost::asio::io_context& io_;
  runtime::Descriptors& descriptors_;
  TransportCounters& counters_;
  const runtime::Duration trusted_idle_;  // an older idle connection may be closing at the upstream
  std::map<std::string, std::shared_ptr<UpstreamPool>> pools_;  // by the upstream's uid
  runtime::SweepTimer sweep_timer_;
};

}  // namespace mothrack::http
