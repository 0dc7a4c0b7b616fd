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

#include "clock.h"
#include "config.h"
#include "descriptors.h"
#include "http.h"
#include "kestrellb/balancer.h"

namespace mothrack {

// Where an upstream listens, and whether it may be sent anything new.
struct Location {
  kestrellb::UpstreamState state = kestrellb::UpstreamState::kServing;
  Endpoint endpoint;
  std::int64_t boot_ms = 0;
};

struct ExchangeResult {
  kestrellb::Outcome outcome = kestrellb::Outcome::kServed;
  Duration elapsed{};
  kestrellb::LoadReport load;
  HttpResponse response;  // of a served one
};

class Upstreams {
 public:
  using OnEnd = std::function<void(ExchangeResult)>;
  enum class ExchangeId : std::uint64_t {};

  Upstreams(boost::asio::io_context& io, const kestrellb::Limits& limits, bool load_by_probe,
            Descriptors& descriptors);
  ~Upstreams();

  // What discovery tells of one upstream. Where it drains, is gone, moved or started anew, its idle
  // connections are closed and what has not begun to be written to it ends as not sent.
  void Apply(const std::string& uid, const Location& location);
  std::vector<std::string> Known() const;

  // `on_end` is called exactly once, also where nothing could be sent. `request` is sent with its
  // X-Timeout-Ms set to the time-out.
  void Send(ExchangeId id, const std::string& uid, std::shared_ptr<const HttpRequest> request,
            Duration timeout, OnEnd on_end);
  void Probe(ExchangeId id, const std::string& uid, OnEnd on_end);
  // Stops waiting: the connection is closed.
  void Cancel(ExchangeId id);
  void CloseIdle(const std::string& uid);

 private:
  class Connection;
  struct Pool {
    Location location;
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
  const Duration connect_timeout_;
  const Duration trusted_idle_;
  const std::string probe_target_;
  Descriptors& descriptors_;
  std::map<std::string, std::shared_ptr<Pool>> pools_;
  std::map<ExchangeId, std::shared_ptr<Connection>> exchanges_;
  boost::asio::steady_timer sweep_;
};

}  // namespace mothrack
