// A connection between two processes of one sidecar: a JSON object a line, either way, on a Unix socket.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "runtime/write_stream.h"

namespace mothrack::hot_restart {

// Bytes: longer than a state with all ids that are remembered.
inline constexpr std::size_t kLongestLine = std::size_t{4} * 1024 * 1024;

// Not thread-safe. Owned by shared_ptr, and by its own operations while they are under way.
class Link : public std::enable_shared_from_this<Link> {
 public:
  using Socket = boost::asio::local::stream_protocol::socket;
  using OnLine = std::function<void(const nlohmann::json&)>;
  using OnEnd = std::function<void()>;

  // `received`: bytes that have come already and are not parsed yet.
  explicit Link(Socket socket, std::string received = {})
      : socket_(std::move(socket)), write_stream_(socket_), received_(std::move(received)) {}

  // Reads from now on; to be called once. `on_end` is called once, when the other process has exited, sends
  // what is no JSON object, or does not read; nothing is called after Close().
  void Start(OnLine on_line, OnEnd on_end);
  // Replaces the handlers.
  void SetHandlers(OnLine on_line, OnEnd on_end);
  // Sends one line, when those before are sent.
  void Send(const nlohmann::json& line);
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
  std::string received_;
  std::string pending_;
  std::string writing_;
};

}  // namespace mothrack::hot_restart
