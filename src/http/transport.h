// The upstream side of HTTP/1.1: carries the dispatcher's attempts and probes and reports the result of each.
//
// Owned by the sidecar, used on the thread of its event loop. Holds as many connections as the upstream side
// of Descriptors allows. A connection error becomes the Outcome of its exchange (see UpstreamExchange);
// nothing throws.
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
  // `load_by_probe`: probes request a load report, not only an answer that shows that the upstream is alive.
  HttpTransport(boost::asio::io_context& io, const balancer::Limits& limits, bool load_by_probe,
                runtime::Descriptors& descriptors, runtime::MemoryBudget budget);
  // Closes all connections. Callbacks of open exchanges are not called.
  ~HttpTransport() override;
  HttpTransport(const HttpTransport&) = delete;
  HttpTransport& operator=(const HttpTransport&) = delete;

  // Stores the upstream's address and state. Closes the idle connections of an upstream that drains, is gone,
  // has moved or has restarted, and ends the requests to it that are not sent yet.
  void Apply(const std::string& uid, const dispatch::Location& location) override;
  // `message` must be an HttpMessage. It is sent with X-Timeout-Ms set to the remaining timeout.
  void Send(dispatch::ExchangeId id, const std::string& uid, std::shared_ptr<const dispatch::Message> message,
            const dispatch::AttemptTimeouts& timeouts, dispatch::ExchangeHooks hooks) override;
  // Sends a GET to the probe target; a load report is part of the result.
  void Probe(dispatch::ExchangeId id, const std::string& uid, OnEnd on_end) override;
  // Ends the exchange and closes its connection.
  void Cancel(dispatch::ExchangeId id) override;
  // Stops sending the request, unless it is completely written. A connection that is still being established
  // is awaited and pooled.
  void Abandon(dispatch::ExchangeId id) override;
  void CloseIdle(const std::string& uid) override { pools_.CloseIdle(uid); }

  using Counts = TransportCounters;
  const Counts& counts() const { return counters_; }

 private:
  // UpstreamExchange::Owner
  void Remove(dispatch::ExchangeId id) override { open_exchanges_.erase(id); }
  void Release(const std::shared_ptr<UpstreamConnection>& connection) override { pools_.Release(connection); }

  // Ends the exchanges to this pool's upstream that have not begun to write.
  void EndUnsent(const std::shared_ptr<UpstreamPool>& pool);

  const runtime::Duration connect_timeout_;
  const std::string probe_target_;
  const runtime::MemoryBudget budget_;
  TransportCounters counters_;
  ConnectionPools pools_;
  std::map<dispatch::ExchangeId, std::shared_ptr<UpstreamExchange>> open_exchanges_;
};

}  // namespace mothrack::http
