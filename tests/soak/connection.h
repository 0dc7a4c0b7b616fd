// A TCP connection on loopback for the peers of the soak: blocking, with a deadline for each wait.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "soak/books.h"

namespace mothrack::soak {

// Closes its socket when it is destroyed. Not thread-safe, except for EndWithReset().
class Connection {
 public:
  Connection() = default;
  explicit Connection(int descriptor) : descriptor_(descriptor) {}
  ~Connection() { Close(); }
  Connection(Connection&& other) noexcept;
  Connection& operator=(Connection&& other) noexcept;
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Connects to a loopback port; the result is not open if that fails.
  static Connection To(std::uint16_t port);

  bool is_open() const { return descriptor_ >= 0; }
  int descriptor() const { return descriptor_; }
  // Writes all of it. Returns false if the other side ends the connection or does not read until `deadline`.
  bool Send(std::string_view bytes, TimePoint deadline);
  enum class Received { kBytes, kEnd, kDeadline };
  // Appends at most `size` bytes to `to` as soon as there are any.
  Received Receive(std::string& to, std::size_t size, TimePoint deadline);
  // When the kernel last received bytes, which may be long before they were read.
  TimePoint LastReceivedAt() const;
  void Close();
  void Reset();  // closes with a reset
  // Makes a later Close() send a reset.
  void CloseWithReset();
  // Makes Receive() return on the thread that uses the connection, whose Close() then sends a reset.
  void EndWithReset();

 private:
  bool Await(short events, TimePoint deadline) const;

  int descriptor_ = -1;
};

// Reads HTTP responses from a connection (RFC 9112).
class ResponseParser {
 public:
  struct Response {
    Result result;
    std::string body;
    bool keeps_connection = false;
  };
  // Reads one response. `expected_body`: the body of a 200, of which a prefix is checked if it breaks off.
  Response Read(Connection& connection, TimePoint deadline);
  // Bytes of a response that were read and are not returned yet.
  bool has_bytes() const { return !buffer_.empty(); }

 private:
  bool ReadMore(Connection& connection, TimePoint deadline);
  bool ReadBody(Connection& connection, const std::string& head, TimePoint deadline, std::string& body);
  bool ReadChunks(Connection& connection, TimePoint deadline, std::string& body);

  std::string buffer_;
  bool ended_ = false;
};

// Returns the value of a header field, or an empty string.
std::string FieldOf(const std::string& head, const std::string& name);

}  // namespace mothrack::soak
