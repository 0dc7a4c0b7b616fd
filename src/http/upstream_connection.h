// One connection to an upstream, and the pool that holds it while it is idle.
//
// A connection is owned by its pool while it is idle and by an UpstreamExchange while it carries one; on the
// thread of the event loop. While it is idle it is only watched: whatever comes then, a close or bytes,
// retires it, and each exchange starts with nothing read and nothing parsed.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/system/error_code.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "dispatch/exchange.h"
#include "runtime/clock.h"
#include "runtime/descriptors.h"

namespace mothrack::http {

class UpstreamConnection;

// Since the start of the process.
struct TransportCounters {
  std::uint64_t opened = 0, failed = 0, closed = 0, evicted = 0;  // connections; failed: never came up
  std::uint64_t probes = 0;
};

// The idle connections to one upstream. An upstream that moved or started anew gets a new pool; the old one
// lives on, as gone, for as long as exchanges refer to it.
struct UpstreamPool {
  dispatch::Location location;
  std::vector<std::shared_ptr<UpstreamConnection>> idle;  // the most recently used one last

  void Remove(const UpstreamConnection& connection);
};

class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
 public:
  // Takes a descriptor on the upstreams' side until it is closed. `counters` must outlive it.
  UpstreamConnection(boost::asio::io_context& io, runtime::Descriptors& descriptors,
                     TransportCounters& counters, const std::shared_ptr<UpstreamPool>& pool);

  // The first step of connecting; an error is one of this machine.
  boost::system::error_code OpenSocket();
  // The second step; `done` is called from the event loop, unless Close() came before.
  void Connect(std::function<void(boost::system::error_code)> done);
  // Ends it; handlers that are under way do nothing any more.
  void Close();

  // Begins to carry an exchange.
  void BeginUse() { ++use_; }
  // Its exchange is over: nothing of it is kept, and whatever comes from here on retires the connection.
  void BeginIdle();
  // Did the upstream close it, or say something nobody asked for? Asked before each use: the event may not
  // have been delivered yet.
  bool LooksAlive();
  // A plain close leaves what the system has taken to be delivered, however late: the request would begin
  // long after it was given up. A reset takes that back; to be called ahead of Close().
  void DiscardUnsent();

  bool connected() const { return connected_; }
  bool closed() const { return closed_; }
  runtime::TimePoint idle_since() const { return idle_since_; }
  // Null once the upstream is gone and nobody else refers to its pool.
  std::shared_ptr<UpstreamPool> pool() const { return pool_.lock(); }
  boost::asio::ip::tcp::socket& socket() { return socket_; }
  // What was read and not parsed; at most kMaxReadAhead bytes.
  boost::beast::flat_buffer& buffer() { return buffer_; }

 private:
  void Watch();

  TransportCounters& counters_;
  const std::weak_ptr<UpstreamPool> pool_;
  std::optional<runtime::Descriptors::Slot> slot_;
  boost::asio::ip::tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  bool connected_ = false;
  bool closed_ = false;
  std::uint64_t use_ = 0;  // counts the exchanges: a watch that one outran is void
  runtime::TimePoint idle_since_;
};

}  // namespace mothrack::http
