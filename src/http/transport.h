// The upstream side of HTTP/1.1: carries the dispatcher's attempts and probes, and tells what became of each.
//
// Owned by the sidecar, on the thread of its event loop. Holds as many connections as Descriptors allows its
// side. Errors of connections become the Outcome of their exchange (UpstreamExchange); nothing throws.
#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>

#include "balancer/balancer.h"
#include "dispatch/exchange.h"
#include "http/connection_pools.h"
#include "http/upstream_connection.h"
#include "http/upstream_exchange.h"
#include "runtime/clock.h"
#include "runtime/descriptors.h"
#include "runtime/stream.h"

namespace mothrack::http {

class HttpTransport : public dispatch::Transport, private UpstreamExchange::Owner {
 public:
  // `load_by_probe`: a probe asks for the upstream's load, not only whether it lives.
  HttpTransport(boost::asio::io_context& io, const balancer::Limits& limits, bool load_by_probe,
                runtime::Descriptors& descriptors, runtime::ByteBudget& budget);
  // Closes all connections; exchanges that are open are not told.
  ~HttpTransport() override;
  HttpTransport(const HttpTransport&) = delete;
  HttpTransport& operator=(const HttpTransport&) = delete;

  // Also closes the idle connections of an upstream that drains, is gone, moved or started anew.
  void Apply(const std::string& uid, const dispatch::Location& location) override;
  // `message` is an HttpMessage; it is sent with its X-Timeout-Ms set to what is left of the time-out.
  void Send(dispatch::ExchangeId id, const std::string& uid, std::shared_ptr<const dispatch::Message> message,
            runtime::Duration timeout, dispatch::ExchangeHooks hooks) override;
  void Probe(dispatch::ExchangeId id, const std::string& uid, OnEnd on_end) override;
  // The connection is closed.
  void Cancel(dispatch::ExchangeId id) override;
  // A connection that is coming up is waited for and pooled.
  void Abandon(dispatch::ExchangeId id) override;
  void CloseIdle(const std::string& uid) override { pools_.CloseIdle(uid); }

  using Counts = TransportCounters;
  const Counts& counts() const { return counters_; }

 private:
  // Of the exchanges
  void Remove(dispatch::ExchangeId id) override { exchanges_.erase(id); }
  void Release(const std::shared_ptr<UpstreamConnection>& connection) override { pools_.Release(connection); }

  // Nothing that has not begun to be written goes to this pool's upstream any more.
  void EndUnsent(const std::shared_ptr<UpstreamPool>& pool);

  boost::asio::io_context& io_;
  const runtime::Duration connect_timeout_;
  const std::string probe_target_;
  runtime::ByteBudget& budget_;
  TransportCounters counters_;
  ConnectionPools pools_;
  std::map<dispatch::ExchangeId, std::shared_ptr<UpstreamExchange>> exchanges_;  // that are open
};

}  // namespace mothrack::http
