// The application's side: takes its connections, parses requests, passes answers, notices when it leaves.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

#include "http/messages.h"
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

class Listener : private runtime::Acceptor::Owner {
 public:
  // The body of an answer may still be coming.
  using Reply = std::function<void(HttpResponse, ComingBody)>;
  // What is to be done when the client leaves before its answer is whole; when the last byte has come of a
  // request that was handed on before.
  struct Taken {
    std::function<void()> gone;
    std::function<void()> whole;
  };
  // Takes one request, whose body may still be coming, and calls `reply` once, perhaps at once.
  using OnRequest = std::function<Taken(HttpRequest request, ComingBody coming, Reply reply)>;

  // Binds and listens; throws boost::system::system_error.
  // A client that the system does not tell of is found well within the shortest deadline of a request. A
  // planned stop ends ahead of the SIGKILL that may follow the longest one.
  Listener(boost::asio::io_context& io, const runtime::ListenOn& where, runtime::Descriptors& descriptors,
           runtime::ByteBudget& budget, runtime::Logger& log, const DeadlineRange& deadlines,
           OnRequest on_request);
  ~Listener();

  runtime::Endpoint local() const { return acceptor_.local(); }

  // A successor accepts from the same socket: this one leaves new clients to it. Taken back where it is gone.
  void HandOver() { acceptor_.Pause(); }
  void TakeBack() { acceptor_.Resume(); }
  int native_handle() { return acceptor_.native_handle(); }
  // Empties it, or takes clients again: `/up` says no, idle connections are closed, the others after their
  // answer. It listens on, so that `/up` can be asked; what still comes is served.
  void Rest(bool on);
  bool resting() const { return resting_ || drained_; }
  // Clients that waited in the system's queue and of which it did not tell.
  std::uint64_t missed() const { return acceptor_.missed(); }
  // A planned stop: serves what still comes for a while, unless a successor does, tells each client to close,
  // then calls `done`.
  void Drain(std::function<void()> done);

 private:
  class Connection;

  bool Room() const override { return descriptors_.Room(runtime::Descriptors::Side::kClient); }
  bool MakeRoom() override;
  void Admit(boost::asio::ip::tcp::socket socket) override;
  runtime::Duration SweepInterval() const;
  // Of the timer; false once all is over.
  bool OnSweep();
  void Sweep();
  // Something came from a client.
  void Heard(runtime::TimePoint now);
  // A connection is served while nothing is read from it: only a look tells that its client has left.
  void CheckForDisconnects();

  runtime::Descriptors& descriptors_;
  runtime::ByteBudget& budget_;
  runtime::Logger& log_;
  const OnRequest on_request_;
  runtime::ConnectionSet<Connection> connections_;
  runtime::Acceptor acceptor_;
  const runtime::Duration sweep_every_;
  const runtime::Duration stop_within_;  // of a planned stop, from its start
  runtime::TimePoint looked_;            // for clients that wait
  runtime::SweepTimer sweep_timer_;
  std::function<void()> drained_;  // set while draining
  bool resting_ = false;
  bool unread_ = false;     // a connection is served while nothing is read from it
  bool ended_ = false;      // drained, and told so
  bool succeeded_ = false;  // draining, and a successor takes clients at the same address
  runtime::TimePoint drain_started_;
};

}  // namespace mothrack::http
