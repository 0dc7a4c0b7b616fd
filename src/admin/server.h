// The server of the admin APIs: HTTP/1.1 with JSON answers on a Unix socket or a TCP address, one call per
// connection. The number of open connections is bounded, and each lasts kCallTimeout at most. If a further
// client connects, the oldest connection without an answer in progress is closed, so that a caller that holds
// its connection never blocks another. Errors have the form {"error": text}.
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

// A request in the form in which routes see it.
struct Call {
  std::string method;
  std::string path;   // of the target, without the query
  std::string query;  // as received, without the question mark
  std::string authorization;
  std::string body;
};

// Sent as JSON on one line.
struct Answer {
  unsigned status = 200;
  nlohmann::json body;
};

// An answer that reports an error: {"error": why}.
inline Answer Fault(unsigned status, const std::string& why) { return {status, {{"error", why}}}; }

// Whether the call presents this token as `Authorization: Bearer TOKEN` (RFC 6750 section 2.1). The
// comparison takes constant time. Always false for an empty token.
bool HasBearerToken(const Call& call, const std::string& token);

// Decodes the percent-encoding of a URL component (RFC 3986 section 2.1). Invalid escapes are left as they
// are.
std::string PercentDecoded(const std::string& text);

// An entry of the server's routing table. A call that matches no entry gets 404, or 405 if only the method
// differs, with a list of the existing routes.
struct Route {
  std::string method;
  std::string path;
  std::function<Answer(const Call&)> serve;
};

// The address that a server listens on: a Unix socket or a TCP endpoint.
struct ListenAddress {
  std::string setting;                        // the name of the setting, for errors
  std::string unix_path;                      // if empty, `endpoint` is used
  std::optional<runtime::Endpoint> endpoint;  // TCP
};

// Label of the operator API in the log (docs/operators/logs.md).
inline constexpr const char* kOperatorApi = "ops";

// Used on the thread of the event loop only. Must be destroyed when the loop has stopped or between two of
// its handlers.
class Server {
 public:
  // Called for each call before any route. If it returns an answer, no route is called.
  using Guard = std::function<std::optional<Answer>(const Call&)>;

  struct Bounds {
    std::size_t connections = 4;  // open at once
    std::size_t body = 0;         // bytes
  };

  // Listens at once, after removing a socket that a killed process left at the path. `label` names the API in
  // log lines; `log` must outlive this object. Throws std::runtime_error, which names setting and address, if
  // it cannot listen.
  Server(boost::asio::io_context& io, ListenAddress address, Bounds bounds, std::string label,
         std::vector<Route> routes, Guard guard, runtime::Logger& log);
  ~Server();  // NOLINT(bugprone-exception-escape): as in server.cpp
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // "unix:PATH", or the address with the port that the kernel chose.
  std::string local() const;

 private:
  class Connection;
  using Protocol = boost::asio::generic::stream_protocol;

  void Accept();
  void AcceptLater();
  void EvictOldest();
  Answer Serve(const Call& call);
  // Logs the rejected call and builds its answer.
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
  std::list<std::shared_ptr<Connection>> connections_;  // oldest first
};

}  // namespace mothrack::admin
