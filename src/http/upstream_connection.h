// One connection to an upstream, and the pool that holds it while it is idle.
//
// A connection is owned by its pool while idle and by an UpstreamExchange while in use. It runs on the thread
// of the event loop. While it is idle, any event (a close or unexpected bytes) closes it. It has no buffers:
// each exchange reads into its own.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
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

// Counters since the start of the process.
struct TransportCounters {
  // Numbers of connections. `failed` counts those for which connect() did not succeed.
  std::uint64_t opened = 0, failed = 0, closed = 0, evicted = 0;
  std::uint64_t probes = 0;  // probes that were requested
  // Responses that were not sound, and connections that brought bytes while they were idle.
  std::uint64_t unsound = 0, idle_bytes = 0;
};

// The idle connections to one upstream. An upstream that moved or restarted gets a new pool. The old pool,
// marked as gone, lives on while exchanges refer to it.
struct UpstreamPool {
  dispatch::Location location;
  std::vector<std::shared_ptr<UpstreamConnection>> idle;  // most recently used last

  // Removes `connection` from `idle`, if it is there.
  void Remove(const UpstreamConnection& connection);
};

class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
 public:
  // Occupies one descriptor of the upstream side until it is closed. `counters` must outlive the connection.
  UpstreamConnection(boost::asio::io_context& io, runtime::Descriptors& descriptors,
                     TransportCounters& counters, const std::shared_ptr<UpstreamPool>& pool);

  // First step of connecting: creates the socket. An error is local to this machine.
  boost::system::error_code OpenSocket();
  // Second step: connects. `done` is called from the event loop, unless Close() was called before.
  void Connect(std::function<void(boost::system::error_code)> done);
  // Closes the socket. Pending handlers have no effect any more.
  void Close();

  // Marks the start of an exchange. Events are handled by the exchange from now on.
  void BeginUse() { ++use_; }
  // The exchange has ended. Any event from now on closes the connection.
  void BeginIdle();
  // Whether the upstream has neither closed the connection nor sent unexpected bytes. Checked before each
  // use, because the event loop may not have delivered the event yet.
  bool LooksAlive();
  // Arranges that Close() sends an RST if the kernel's send buffer still holds bytes. After a plain close the
  // kernel would still deliver them, however late, and the request would start long after it was cancelled.
  // Must be called before Close().
  void DiscardUnsent();

  // A response on this connection was not sound.
  void CountUnsound() { ++counters_.unsound; }

  bool connected() const { return connected_; }
  bool closed() const { return closed_; }
  runtime::TimePoint idle_since() const { return idle_since_; }
  // Null once the upstream is gone and nothing else refers to its pool.
  std::shared_ptr<UpstreamPool> pool() const { return pool_.lock(); }
  boost::asio::ip::tcp::socket& socket() { return socket_; }
  // The timer of the exchange that uses the connection. Kept here, so that it is not constructed and
  // destroyed for each exchange.
  boost::asio::steady_timer& timer() { return timer_; }

 private:
  // Closes the connection at the next event, unless an exchange begins before.
  void Watch();

  TransportCounters& counters_;
  const std::weak_ptr<UpstreamPool> pool_;
  std::optional<runtime::Descriptors::Slot> slot_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  bool connected_ = false;
  bool closed_ = false;
  // The number of exchanges so far. A wait of Watch() that began before the latest one has no effect.
  std::uint64_t use_ = 0;
  runtime::TimePoint idle_since_;
};

}  // namespace mothrack::http
