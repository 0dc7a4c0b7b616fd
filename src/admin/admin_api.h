// The sidecar's own door for operators, on a Unix socket or a loopback address (see src/admin/server.h).
//
//   GET  /v1/status[?after=ID]   what Source::status tells; `after` pages through long lists of upstreams
//   POST /v1/reload              reads the configuration again: 200, or 409 with the fault, the old one stays
//   POST /v1/drain               begins the planned stop: 202
//
// An address wants `Authorization: Bearer TOKEN` (RFC 6750 section 2.1). More than kPerSecond answers a
// second are refused with 429 unlooked at, so that whoever polls can't take the time that requests need.
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

// What the door shows, and what it may set off.
struct Source {
  std::function<nlohmann::json(const std::string& after)> status;
  std::function<std::string()> reload;  // the fault; empty: the configuration was taken
  std::function<void()> drain;
};

class AdminApi {
 public:
  // Listens at once. Throws std::runtime_error, which names the place, where it can't.
  AdminApi(boost::asio::io_context& io, const Settings& settings, Source source, runtime::Logger& log);

  static constexpr std::size_t kConnections = 4;
  // Open all the time: the listening socket and its connections.
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
