// Two processes of one sidecar, the serving one (the predecessor) and its successor, beside each other for a
// while. The successor finds the serving one by a Unix socket in the directory that they share, and is handed
// the listening socket itself (SCM_RIGHTS, unix(7)), so that no connection in the kernel's queue is lost when
// either ends; and the state that must hold across the change (state.h). From then on each notifies the other
// of what changes, until one of them exits. Here is the side of the process that serves; client.h has the
// successor's first step.
//
// Lines, either way (link.h): {"takeover":1} asks; the state answers, or {"busy":true} while another
// successor gets ready; {"ready":true} says that the successor accepts clients. All others are Updates
// (messages.h):
// {"ban":ID}, {"unban":ID}, {"rest":bool}, {"id":ID}, {"sockets":N}.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "hot_restart/link.h"
#include "hot_restart/messages.h"
#include "hot_restart/state.h"
#include "runtime/log.h"

namespace mothrack::hot_restart {

// Listens for successors, one at a time, and keeps the links to the successor and to the predecessor. Not
// thread-safe: used by the one thread of its event loop.
class HotRestartServer {
 public:
  // The process that serves. Called on the event loop.
  class Handler {
   public:
    // The state for a successor, as it is now.
    virtual State ExportState() = 0;
    // The socket where clients connect; it stays the handler's.
    virtual int ListeningSocket() = 0;
    // The successor accepts clients from now on.
    virtual void OnSuccessorReady() = 0;
    // The successor exited, ready or not: this process is alone again.
    virtual void OnSuccessorExited() = 0;
    virtual void OnPredecessorExited() = 0;
    // The other process notifies this one.
    virtual void OnUpdate(const Update& update) = 0;

   protected:
    ~Handler() = default;
  };

  // `path`: of the Unix socket. `predecessor`: null unless this process took over. `handler` and `log` must
  // outlive it.
  HotRestartServer(boost::asio::io_context& io, std::string path, std::shared_ptr<Link> predecessor,
                   Handler& handler, runtime::Logger& log);
  ~HotRestartServer();
  HotRestartServer(const HotRestartServer&) = delete;
  HotRestartServer& operator=(const HotRestartServer&) = delete;

  // This process accepts clients: its predecessor is notified, and the next successor finds this one by the
  // path. Where it can't listen there that is logged.
  void AnnounceReady();
  // Notifies the predecessor and the successor, where there are any.
  void Notify(const Update& update);
  void NotifySuccessor(const Update& update);

  // A successor that accepts clients.
  bool has_successor() const { return successor_ready_; }
  bool has_predecessor() const { return predecessor_ != nullptr; }

 private:
  using Protocol = boost::asio::local::stream_protocol;

  void ListenOrLog();
  void Listen();
  void Accept();
  void AcceptLater();
  void OnCandidateMessage(const std::shared_ptr<Link>& link, const nlohmann::json& line);
  void HandOverTo(const std::shared_ptr<Link>& link);

  const std::string path_;
  Handler& handler_;
  runtime::Logger& log_;
  Protocol::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_;
  std::shared_ptr<Link> predecessor_;
  std::shared_ptr<Link> successor_;
  std::shared_ptr<Link> candidate_;  // has connected, and not asked to take over yet
  bool successor_ready_ = false;     // the successor accepts clients
};

}  // namespace mothrack::hot_restart
