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

constexpr auto kAskAgain = std::chrono::milliseconds(50);

}  // namespace

Handover::Handover(boost::asio::io_context& io, std::string path, std::shared_ptr<Link> predecessor,
                   Owner& owner, runtime::Logger& log)
    : io_(io),
      path_(std::move(path)),
      owner_(owner),
      log_(log),
      acceptor_(io),
      pause_(io),
      predecessor_(std::move(predecessor)) {
  if (!predecessor_) return;
  const auto link = predecessor_;  // it may end at once
  link->Start([this](const json& line) { owner_.Heard(line); },
              [this] {
                predecessor_.reset();
                owner_.PredecessorGone();
              });
}

Handover::~Handover() {
  for (const auto& link : {predecessor_, successor_, asking_}) {
    if (link) link->Drop();
  }
  // The path may be a successor's by now.
  if (acceptor_.is_open() && !succeeded_) ::unlink(path_.c_str());
}

void Handover::Ready() {
  if (predecessor_) predecessor_->Send({{"ready", true}});
  ListenOrSay();
}

void Handover::ListenOrSay() {
  error_code ignored;
  acceptor_.close(ignored);
  try {
    Listen();
  } catch (const boost::system::system_error& e) {
    log_.Line("handover: no successor will find this process: " + path_ + ": " + e.code().message());
  }
}

// Under another name first: a successor finds either process by the path, never none.
void Handover::Listen() {
  const std::string fresh = path_ + '.' + std::to_string(::getpid());
  ::unlink(fresh.c_str());
  acceptor_.open();
  // Else one that left ahead of its turn hides those behind it until a further one comes.
  acceptor_.set_option(boost::asio::socket_base::enable_connection_aborted(true));
  const mode_t before = ::umask(0177);
  error_code error;
  acceptor_.bind(Protocol::endpoint(fresh), error);
  ::umask(before);
  if (!error) acceptor_.listen(8, error);
  if (!error && std::rename(fresh.c_str(), path_.c_str()) != 0) {
    error = error_code(errno, boost::system::system_category());
  }
  if (error) {
    ::unlink(fresh.c_str());
    acceptor_.close();
    throw boost::system::system_error(error);
  }
  Accept();
}

void Handover::Accept() {
  acceptor_.async_accept([this](error_code error, Protocol::socket socket) {
    if (error == boost::asio::error::operation_aborted || !acceptor_.is_open()) return;
    // Descriptors or memory ran out for a moment: a successor must find this process all the same.
    if (error) return AcceptLater();
    if (asking_) std::exchange(asking_, nullptr)->Drop();  // one that asks does so at once
    asking_ = std::make_shared<Link>(std::move(socket));
    asking_->Start([this, link = asking_.get()](const json& line) { Asked(link->shared_from_this(), line); },
                   [this] { asking_.reset(); });
    Accept();
  });
}

void Handover::AcceptLater() {
  pause_.expires_after(kAskAgain);
  pause_.async_wait([this](error_code error) {
    if (!error && acceptor_.is_open()) Accept();
  });
}

void Handover::Asked(const std::shared_ptr<Link>& link, const json& line) {
  if (link == successor_) {
    if (!line.contains("ready")) return owner_.Heard(line);
    if (std::exchange(succeeded_, true)) return;
    log_.Line("handover: a successor takes clients");
    return owner_.Succeeded();
  }
  if (!line.contains("takeover")) return link->Drop();
  if (successor_) {
    link->Send({{"busy", true}});
    return;
  }
  Give(link);
}

void Handover::Give(const std::shared_ptr<Link>& link) {
  if (!SendSocket(link->socket().native_handle(), owner_.Listening())) return link->Drop();
  asking_.reset();
  successor_ = link;
  log_.Line("handover: a successor asked and was given what it needs");
  link->Follow([this, raw = link.get()](const json& line) { Asked(raw->shared_from_this(), line); },
               [this] {
                 successor_.reset();
                 log_.Line("handover: the successor is gone");
                 // The path was its.
                 if (std::exchange(succeeded_, false)) ListenOrSay();
                 owner_.SuccessorGone();
               });
  link->Send(ToJson(owner_.GiveState()));
}

void Handover::Tell(const json& line) {
  if (predecessor_) predecessor_->Send(line);
  TellSuccessor(line);
}

void Handover::TellSuccessor(const json& line) {
  if (successor_) successor_->Send(line);
}

}  // namespace mothrack::hot_restart
