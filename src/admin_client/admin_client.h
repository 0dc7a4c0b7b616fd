// Asks an agent or a sidecar's door: one HTTP/1.1 call with JSON a connection, as src/admin/server.h serves
// it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace mothrack::admin_client {

struct Reply {
  std::string fault;  // why there is none; empty: there is one
  unsigned status = 0;
  nlohmann::json body;

  bool ok() const { return fault.empty() && status / 100 == 2; }
  // What to tell people where it is not.
  std::string why() const;
};

struct Question {
  std::string place;  // "unix:/path" or "127.0.0.1:7090"
  std::string token;  // empty: none is given
  std::string method = "GET";
  std::string target;
  std::optional<nlohmann::json> body{};
};

// Answers are at most this long, in bytes.
constexpr std::size_t kLongestReply = 4 * 1024 * 1024;

// Calls `hear` once, from the event loop, within `patience`.
void Ask(boost::asio::io_context& io, Question question, std::chrono::milliseconds patience,
         std::function<void(Reply)> hear);

// What is wrong with a place; empty: nothing.
std::string FaultOfPlace(const std::string& place);

}  // namespace mothrack::admin_client
