// The agent's admin API, JSON over HTTP (src/admin/server.h):
//
//   GET  /v1/agent                 viewer    name, hall, version, lease and instances
//   GET  /v1/history?MOST          viewer    the latest MOST events (default 50, at most 500), oldest first
//   GET  /v1/plan?CHANGE           viewer    the plan of a change that was opened here
//   GET  /v1/generation?NAME       viewer    the files of a stored generation
//   GET  /v1/log?INSTANCE          viewer    the end of an instance's log
//   POST /v1/lease                 operator  {"ask": "acquire", "open", "renew" or "release", "epoch", ...}
//   POST /v1/report                operator  {"epoch", "tool"}: renews the lease and reports all instances
//   POST /v1/take                  operator  {"epoch", "tool", "instance", "step"}
//   POST /v1/generation            operator  {"name", "files": {name: text}}
//
// On a Unix socket, every caller that may open it is an operator. On a loopback address, tokens have roles.
// Error statuses: 400 for an invalid body, without effect; 401 without a valid token; 403 for a role that
// does not permit the call; 409 for a generation that could not be stored; 429 above kPerSecond calls a
// second, without reading the call; 507 for a release that can't be saved. Refused commands are logged.
// Called from the event loop only.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>
#include <vector>

#include "admin/server.h"
#include "agent/agent.h"
#include "agent/agent_file.h"
#include "runtime/log.h"
#include "runtime/rate_limiter.h"

namespace mothrack::agent {

class AgentApi {
 public:
  // Listens at once; throws std::runtime_error if it can't. All arguments but `io` are kept by reference and
  // must outlive this object.
  AgentApi(boost::asio::io_context& io, const AgentFile& file, Agent& agent, ProcessSupervisor& processes,
           Store& store, runtime::Logger& log);

  // The address on which it listens.
  std::string local() const { return server_.local(); }
  // Sets the source of the member "peers" of GET /v1/agent, for an agent with peers.
  void ReportPeers(std::function<nlohmann::json()> peers) { peers_ = std::move(peers); }
  // Sets a function that is called after each step that was received, accepted or not. The caller then calls
  // Agent::ReconcileInstances().
  void OnStepReceived(std::function<void()> on_step_received) {
    on_step_received_ = std::move(on_step_received);
  }

  static constexpr double kPerSecond = 200;  // calls of all callers together
  static constexpr std::size_t kMaxConnections = 32;
  static constexpr std::size_t kMaxBodyBytes = std::size_t{1024} * 1024;

 private:
  // The table of routes; their handlers follow. `query` is the part after '?', still percent-encoded. `body`
  // is parsed strictly: std::invalid_argument is answered with 400, and the command has no effect.
  std::vector<admin::Route> Routes();
  admin::Answer History(const std::string& query) const;
  admin::Answer Plan(const std::string& query) const;
  admin::Answer GenerationFiles(const std::string& query) const;
  admin::Answer LogEnd(const std::string& query) const;
  admin::Answer Lease(const nlohmann::json& body);
  admin::Answer Report(const nlohmann::json& body);
  admin::Answer AcceptStep(const nlohmann::json& body);
  admin::Answer AddGeneration(const nlohmann::json& body);
  nlohmann::json About() const;

  // Applies the rate limit, tokens and roles. Returns an answer if the call is refused.
  std::optional<admin::Answer> Guard(const admin::Call& call);

  const AgentFile& file_;
  Agent& agent_;
  ProcessSupervisor& processes_;
  Store& store_;
  runtime::Logger& log_;
  std::function<void()> on_step_received_;
  std::function<nlohmann::json()> peers_;
  runtime::RateLimiter rate_limiter_;
  admin::Server server_;  // last, since it calls the other members
};

}  // namespace mothrack::agent
