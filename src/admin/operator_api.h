// The platform's API for the engineers on call (LB_OPS). A 2xx status means success, 4xx and 5xx mean
// failure; see docs/operators/on_call.md.
//
//   GET /ops/readiness              2xx while the sidecar accepts clients
//   GET /ops/stats                  the result of OperatorApiSource::stats
//   PUT /ops/upstreams/down         {"name": ID}: sends no more attempts to that upstream
//   PUT /ops/upstreams/up           {"name": ID}: lifts that ban
//   PUT /ops/drain/start            stops accepting clients
//   PUT /ops/drain/stop             accepts clients again
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "admin/server.h"

namespace mothrack::admin {

// The data and actions that the API offers. All functions are called on the event loop.
struct OperatorApiSource {
  std::function<bool()> ready;
  std::function<nlohmann::json()> stats;
  // Ban an upstream and lift the ban. Both return false if the upstream was never listed.
  std::function<bool(const std::string& uid)> ban;
  std::function<bool(const std::string& uid)> unban;
  // Starts or ends quiescing. Returns false if that is impossible: a planned stop cannot be revoked.
  std::function<bool(bool on)> drain;
};

// Owned by the sidecar and used on the thread of the event loop only.
class OperatorApi {
 public:
  // Listens at once. `log` must outlive this object. Throws std::runtime_error, which names setting and
  // address, if it cannot listen.
  OperatorApi(boost::asio::io_context& io, const runtime::Endpoint& endpoint, OperatorApiSource source,
              runtime::Logger& log);

  // Maximum number of open connections: far more than call at the same time, so that callers that keep a
  // connection open do not matter.
  static constexpr std::size_t kConnections = 16;
  // Descriptors to reserve: the listening socket and its connections.
  static constexpr std::size_t kFixedDescriptors = 1 + kConnections;

  // See Server::local().
  std::string local() const { return server_.local(); }

 private:
  std::vector<Route> Routes();
  // Calls `apply` with the upstream that the call names. `state`: its new state, for the answer and the log.
  Answer ActOnUpstream(const Call& call, const std::function<bool(const std::string&)>& apply,
                       const char* state);

  const OperatorApiSource source_;
  runtime::Logger& log_;
  Server server_;  // last, because its routes use the other members
};

}  // namespace mothrack::admin
