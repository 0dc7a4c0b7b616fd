#include "hot_restart/server.h"

#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdio>
#include <utility>

#include "hot_restart/socket_passing.h"

namespace mothrack::hot_restart {
namespace {

using boost::system::error_code;
using nlohmann::json;

// Delay before the next accept after a failed one.
constexpr auto kRetryInterval = std::chrono::milliseconds(50);
// The listen backlog. Small, because successors start one after the other.
constexpr int kBacklog = 8;

}  // namespace

HotRestartServer::HotRestartServer(boost::asio::io_context& io, std::string path,
                                   std::shared_ptr<Link> predecessor, Handler& handler, runtime::Logger& log)
    : path_(std::move(path)),
      handler_(handler),
      log_(log),
      acceptor_(io),
      accept_timer_(io),
      predecessor_(std::move(predecessor)) {
  if (!predecessor_) return;
  const auto link = predecessor_;  // a copy, because the link may end during Start()
  link->Start([this](const json& line) { handler_.OnUpdate(ParseUpdate(line)); },
              [this] {
                predecessor_.reset();
                handler_.OnPredecessorExited();
              });
}

HotRestartServer::~HotRestartServer() {
  for (const auto& link : {predecessor_, successor_, candidate_}) {
    if (link) link->Close();
  }
  // If the successor is ready, it listens at the path.
  if (acceptor_.is_open() && !successor_ready_) ::unlink(path_.c_str());
}

void HotRestartServer::AnnounceReady() {
  if (predecessor_) predecessor_->Send({{kReadyKey, true}});
  ListenOrLog();
}

void HotRestartServer::ListenOrLog() {
  error_code ignored;
  acceptor_.close(ignored);
  try {
    Listen();
  } catch (const boost::system::system_error& e) {
    log_.Warn("hot_restart_unreachable", {{"path", path_}, {"cause", e.code().message()}});
  }
}

// Binds the socket to a temporary path and renames that path. So a successor finds either this process or its
// predecessor at the path at any time.
void HotRestartServer::Listen() {
  const std::string temporary = path_ + '.' + std::to_string(::getpid());
  ::unlink(temporary.c_str());
  acceptor_.open();
  // By default Asio hides ECONNABORTED and waits for the next connection. If a successor disconnected while
  // in the backlog, those behind it would then not be accepted until another one connects.
  acceptor_.set_option(boost::asio::socket_base::enable_connection_aborted(true));
  const mode_t previous_mask = ::umask(0177);
  error_code error;
  acceptor_.bind(Protocol::endpoint(temporary), error);
  ::umask(previous_mask);
  if (!error) acceptor_.listen(kBacklog, error);
  if (!error && std::rename(temporary.c_str(), path_.c_str()) != 0) {
    error = error_code(errno, boost::system::system_category());
  }
  if (error) {
    ::unlink(temporary.c_str());
    acceptor_.close();
    throw boost::system::system_error(error);
  }
  Accept();
}

void HotRestartServer::Accept() {
  acceptor_.async_accept([this](error_code error, Protocol::socket socket) {
    if (error == boost::asio::error::operation_aborted || !acceptor_.is_open()) return;
    // Descriptors or memory may have run out for a moment. Accepting is retried, because a successor must be
    // able to reach this process.
    if (error) return AcceptLater();
    // A successor sends its request right after it has connected. So an earlier connection that has sent none
    // is closed.
    if (candidate_) std::exchange(candidate_, nullptr)->Close();
    candidate_ = std::make_shared<Link>(std::move(socket));
    candidate_->Start([this, link = candidate_.get()](
                          const json& line) { OnCandidateMessage(link->shared_from_this(), line); },
                      [this] { candidate_.reset(); });
    Accept();
  });
}

void HotRestartServer::AcceptLater() {
  accept_timer_.expires_after(kRetryInterval);
  accept_timer_.async_wait([this](error_code error) {
    if (!error && acceptor_.is_open()) Accept();
  });
}

void HotRestartServer::OnCandidateMessage(const std::shared_ptr<Link>& link, const json& line) {
  if (link == successor_) {
    if (!line.contains(kReadyKey)) return handler_.OnUpdate(ParseUpdate(line));
    if (std::exchange(successor_ready_, true)) return;
    log_.FreeText("handover: a successor takes clients");
    return handler_.OnSuccessorReady();
  }
  if (!line.contains(kTakeOverKey)) return link->Close();
  if (successor_) {
    link->Send({{kBusyKey, true}});
    return;
  }
  HandOverTo(link);
}

void HotRestartServer::HandOverTo(const std::shared_ptr<Link>& link) {
  if (!SendSocket(link->socket().native_handle(), handler_.ListeningSocket())) return link->Close();
  candidate_.reset();
  successor_ = link;
  log_.Info("hot_restart_state_sent");
  link->SetHandlers(
      [this, raw = link.get()](const json& line) { OnCandidateMessage(raw->shared_from_this(), line); },
      [this] {
        successor_.reset();
        log_.FreeText("handover: the successor is gone");
        // The ready successor listened at the path.
        if (std::exchange(successor_ready_, false)) ListenOrLog();
        handler_.OnSuccessorExited();
      });
  link->Send(ToJson(handler_.ExportState()));
}

void HotRestartServer::Notify(const Update& update) {
  if (predecessor_) predecessor_->Send(ToJson(update));
  NotifySuccessor(update);
}

void HotRestartServer::NotifySuccessor(const Update& update) {
  if (successor_) successor_->Send(ToJson(update));
}

}  // namespace mothrack::hot_restart
