// A client of the admin API of a sidecar or an agent, over a Unix or a loopback socket. Each call opens its
// own connection and blocks, 15 s at most for each read; any thread may call it.
#pragma once

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace mothrack::testing {

struct AdminAnswer {
  int status = 0;
  std::string head;
  nlohmann::json body;
};

class AdminClient {
 public:
  // `address` as the program announces it: "unix:/path" or "127.0.0.1:7080".
  explicit AdminClient(std::string address, std::string token = "")
      : address_(std::move(address)), token_(std::move(token)) {}

  std::optional<AdminAnswer> Get(const std::string& target) const { return Request("GET", target); }
  std::optional<AdminAnswer> Post(const std::string& target) const { return Request("POST", target); }
  std::optional<AdminAnswer> Put(const std::string& target, const std::string& body = "") const;
  // Sends `bytes` and reads until the server closes the connection. Returns nullopt if no answer arrives or
  // the answer is not HTTP/1.1.
  std::optional<AdminAnswer> Raw(const std::string& bytes) const;

  // Returns the descriptor of a new connection, which the caller closes; -1 if connecting fails.
  int Connect() const;

 private:
  std::optional<AdminAnswer> Request(const std::string& method, const std::string& target) const;

  std::string address_;
  std::string token_;
};

}  // namespace mothrack::testing
