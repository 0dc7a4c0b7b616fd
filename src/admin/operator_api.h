// The platform's API for operators (LB_OPS), for the people on call. 2xx is yes, 4xx and 5xx are no; see
// docs/operators/on_call.md.
//
//   GET /ops/readiness              yes while it accepts clients
//   GET /ops/stats                  the figures
//   PUT /ops/upstreams/down, up     {"name": ID}: nothing new for that upstream; as discovery says again
//   PUT /ops/drain/start, stop      no new clients; accepts clients again
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "admin/server.h"

namespace mothrack::admin {

// What the API shows, and what it may set off. All of it is called on the event loop.
struct OperatorApiSource {
  std::function<bool()> ready;
  std::function<nlohmann::json()> stats;
  // False where the upstream was never listed.
  std::function<bool(const std::string& uid)> ban;
  std::function<bool(const std::string& uid)> unban;
  // False where it can't be done: a planned stop is not revoked.
  std::function<bool(bool on)> drain;
};

// Used by the one thread of the event loop.
class OperatorApi {
 public:
  // Listens at once. `log` must outlive it. Throws std::runtime_error, which names setting and address, where
  // it can't.
  OperatorApi(boost::asio::io_context& io, const runtime::Endpoint& endpoint, OperatorApiSource source,
              runtime::Logger& log);

  // Far more than ask at one time, so that those who hold a connection of these don't matter.
  static constexpr std::size_t kConnections = 16;
  // Descriptors to reserve: the listening socket and its connections.
  static constexpr std::size_t kFixedDescriptors = 1 + kConnections;

  std::string local() const { return server_.local(); }

 private:
  std::vector<Route> Routes();
  Answer ActOnUpstream(const Call& call, const std::function<bool(const std::string&)>& act,
                       const char* done);

  const OperatorApiSource source_;
  runtime::Logger& log_;
  Server server_;  // last: it calls the rest
};

}  // namespace mothrack::admin
