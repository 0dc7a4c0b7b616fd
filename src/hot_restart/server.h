// Hot restart: the serving process (the predecessor) and its successor run side by side until one of them
// exits. The successor finds the serving process through a Unix socket in a shared directory. It receives the
// listening socket itself (SCM_RIGHTS, unix(7)), so that no connection in the listen backlog is lost when
// either process exits, and the state that must survive the restart (state.h). From then on each process
// notifies the other of changes. This file has the side of the serving process; client.h has the takeover by
// the successor.
//
// Lines, in either direction (link.h): {"takeover":1} requests the takeover; the reply is the state, or
// {"busy":true} while another successor is starting; {"ready":true} says that the successor accepts clients.
// All others are Updates (messages.h): {"ban":ID}, {"unban":ID}, {"rest":bool}, {"id":ID}, {"sockets":N}.
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

// Listens for successors, one at a time, and keeps the links to the successor and to the predecessor. Used on
// the thread of the event loop only.
class HotRestartServer {
 public:
  // Implemented by the serving process. Called on the thread of the event loop.
  class Handler {
   public:
    // Returns the current state, for a successor.
    virtual State ExportState() = 0;
    // Returns the listening socket for clients. The handler keeps the ownership.
    virtual int ListeningSocket() = 0;
    // The successor accepts clients from now on.
    virtual void OnSuccessorReady() = 0;
    // The successor exited, whether it was ready or not.
    virtual void OnSuccessorExited() = 0;
    // The predecessor exited.
    virtual void OnPredecessorExited() = 0;
    // An update from the other process.
    virtual void OnUpdate(const Update& update) = 0;

   protected:
    ~Handler() = default;
  };

  // `path`: the file name of the Unix socket. `predecessor`: the link to it; null unless this process took
  // over. `handler` and `log` must outlive this object.
  HotRestartServer(boost::asio::io_context& io, std::string path, std::shared_ptr<Link> predecessor,
                   Handler& handler, runtime::Logger& log);
  ~HotRestartServer();
  HotRestartServer(const HotRestartServer&) = delete;
  HotRestartServer& operator=(const HotRestartServer&) = delete;

  // Must be called when this process accepts clients. Notifies its predecessor and listens at the path, so
  // that the next successor finds this process. A failure to listen there is logged.
  void AnnounceReady();
  // Sends the update to the predecessor and the successor, if there are any.
  void Notify(const Update& update);
  // Sends the update to the successor, if there is one.
  void NotifySuccessor(const Update& update);

  // Whether there is a successor that accepts clients.
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
  std::shared_ptr<Link> predecessor_;  // null if there is none
  std::shared_ptr<Link> successor_;    // has got the state; null if there is none
  std::shared_ptr<Link> candidate_;    // has connected but not yet requested the takeover
  bool successor_ready_ = false;       // the successor accepts clients
};

}  // namespace mothrack::hot_restart
