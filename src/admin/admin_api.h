// The sidecar's own API for operators, on a Unix socket or a loopback address (see admin/server.h).
//
//   GET  /v1/status[?after=ID]   the result of Source::status; `after` pages through long lists of upstreams
//   POST /v1/reload              reads the configuration again: 200, or 409 with the error and no change
//   POST /v1/drain               begins the planned stop: 202
//
// On a loopback address each call needs `Authorization: Bearer TOKEN` (RFC 6750 section 2.1). Calls beyond
// kMaxCallsPerSecond are rejected with 429 before anything else, so that frequent polling cannot take
// processor time from requests.
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

// The data and actions that the API offers. All functions are called on the event loop.
struct Source {
  std::function<nlohmann::json(const std::string& after)> status;
  std::function<std::string()> reload;  // returns the error; empty: the configuration is in effect
  std::function<void()> drain;
};

// Owned by the sidecar and used on the thread of the event loop only.
class AdminApi {
 public:
  // Listens at once. `log` must outlive this object. Throws std::runtime_error, which names setting and
  // address, if it cannot listen.
  AdminApi(boost::asio::io_context& io, const Settings& settings, Source source, runtime::Logger& log);

  // Maximum number of open connections.
  static constexpr std::size_t kConnections = 4;
  // Descriptors to reserve: the listening socket and its connections.
  static constexpr std::size_t kFixedDescriptors = 1 + kConnections;

  // See Server::local().
  std::string local() const { return server_.local(); }

 private:
  std::vector<Route> Routes();
  std::optional<Answer> Guard(const Call& call);

  const Settings settings_;
  const Source source_;
  runtime::Logger& log_;
  runtime::RateLimiter rate_limiter_;
  Server server_;  // last, because its routes use the other members
};

}  // namespace mothrack::admin
