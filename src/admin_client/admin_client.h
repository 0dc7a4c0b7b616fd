// Client side of the admin API (src/admin/server.h): one HTTP/1.1 request with JSON per connection, over a
// Unix socket or loopback TCP. The agent polls sidecars with it, mothrackctl calls agents. Called from the
// event loop.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace mothrack::admin_client {

// NOLINTNEXTLINE(bugprone-exception-escape): nlohmann::json's move is noexcept; the check sees its assertions
struct Response {
  std::string transport_error;  // why there is no response; empty if there is one
  unsigned status = 0;          // HTTP status code
  nlohmann::json body;

  // Whether there is a response with a 2xx status.
  bool ok() const { return transport_error.empty() && status / 100 == 2; }
  // Describes the failure for people, if not ok().
  std::string ErrorText() const;
};

// A call of the admin API.
struct Request {
  std::string address;  // "unix:/path" or "127.0.0.1:7090"
  std::string token;    // bearer token; empty if the API needs none
  std::string method = "GET";
  std::string target;
  std::optional<nlohmann::json> body{};
};

// A longer response body is a transport error.
constexpr std::size_t kMaxResponseBytes = std::size_t{4} * 1024 * 1024;

// Sends a request on a connection of its own. Calls `on_response` once, from the event loop, no later than
// `timeout` after the call. The address must be valid.
void SendRequest(boost::asio::io_context& io, Request request, std::chrono::milliseconds timeout,
                 std::function<void(Response)> on_response);

// Returns why an address is invalid; empty if it is valid.
std::string AddressError(const std::string& address);

}  // namespace mothrack::admin_client
