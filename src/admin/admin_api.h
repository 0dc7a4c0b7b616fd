// The sidecar's own API for operators, on a Unix socket or a loopback address (see src/admin/server.h).
//
//   GET  /v1/status[?after=ID]   what Source::status gives; `after` pages through long lists of upstreams
//   POST /v1/reload              reads the configuration again: 200, or 409 with the fault, the old one stays
//   POST /v1/drain               begins the planned stop: 202
//
// On an address each call needs `Authorization: Bearer TOKEN` (RFC 6750 section 2.1). Beyond
// kMaxCallsPerSecond calls are rejected with 429 unlooked at, so that whoever polls can't take the time that
// requests need.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "admin/server.h"
#include "admin/settings.h"
#include "runtime/log.h"
#include "runtime/rate_limiter.h"

namespace mothrack::admin {

// What the API shows, and what it may set off. All of it is called on the event loop.
struct Source {
  std::function<nlohmann::json(const std::string& after)> status;
  std::function<std::string()> reload;  // the fault; empty: the configuration is in effect
  std::function<void()> drain;
};

// Used by the one thread of the event loop.
class AdminApi {
 public:
  // Listens at once. `log` must outlive it. Throws std::runtime_error, which names setting and address, where
  // it can't.
  AdminApi(boost::asio::io_context& io, const Settings& settings, Source source, runtime::Logger& log);

  static constexpr std::size_t kConnections = 4;
  // Descriptors to reserve: the listening socket and its connections.
  static constexpr std::size_t kFixedDescriptors = 1 + kConnections;

  std::string local() const { return server_.local(); }

 private:
  std::vector<Route> Routes();
  std::optional<Answer> Guard(const Call& call);

  const Settings settings_;
  const Source source_;
  runtime::Logger& log_;
  runtime::RateLimiter rate_limiter_;
  Server server_;  // last: it calls the rest
};

}  // namespace mothrack::admin
