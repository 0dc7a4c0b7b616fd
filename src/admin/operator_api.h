// The platform's address for operators (LB_OPS): what the people on call ask of the sidecar and tell it. 2xx
// is yes, 4xx and 5xx are no; see docs/operators/on_call.md.
//
//   GET /ops/readiness              yes while it takes clients
//   GET /ops/stats                  the figures
//   PUT /ops/upstreams/down, up     {"name": ID}: nothing new for that upstream; as discovery says again
//   PUT /ops/drain/start, stop      empties the sidecar; takes clients again
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "admin/server.h"

namespace mothrack::admin {

struct OperatorApiSource {
  std::function<bool()> ready;
  std::function<nlohmann::json()> stats;
  // False where the upstream was never listed.
  std::function<bool(const std::string& uid)> ban;
  std::function<bool(const std::string& uid)> unban;
  // False where it can't be: a planned stop is not taken back.
  std::function<bool(bool on)> drain;
};

class OperatorApi {
 public:
  // Listens at once. Throws std::runtime_error, which names the place, where it can't.
  OperatorApi(boost::asio::io_context& io, const runtime::Endpoint& endpoint, OperatorApiSource source,
              runtime::Logger& log);

  // Far more than ask at one time, so that those who hold a connection of these don't matter.
  static constexpr std::size_t kConnections = 16;
  static constexpr std::size_t kFixedDescriptors = 1 + kConnections;

  std::string local() const { return server_.local(); }

 private:
  std::vector<Route> Routes();
  Answer OfUpstream(const Call& call, const std::function<bool(const std::string&)>& act, const char* done);

  const OperatorApiSource source_;
  runtime::Logger& log_;
  Server server_;  // last: it calls the rest
};

}  // namespace mothrack::admin
