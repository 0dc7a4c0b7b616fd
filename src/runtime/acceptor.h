// A listening TCP socket. Passes each connection that it accepts to its owner, a server.
//
// The owner is asked to evict a connection only once another client is waiting. If the system is out of
// descriptors or memory, clients stay in the backlog for a short delay, and the event loop does not spin.
//
// The kernel notifies the event loop once per waiting client. The owner calls PollForMissedClients()
// periodically, so that a client is accepted even if that notification was missed: docs/design/wakeups.md.
//
// Used on the thread of the owner's event loop only. Errors of accept() are logged and retried after a delay
// of 1 to 20 ms; errors of single connections are ignored.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "runtime/address.h"
#include "runtime/clock.h"
#include "runtime/log.h"

namespace mothrack::runtime {

// Options of a listening socket.
struct ListenOptions {
  ListenOptions(Endpoint endpoint)
      : endpoint(std::move(endpoint)) {}  // NOLINT: an endpoint alone is the usual case
  Endpoint endpoint;
  // A socket that already listens, for the address family of `endpoint`; negative to bind a new socket.
  int inherited_socket = -1;
  bool share_port = false;  // another process of the same user may also listen (SO_REUSEPORT)
  bool paused = false;      // accepts no clients before Resume()
};

class Acceptor {
 public:
  // The server that accepts the connections.
  class Owner {
   public:
    // Whether one more connection may be accepted.
    virtual bool HasCapacity() const = 0;
    // Closes the connection with the lowest eviction rank. Returns false if none can be evicted.
    virtual bool EvictOne() = 0;
    // Takes over a new connection, as returned by accept().
    virtual void Admit(boost::asio::ip::tcp::socket socket) = 0;

   protected:
    ~Owner() = default;
  };

  // Binds and listens, and calls `owner` from the event loop until Close(); throws
  // boost::system::system_error. `label` names the listener in log lines, for example "dns".
  Acceptor(boost::asio::io_context& io, const ListenOptions& options, std::string label, Owner& owner,
           Logger& log);

  Endpoint local() const { return socket_.local_endpoint(); }
  bool is_open() const { return socket_.is_open(); }
  // Admits the clients in the backlog, then stops listening. Returns false, and still listens, if there was
  // no capacity for all of them; the caller must then call Close() again.
  bool Close();
  // Accepts no clients until Resume(), so that another process that has the same socket accepts them.
  void Pause();
  void Resume();
  // Closes this process's descriptor of the socket; the other process keeps it, and with it the backlog.
  void Release();
  bool paused() const { return paused_; }
  int native_handle() { return socket_.native_handle(); }

  // Accepts clients that are waiting although the event loop was not notified. Costs one system call if no
  // client is waiting. Must be called from the event loop.
  void PollForMissedClients();
  // The number of clients that only PollForMissedClients() found. If it is above 0, the kernel or the event
  // loop lost a notification.
  std::uint64_t missed_wakeups() const { return missed_wakeups_; }

 private:
  void WaitForClient();
  void RetryAfter(Duration delay);
  Duration NextRetryDelay();
  void Accept();
  bool HasWaitingClient();
  void ConfirmMissedWakeup(int rounds);

  boost::asio::io_context& io_;
  const std::string label_;
  Owner& owner_;
  Logger& log_;
  boost::asio::ip::tcp::acceptor socket_;
  boost::asio::steady_timer retry_timer_;
  Duration retry_delay_;  // applies after the next failure of accept()
  bool paused_ = false;
  bool waiting_ = false;     // an asynchronous wait for a client is pending
  bool confirming_ = false;  // polling found a client that the event loop may still report
  std::uint64_t wakeups_ = 0;
  std::uint64_t missed_wakeups_ = 0;
  // Pending handlers hold a weak pointer to it, so that they do not use a destroyed Acceptor.
  const std::shared_ptr<Acceptor*> self_;
};

}  // namespace mothrack::runtime
