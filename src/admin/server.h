// The server of the admin APIs: HTTP/1.1 with JSON answers on a Unix socket or an address, one call a
// connection. Up to a bound of connections are open at once, each for kCallTimeout at most; where another
// comes, the one is closed that has been open longest without an answer on its way. So a caller that holds
// its connection never keeps another waiting. Errors are {"error": text}.
#pragma once

#include <boost/asio/generic/stream_protocol.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "runtime/address.h"
#include "runtime/clock.h"
#include "runtime/log.h"

namespace mothrack::admin {

// A request, as a route looks at it.
struct Call {
  std::string method;
  std::string path;   // of the target, without its query
  std::string query;  // as it came, without the question mark
  std::string authorization;
  std::string body;
};

// Sent as JSON on one line.
struct Answer {
  unsigned status = 200;
  nlohmann::json body;
};

// {"error": why}
inline Answer Fault(unsigned status, const std::string& why) { return {status, {{"error", why}}}; }

// Does the call present this token, as `Authorization: Bearer TOKEN` (RFC 6750 section 2.1)? Compared in
// constant time. Never true for an empty token.
bool HasBearerToken(const Call& call, const std::string& token);

// A part of a URL as it was before it was escaped (RFC 3986 section 2.1); what is no escape stays as it is.
std::string PercentDecoded(const std::string& text);

// One row of a server's table. A call that no row has is answered with 404, or 405 where only the method
// differs, and with the routes that there are.
struct Route {
  std::string method;
  std::string path;
  std::function<Answer(const Call&)> serve;
};

// Where a server listens: a Unix socket or an address.
struct ListenAddress {
  std::string setting;                        // that names it, for errors
  std::string unix_path;                      // empty: `endpoint` counts
  std::optional<runtime::Endpoint> endpoint;  // TCP
};

// The label of the operators' API, whose lines in the log begin with it (docs/operators/on_call.md).
inline constexpr const char* kOperatorApi = "ops";

// Not thread-safe: used by the one thread of its event loop, and destroyed when that has stopped or between
// two handlers of it.
class Server {
 public:
  // Looks at each call before any route; an answer of its own is all that the call gets.
  using Guard = std::function<std::optional<Answer>(const Call&)>;

  struct Bounds {
    std::size_t connections = 4;  // open at once
    std::size_t body = 0;         // bytes
  };

  // Listens at once, and removes a socket that a killed process left at the path. `label` names the API in
  // log lines; `log` must outlive it. Throws std::runtime_error, which names setting and address, where it
  // can't.
  Server(boost::asio::io_context& io, ListenAddress address, Bounds bounds, std::string label,
         std::vector<Route> routes, Guard guard, runtime::Logger& log);
  ~Server();  // NOLINT(bugprone-exception-escape): as in server.cpp
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // "unix:PATH", or the address with the port that the system picked.
  std::string local() const;

 private:
  class Connection;
  using Protocol = boost::asio::generic::stream_protocol;

  void Accept();
  void AcceptLater();
  void EvictOldest();
  Answer Serve(const Call& call);
  // Logs it, too.
  Answer Reject(const Call& call, unsigned status, const std::string& reason, const std::string& error);

  boost::asio::io_context& io_;
  const ListenAddress address_;
  const Bounds bounds_;
  const std::string label_;
  const std::vector<Route> routes_;
  const Guard guard_;
  runtime::Logger& log_;
  boost::asio::basic_socket_acceptor<Protocol> acceptor_;
  boost::asio::steady_timer accept_timer_;
  std::list<std::shared_ptr<Connection>> connections_;  // the oldest first
};

}  // namespace mothrack::admin
