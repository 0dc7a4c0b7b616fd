// A connection between two processes of one sidecar over a Unix socket. Either side sends JSON objects, one
// per line.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "runtime/write_stream.h"

namespace mothrack::hot_restart {

// Maximum line size in bytes. Larger than a state with the maximum number of remembered request ids.
inline constexpr std::size_t kMaxLineSize = std::size_t{4} * 1024 * 1024;

// Used on the thread of the event loop only. Held by shared_ptr and kept alive by its pending operations.
// Buffers at most twice kMaxLineSize bytes for sending, and one line of kMaxLineSize that is received. A link
// that exceeds one of these bounds is closed.
class Link : public std::enable_shared_from_this<Link> {
 public:
  using Socket = boost::asio::local::stream_protocol::socket;
  using OnLine = std::function<void(const nlohmann::json&)>;
  using OnEnd = std::function<void()>;

  // `received`: bytes that were already received and are not parsed yet.
  explicit Link(Socket socket, std::string received = {})
      : socket_(std::move(socket)), write_stream_(socket_), received_(std::move(received)) {}

  // Starts reading. Must be called once. `on_end` is called once, when the other process has exited, has sent
  // something other than a JSON object, or does not read. Neither handler is called after Close().
  void Start(OnLine on_line, OnEnd on_end);
  // Replaces the handlers.
  void SetHandlers(OnLine on_line, OnEnd on_end);
  // Queues one line for sending.
  void Send(const nlohmann::json& line);
  // Closes the socket without calling `on_end`.
  void Close();

  Socket& socket() { return socket_; }

 private:
  void Read();
  bool DeliverLines(std::size_t scanned);
  void Write();
  void Disconnect();

  Socket socket_;
  runtime::WriteStream<Socket> write_stream_;
  OnLine on_line_;
  OnEnd on_end_;
  std::string received_;  // bytes that are not parsed yet
  std::string pending_;   // lines that are sent after the current write
  std::string writing_;   // lines of the current write; empty if there is none
};

}  // namespace mothrack::hot_restart
