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

// Until the next accept after one that failed.
constexpr auto kRetryInterval = std::chrono::milliseconds(50);
// Successors start one after the other.
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
  const auto link = predecessor_;  // it may end at once
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
  // The path may be a successor's by now.
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
    log_.Warn("handover_unreachable", {{"path", path_}, {"cause", e.code().message()}});
  }
}

// Under another name first: a successor finds either process by the path, never none.
void HotRestartServer::Listen() {
  const std::string temporary = path_ + '.' + std::to_string(::getpid());
  ::unlink(temporary.c_str());
  acceptor_.open();
  // Else one that left ahead of its turn hides those behind it until a further one comes.
  acceptor_.set_option(boost::asio::socket_base::enable_connection_aborted(true));
  const mode_t before = ::umask(0177);
  error_code error;
  acceptor_.bind(Protocol::endpoint(temporary), error);
  ::umask(before);
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
    // Descriptors or memory ran out for a moment: a successor must find this process all the same.
    if (error) return AcceptLater();
    if (candidate_) std::exchange(candidate_, nullptr)->Close();  // one that wants to take over asks at once
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
    log_.Stated("handover: a successor takes clients");
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
  log_.Info("handover_state_given");
  link->SetHandlers(
      [this, raw = link.get()](const json& line) { OnCandidateMessage(raw->shared_from_this(), line); },
      [this] {
        successor_.reset();
        log_.Stated("handover: the successor is gone");
        // The path was the successor's.
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
