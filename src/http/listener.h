// The address at which the application's clients connect: accepts connections, sweeps those that are overdue,
// gives one up when descriptors run out, and empties itself on a planned stop.
//
// Owned by HttpFrontend, on the thread of its event loop. Holds as many connections as Descriptors allows its
// side; what a connection may hold is bounded there. Errors of single connections close these; the
// constructor throws boost::system::system_error where it can't listen.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "http/client_connection.h"
#include "http/messages.h"
#include "http/request_handler.h"
#include "runtime/acceptor.h"
#include "runtime/address.h"
#include "runtime/clock.h"
#include "runtime/connection_set.h"
#include "runtime/descriptors.h"
#include "runtime/log.h"
#include "runtime/sweep_timer.h"

namespace mothrack::http {

// Of the requests that a deployment has, from their last byte on.
struct DeadlineRange {
  runtime::Duration shortest;
  runtime::Duration longest;
};

class Listener : private runtime::Acceptor::Owner, private ClientConnection::Owner {
 public:
  // Binds and listens; throws boost::system::system_error. `handler` gets each request.
  // A client that the system does not tell of is found well within the shortest deadline of a request. A
  // planned stop ends ahead of the SIGKILL that may follow the longest one.
  Listener(boost::asio::io_context& io, const runtime::ListenOn& where, runtime::Descriptors& descriptors,
           runtime::ByteBudget& budget, runtime::Logger& log, const DeadlineRange& deadlines,
           RequestHandler handler);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  // The address that it listens at, with the port that the system chose where none was given.
  runtime::Endpoint local() const { return acceptor_.local(); }

  // A successor accepts from the same socket: this one leaves new clients to it. Taken back where it is gone.
  void PauseAccepting() { acceptor_.Pause(); }
  void ResumeAccepting() { acceptor_.Resume(); }
  int native_handle() { return acceptor_.native_handle(); }
  // Empties it, or takes clients again: `/up` says no, idle connections are closed, the others after their
  // answer. It listens on, so that `/up` can be asked; what still comes is served.
  void Quiesce(bool on);
  bool quiescing() const { return quiescing_ || drained_; }
  // Times that clients waited in the system's queue and the event loop was not told.
  std::uint64_t missed_wakeups() const { return acceptor_.missed_wakeups(); }
  // A planned stop: serves what still comes for a while, unless a successor does, tells each client to close,
  // then calls `done`, once. Calls after the first have no effect.
  void Drain(std::function<void()> done);

 private:
  // Of the acceptor
  bool HasCapacity() const override { return descriptors_.HasCapacity(runtime::Descriptors::Side::kClient); }
  bool EvictOne() override;
  void Admit(boost::asio::ip::tcp::socket socket) override;

  // Of the connections
  void Remove(const std::shared_ptr<ClientConnection>& connection) override {
    connections_.Remove(connection);
  }
  void OnAwaitingRequest(runtime::TimePoint now) override { PollAcceptor(now); }
  void CheckForDisconnects() override;
  bool ClosesAfterResponse() const override { return quiescing(); }
  // Asked is whether the address takes clients: with a successor it does.
  bool ReportsDraining() const override { return quiescing() && !has_successor_; }
  RequestObserver HandleRequest(HttpRequest request, ComingBody coming, ReplyCallback reply) override;

  runtime::Duration SweepInterval() const;
  // Of the timer; false once all is over.
  bool OnSweep();
  void Sweep();
  void SweepConnection(ClientConnection& connection, runtime::TimePoint now, runtime::Duration draining_for);
  // Ends the accepting of a planned stop when its time has come.
  void StopAccepting(runtime::Duration draining_for);
  // Finds clients that wait and of which the event loop was not told; not more often than every
  // kPollInterval.
  void PollAcceptor(runtime::TimePoint now);

  runtime::Descriptors& descriptors_;
  runtime::ByteBudget& budget_;
  const RequestHandler handler_;
  runtime::ConnectionSet<ClientConnection> connections_;
  runtime::Acceptor acceptor_;
  const runtime::Duration sweep_every_;
  const runtime::Duration stop_within_;  // of a planned stop, from its start
  runtime::TimePoint last_poll_;         // of the acceptor
  runtime::SweepTimer sweep_timer_;
  std::function<void()> drained_;  // set while draining
  bool quiescing_ = false;
  bool has_unread_connections_ = false;  // a connection is served while nothing is read from it
  bool ended_ = false;                   // drained, and the owner was told
  bool has_successor_ = false;           // draining, and a successor takes clients at the same address
  runtime::TimePoint drain_started_;
};

}  // namespace mothrack::http
