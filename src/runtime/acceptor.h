// A listening TCP socket. A connection is evicted to make room only once a client is waiting. If the system
// is out of descriptors or memory, clients stay in the backlog until a short pause is over, and the event
// loop does not spin.
//
// The kernel notifies the event loop once per waiting client. The owner calls PollForMissedClients()
// periodically, so that a client is accepted even if that notification was missed: docs/design/wakeups.md.
//
// Owned by a server, used on the thread of its event loop only. Errors of accept() are logged and retried
// after a pause of 1 to 20 ms; errors of single connections are ignored.
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

// Where to listen.
struct ListenOptions {
  ListenOptions(Endpoint endpoint)
      : endpoint(std::move(endpoint)) {}  // NOLINT: an endpoint alone is the usual case
  Endpoint endpoint;
  // A socket that already listens, for the address family of `endpoint`; negative to bind a new socket.
  int inherited_socket = -1;
  bool share_port = false;  // another process of the same user may listen as well (SO_REUSEPORT)
  bool paused = false;      // does not accept until Resume()
};

class Acceptor {
 public:
  // The server that accepts the connections.
  class Owner {
   public:
    // Whether one more connection may be accepted.
    virtual bool HasCapacity() const = 0;
    // Closes the connection with the lowest eviction rank; false if there is none.
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
  // Stops listening. Clients in the backlog are admitted first. False if there was no capacity for all of
  // them: then it still listens, and the caller tries again.
  bool Close();
  // Leaves new clients to another process that has the same socket; accepts again.
  void Pause();
  void Resume();
  // Closes this process's descriptor of the socket; the other process keeps it, and with it the backlog.
  void Release();
  bool paused() const { return paused_; }
  int native_handle() { return socket_.native_handle(); }

  // Accepts clients that are waiting although the event loop was not notified. Costs one system call if there
  // is none. To be called from the event loop.
  void PollForMissedClients();
  // How often only polling found a client; above 0 the kernel or the event loop lost a notification.
  std::uint64_t missed_wakeups() const { return missed_; }

 private:
  void WaitForClient();
  void RetryAfter(Duration pause);
  Duration NextRetryPause();
  void Accept();
  bool ClientWaits();
  void ConfirmMissedWakeup(int rounds);

  boost::asio::io_context& io_;
  const std::string label_;
  Owner& owner_;
  Logger& log_;
  boost::asio::ip::tcp::acceptor socket_;
  boost::asio::steady_timer pause_;
  Duration retry_pause_;  // after the next failure of accept()
  bool paused_ = false;
  bool waiting_ = false;     // an asynchronous wait for a client is pending
  bool confirming_ = false;  // polling found a client that the event loop may still report
  std::uint64_t wakeups_ = 0;
  std::uint64_t missed_ = 0;
  const std::shared_ptr<Acceptor*>
      self_;  // reset on destruction: pending handlers must not use the object then
};

}  // namespace mothrack::runtime
