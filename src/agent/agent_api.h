// The agent's admin API, JSON over HTTP (src/admin/server.h):
//
//   GET  /v1/agent                 viewer    its name, hall and version, its lease, its instances
//   GET  /v1/history?MOST          viewer    the latest MOST events (50, at most 500), the latest last
//   GET  /v1/plan?CHANGE           viewer    the plan of a change that was opened here
//   GET  /v1/generation?NAME       viewer    the files of a generation that is stored
//   GET  /v1/log?INSTANCE          viewer    the end of an instance's log
//   POST /v1/lease                 operator  {"ask": "acquire", "open", "renew" or "release", "epoch", ...}
//   POST /v1/report                operator  {"epoch", "tool"}: renews the lease and reports all instances
//   POST /v1/take                  operator  {"epoch", "tool", "instance", "step"}
//   POST /v1/generation            operator  {"name", "files": {name: text}}
//
// On a Unix socket everybody who may open it is an operator; on an address tokens have roles. A refused role
// is answered 403, a body with a fault 400 without effect, a release that can't be saved 507, a generation
// that is not stored 409, more than kPerSecond calls a second 429 unread. Refused commands are logged. Called
// from the event loop only.
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
  // Listens at once; throws std::runtime_error where it can't. All but `io` are referred to: they outlive it.
  AgentApi(boost::asio::io_context& io, const AgentFile& file, Agent& agent, ProcessSupervisor& processes,
           Store& store, runtime::Logger& log);

  // The address that it listens on.
  std::string local() const { return server_.local(); }
  // Reported under "peers", where the agent has some.
  void ReportPeers(std::function<nlohmann::json()> peers) { peers_ = std::move(peers); }
  // Called after each step that was sent, accepted or not: Agent::ReconcileInstances() is due.
  void OnStepAccepted(std::function<void()> on_step_accepted) {
    on_step_accepted_ = std::move(on_step_accepted);
  }

  static constexpr double kPerSecond = 200;  // calls, of all callers together
  static constexpr std::size_t kMaxConnections = 32;
  static constexpr std::size_t kMaxBodyBytes = std::size_t{1024} * 1024;

 private:
  // The table of routes; one function each below. `query` is what comes after '?', still escaped; `body` is
  // read strictly: std::invalid_argument becomes 400, and the command has no effect.
  std::vector<admin::Route> Routes();
  admin::Answer History(const std::string& query) const;
  admin::Answer Plan(const std::string& query) const;
  admin::Answer GenerationFiles(const std::string& query) const;
  admin::Answer LogEnd(const std::string& query) const;
  admin::Answer Lease(const nlohmann::json& body);
  admin::Answer Report(const nlohmann::json& body);
  admin::Answer AcceptStep(const nlohmann::json& body);
  admin::Answer KeepGeneration(const nlohmann::json& body);
  nlohmann::json About() const;

  // Rate limit, tokens and roles; an answer where the call is refused.
  std::optional<admin::Answer> Guard(const admin::Call& call);

  const AgentFile& file_;
  Agent& agent_;
  ProcessSupervisor& processes_;
  Store& store_;
  runtime::Logger& log_;
  std::function<void()> on_step_accepted_;
  std::function<nlohmann::json()> peers_;
  runtime::RateLimiter rate_limiter_;
  admin::Server server_;  // last: it calls the rest
};

}  // namespace mothrack::agent
