// Connections to upstreams: pools, attempts and probes, and what became of each.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "balancer/balancer.h"
#include "dispatch/exchange.h"
#include "http/messages.h"
#include "runtime/clock.h"
#include "runtime/descriptors.h"

namespace mothrack::http {

class HttpTransport : public dispatch::Transport {
 public:
  HttpTransport(boost::asio::io_context& io, const balancer::Limits& limits, bool load_by_probe,
                runtime::Descriptors& descriptors, runtime::ByteBudget& budget);
  ~HttpTransport() override;

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
  void CloseIdle(const std::string& uid) override;

  struct Counts {
    std::uint64_t opened = 0, failed = 0, closed = 0, evicted = 0;  // connections; failed: never came up
    std::uint64_t probes = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  class Connection;
  struct Pool {
    dispatch::Location location;
    std::vector<std::shared_ptr<Connection>> idle;  // the most recently used one last
  };

  std::shared_ptr<Connection> TakeIdle(Pool& pool);
  std::shared_ptr<Connection> Open(const std::shared_ptr<Pool>& pool);
  // Closes the connection that has been idle longest; false where there is none.
  bool EvictIdle();
  void AbortUnsent(const std::shared_ptr<Pool>& pool);
  void Release(const std::shared_ptr<Connection>& connection);
  void Forget(const Connection& connection);
  void ScheduleSweep();
  void Sweep();

  boost::asio::io_context& io_;
  const runtime::Duration connect_timeout_;
  const runtime::Duration trusted_idle_;
  const std::string probe_target_;
  Counts counts_;
  runtime::Descriptors& descriptors_;
  runtime::ByteBudget& budget_;
  std::map<std::string, std::shared_ptr<Pool>> pools_;
  std::map<dispatch::ExchangeId, std::shared_ptr<Connection>> exchanges_;
  boost::asio::steady_timer sweep_;
};

}  // namespace mothrack::http
