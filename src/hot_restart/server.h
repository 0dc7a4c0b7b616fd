// Two processes of one sidecar, the serving one and its successor, beside each other for a while. The
// successor finds the serving one by a Unix socket in the directory that they share, and is handed the
// listening socket itself (SCM_RIGHTS, unix(7)), so that no connection in the kernel's queue is lost when
// either ends; and what must hold across the change (state.h). From then on each tells the other what it is
// told, until one of them ends.
//
// Lines, either way (link.h): {"takeover":1} asks; the state answers, or {"busy":true} while another
// successor gets ready; {"ready":true} says that the successor takes clients; {"ban":ID}, {"unban":ID},
// {"rest":bool},
// {"id":ID}, {"sockets":N}.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "hot_restart/link.h"
#include "hot_restart/state.h"
#include "runtime/log.h"

namespace mothrack::hot_restart {

class Handover {
 public:
  class Owner {
   public:
    // For a successor, now.
    virtual State GiveState() = 0;
    virtual int Listening() = 0;
    // A successor takes clients from now on; it is gone, and this process is alone again.
    virtual void Succeeded() = 0;
    virtual void SuccessorGone() = 0;
    // The one that served before is gone.
    virtual void PredecessorGone() = 0;
    // The other process has been told this, or says it of itself.
    virtual void Heard(const nlohmann::json& line) = 0;

   protected:
    ~Owner() = default;
  };

  // `predecessor`: where this process took over.
  Handover(boost::asio::io_context& io, std::string path, std::shared_ptr<Link> predecessor, Owner& owner,
           runtime::Logger& log);
  ~Handover();
  Handover(const Handover&) = delete;
  Handover& operator=(const Handover&) = delete;

  // This process takes clients: its predecessor hears so, and the next successor finds this one by the path.
  void Ready();
  // Tells the other process, where there is one.
  void Tell(const nlohmann::json& line);
  void TellSuccessor(const nlohmann::json& line);

  bool has_successor() const { return succeeded_; }
  bool has_predecessor() const { return predecessor_ != nullptr; }

 private:
  using Protocol = boost::asio::local::stream_protocol;

  void ListenOrSay();
  void Listen();
  void Accept();
  void AcceptLater();
  void Asked(const std::shared_ptr<Link>& link, const nlohmann::json& line);
  void Give(const std::shared_ptr<Link>& link);

  boost::asio::io_context& io_;
  const std::string path_;
  Owner& owner_;
  runtime::Logger& log_;
  Protocol::acceptor acceptor_;
  boost::asio::steady_timer pause_;
  std::shared_ptr<Link> predecessor_;
  std::shared_ptr<Link> successor_;
  std::shared_ptr<Link> asking_;  // has connected, and not asked yet
  bool succeeded_ = false;        // the successor takes clients
};

}  // namespace mothrack::hot_restart
