// Where operators call: HTTP/1.1 with JSON answers on a Unix socket or an address. One call a connection. Up
// to a bound of connections are open at once, each for kPatience at most; where another comes, the one goes
// that has waited longest for the rest of its call. So a caller that holds its connection never keeps another
// waiting. Errors are {"error": text}.
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

struct Call {
  std::string method;
  std::string path;   // of the target, without its query
  std::string query;  // as it came, without the question mark
  std::string authorization;
  std::string body;
};

struct Answer {
  unsigned status = 200;
  nlohmann::json body;
};

inline Answer Fault(unsigned status, const std::string& why) { return {status, {{"error", why}}}; }

// Does it give this token, as `Authorization: Bearer TOKEN` (RFC 6750 section 2.1)? Compared in constant
// time.
bool HoldsToken(const Call& call, const std::string& token);

// A part of a URL as it was before it was escaped (RFC 3986 section 2.1); what is no escape stays as it is.
std::string Unescaped(const std::string& text);

// What is asked of a server; the others are told which there are.
struct Route {
  std::string method;
  std::string path;
  std::function<Answer(const Call&)> serve;
};

struct Place {
  std::string setting;                        // that names it, for what can't be listened on
  std::string unix_path;                      // empty: there is an address
  std::optional<runtime::Endpoint> endpoint;  // TCP
};

class Server {
 public:
  // Looks at each call before any route: an answer is all that it gets.
  using Guard = std::function<std::optional<Answer>(const Call&)>;

  struct Bounds {
    std::size_t connections = 4;
    std::size_t body = 0;  // bytes
  };

  // Listens at once. `label` begins its log lines. Throws std::runtime_error, which names the place, where it
  // can't.
  Server(boost::asio::io_context& io, Place place, Bounds bounds, std::string label,
         std::vector<Route> routes, Guard guard, runtime::Logger& log);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  std::string local() const;

 private:
  class Visit;
  using Protocol = boost::asio::generic::stream_protocol;

  void Accept();
  void AcceptLater();
  void MakeRoom();
  Answer Serve(const Call& call);
  Answer Refuse(const Call& call, unsigned status, const std::string& reason, const std::string& told);

  boost::asio::io_context& io_;
  const Place place_;
  const Bounds bounds_;
  const std::string label_;
  const std::vector<Route> routes_;
  const Guard guard_;
  runtime::Logger& log_;
  boost::asio::basic_socket_acceptor<Protocol> acceptor_;
  boost::asio::steady_timer pause_;
  std::list<std::shared_ptr<Visit>> visits_;  // the oldest first
};

}  // namespace mothrack::admin
