// The listening socket for the application's clients. Accepts connections, closes overdue ones in periodic
// sweeps, evicts one when descriptors run out, and closes all of them gradually during a planned stop.
//
// Owned by HttpFrontend, used on the thread of its event loop. Holds as many connections as the client side
// of Descriptors allows; ClientConnection bounds what each may hold. An error on one connection closes that
// connection. The constructor throws boost::system::system_error if it cannot listen.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "http/client_connection.h"
#include "http/client_log.h"
#include "http/messages.h"
#include "http/planned_stop.h"
#include "http/request_handler.h"
#include "runtime/acceptor.h"
#include "runtime/address.h"
#include "runtime/clock.h"
#include "runtime/connection_set.h"
#include "runtime/descriptors.h"
#include "runtime/log.h"
#include "runtime/sweep_timer.h"

namespace mothrack::http {

// Deadlines of the deployment's request classes, counted from the last byte of a request.
struct DeadlineRange {
  runtime::Duration shortest;
  runtime::Duration longest;
};

class Listener : private runtime::Acceptor::Owner, private ClientConnection::Owner {
 public:
  // Binds and listens; throws boost::system::system_error. `handler` is called for each request. Both bounds
  // of `deadlines` matter: the backlog is polled several times within the shortest one, in case the kernel's
  // notification for a waiting client was missed, and a planned stop ends before the SIGKILL that may follow
  // the longest one.
  Listener(boost::asio::io_context& io, const runtime::ListenOptions& options,
           runtime::Descriptors& descriptors, runtime::MemoryBudget budget, runtime::Logger& log,
           const DeadlineRange& deadlines, RequestHandler handler);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  // The listening address, with the port that the kernel chose if none was given.
  runtime::Endpoint local() const { return acceptor_.local(); }

  // Used in a hot restart: while a successor accepts from the same socket, this process accepts no new
  // clients. ResumeAccepting() undoes this if the successor has exited. native_handle() is the descriptor
  // that is passed to the successor.
  void PauseAccepting() { acceptor_.Pause(); }
  void ResumeAccepting() { acceptor_.Resume(); }
  int native_handle() { return acceptor_.native_handle(); }
  // Turns quiescing on or off. While on, `/up` answers that the address is draining, idle connections are
  // closed, and the others are closed after their response. The socket keeps listening so that `/up` can be
  // requested, and requests that still arrive are served.
  void Quiesce(bool on);
  bool quiescing() const { return quiescing_ || stop_; }
  // Also used by the front end, for requests that it rejects.
  ClientLog& client_log() override { return client_log_; }
  const ClientLog::Counts& client_counts() const { return client_log_.counts(); }
  // The number of clients that waited in the listen backlog without a notification to the event loop.
  std::uint64_t missed_wakeups() const { return acceptor_.missed_wakeups(); }
  // Starts a planned stop. Accepts clients for a while longer, unless a successor accepts them, and closes
  // each connection after its last response. Then calls `done` once. Later calls have no effect.
  void Drain(std::function<void()> done);

 private:
  // runtime::Acceptor::Owner
  bool HasCapacity() const override { return descriptors_.HasCapacity(runtime::Descriptors::Side::kClient); }
  bool EvictOne() override;
  bool CloseAbandoned();
  void Admit(boost::asio::ip::tcp::socket socket) override;

  // ClientConnection::Owner
  void Remove(const std::shared_ptr<ClientConnection>& connection) override {
    connections_.Remove(connection);
  }
  void OnAwaitingRequest(runtime::TimePoint now) override { PollAcceptor(now); }
  void CheckForDisconnects() override;
  bool ClosesAfterResponse() const override { return quiescing(); }
  // `/up` reports whether the address accepts clients. If there is a successor, it does even while this
  // process drains.
  bool ReportsDraining() const override { return quiescing() && !has_successor_; }
  RequestObserver HandleRequest(HttpRequest&& request, StreamedBody streamed_body, RequestMemory memory,
                                ReplyCallback reply) override;

  runtime::Duration SweepInterval() const;
  // Called by the timer; returns false when the stop is complete.
  bool OnSweep();
  void Sweep();
  void SweepConnection(ClientConnection& connection, runtime::TimePoint now);
  // What quiescing or a planned stop does with the connection.
  StopStep StepFor(const ClientConnection& connection, runtime::TimePoint now) const;
  void Execute(StopStep step, ClientConnection& connection);
  // Closes the acceptor when the accepting period of the planned stop is over.
  void StopAccepting(runtime::TimePoint now);
  // Looks for clients in the listen backlog for which the event loop got no notification. Runs at most once
  // per kPollInterval.
  void PollAcceptor(runtime::TimePoint now);

  runtime::Descriptors& descriptors_;
  const runtime::MemoryBudget budget_;
  const RequestHandler handler_;
  ClientLog client_log_;
  runtime::ConnectionSet<ClientConnection> connections_;
  runtime::Acceptor acceptor_;
  const runtime::Duration sweep_interval_;
  const runtime::Duration longest_deadline_;
  runtime::TimePoint last_poll_;  // when the listen backlog was last polled
  runtime::SweepTimer sweep_timer_;
  std::function<void()> on_drained_;  // called when the planned stop is complete; set once it has started
  std::optional<PlannedStop> stop_;   // set once the planned stop has started
  bool quiescing_ = false;
  bool has_unread_connections_ = false;  // there is a connection from which nothing is read
  bool drain_complete_ = false;          // the planned stop is complete, and on_drained_ was called
  bool has_successor_ = false;           // draining while a successor accepts clients at the same address
};

}  // namespace mothrack::http
