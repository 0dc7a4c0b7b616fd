// A listening TCP socket. Room for a connection is made only once a client waits for it; where the system has
// no descriptor or memory left, clients stay in the backlog for a moment instead of the program spinning.
//
// The event loop is told once of a client that waits. Whoever owns an Acceptor calls PollForMissedClients()
// now and then, so that a client is taken also where that once was missed: docs/design/wakeups.md.
//
// Owned by a server, used on the thread of its event loop only. Errors of accept() are logged and retried
// after a pause of 1 to 20 ms; errors of single connections are passed over.
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
struct ListenOn {
  ListenOn(Endpoint endpoint)
      : endpoint(std::move(endpoint)) {}  // NOLINT: an endpoint alone is the usual case
  Endpoint endpoint;
  int taken = -1;  // a socket that listens already, to be taken over; the endpoint tells its protocol
  bool share_port = false;  // another process of the same user may listen there, too (SO_REUSEPORT)
  bool paused = false;      // accepts only after Resume()
};

class Acceptor {
 public:
  // The server that the connections are for.
  class Owner {
   public:
    // May one more connection be accepted?
    virtual bool HasCapacity() const = 0;
    // Closes the connection that can be spared best; false where there is none.
    virtual bool EvictOne() = 0;
    // A new connection, as accept() returned it.
    virtual void Admit(boost::asio::ip::tcp::socket socket) = 0;

   protected:
    ~Owner() = default;
  };

  // Binds and listens, and calls `owner` from the event loop until Close(); throws
  // boost::system::system_error. `label` names the listener in log lines, as "dns".
  Acceptor(boost::asio::io_context& io, const ListenOn& where, std::string label, Owner& owner, Logger& log);

  Endpoint local() const { return socket_.local_endpoint(); }
  bool is_open() const { return socket_.is_open(); }
  // What waits in the backlog counts as taken: it is admitted before the socket closes. False where there was
  // no room for all of it: it listens on, and is to be told to close again.
  bool Close();
  // Leaves what comes to another process that has the same socket; accepts again.
  void Pause();
  void Resume();
  // Gives up this process's hold of the socket; the other one's goes on, with what waits in the backlog.
  void Release();
  bool paused() const { return paused_; }
  int native_handle() { return socket_.native_handle(); }

  // Takes clients that wait although the event loop has had its chance to tell of them. Costs one system call
  // where there is none. To be called from the event loop.
  void PollForMissedClients();
  // Times that only a look found clients: more than 0 is a fault of the system or of the event loop.
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
  Duration retry_pause_;  // the next one after a failure of accept()
  bool paused_ = false;
  bool waiting_ = false;     // the event loop is to tell of the next client
  bool confirming_ = false;  // a look found one that the event loop may still tell of
  std::uint64_t wakeups_ = 0;
  std::uint64_t missed_ = 0;
  const std::shared_ptr<Acceptor*>
      self_;  // goes with this: handlers that are still to come must not touch it
};

}  // namespace mothrack::runtime
