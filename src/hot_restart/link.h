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

// Longer than a state with all ids that are remembered.
inline constexpr std::size_t kLongestLine = std::size_t{4} * 1024 * 1024;

class Link : public std::enable_shared_from_this<Link> {
 public:
  using Socket = boost::asio::local::stream_protocol::socket;
  using OnLine = std::function<void(const nlohmann::json&)>;
  using OnEnd = std::function<void()>;

  // `read` has come already, and is not looked at yet.
  explicit Link(Socket socket, std::string read = {})
      : socket_(std::move(socket)), write_stream_(socket_), in_(std::move(read)) {}

  // Reads from now on. `on_end` is called once, when the other process is gone or talks nonsense; nothing is
  // called after Drop().
  void Start(OnLine on_line, OnEnd on_end);
  // Others hear from now on.
  void Follow(OnLine on_line, OnEnd on_end);
  void Send(const nlohmann::json& line);
  void Drop();

  Socket& socket() { return socket_; }

 private:
  void Read();
  bool TakeLines(std::size_t looked);
  void Write();
  void End();

  Socket socket_;
  runtime::WriteStream<Socket> write_stream_;
  OnLine on_line_;
  OnEnd on_end_;
  std::string in_;
  std::string out_;
  std::string writing_;
};

}  // namespace mothrack::hot_restart
