#include "hot_restart/handover.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <stdexcept>
#include <string_view>
#include <thread>
#include <utility>

namespace mothrack::hot_restart {
namespace {

using boost::system::error_code;
using nlohmann::json;
using Protocol = boost::asio::local::stream_protocol;

constexpr auto kAskAgain = std::chrono::milliseconds(50);
constexpr std::size_t kReadSize = 16384;

// The listening socket goes along with the first byte, ahead of the state's line.
constexpr char kWithSocket = '\n';

union Control {
  cmsghdr align;
  std::array<char, CMSG_SPACE(sizeof(int))> bytes;
};

bool SendSocket(int to, int socket) {
  char byte = kWithSocket;
  iovec part{&byte, 1};
  Control control{};
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  message.msg_control = control.bytes.data();
  message.msg_controllen = control.bytes.size();
  cmsghdr* header = CMSG_FIRSTHDR(&message);
  header->cmsg_level = SOL_SOCKET;
  header->cmsg_type = SCM_RIGHTS;
  header->cmsg_len = CMSG_LEN(sizeof socket);
  std::memcpy(CMSG_DATA(header), &socket, sizeof socket);
  ssize_t sent = 0;
  do {
    sent = ::sendmsg(to, &message, MSG_NOSIGNAL);
  } while (sent < 0 && errno == EINTR);
  return sent == 1;
}

// All of it, on a socket that blocks; false where the connection broke.
bool SendAll(int to, std::string_view text) {
  while (!text.empty()) {
    const ssize_t sent = ::send(to, text.data(), text.size(), MSG_NOSIGNAL);
    if (sent < 0 && errno != EINTR) return false;
    if (sent > 0) text.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

// Is there something to read, or the end, before `until`?
bool Readable(int descriptor, std::chrono::steady_clock::time_point until) {
  while (true) {
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(until - std::chrono::steady_clock::now());
    if (left.count() <= 0) return false;
    pollfd ready{descriptor, POLLIN, 0};
    const int events = ::poll(&ready, 1, static_cast<int>(left.count()));
    if (events >= 0) return events > 0;
    if (errno != EINTR) return false;
  }
}

// What came, and the socket that came along, if any.
ssize_t Receive(int from, char* bytes, std::size_t size, int& socket) {
  iovec part{bytes, size};
  Control control{};
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  message.msg_control = control.bytes.data();
  message.msg_controllen = control.bytes.size();
  ssize_t got = 0;
  do {
    got = ::recvmsg(from, &message, MSG_CMSG_CLOEXEC);
  } while (got < 0 && errno == EINTR);
  for (cmsghdr* header = got > 0 ? CMSG_FIRSTHDR(&message) : nullptr; header != nullptr;
       header = CMSG_NXTHDR(&message, header)) {
    if (header->cmsg_level != SOL_SOCKET || header->cmsg_type != SCM_RIGHTS) continue;
    if (socket >= 0) ::close(socket);
    std::memcpy(&socket, CMSG_DATA(header), sizeof socket);
  }
  return got;
}

bool IsListening(int socket) {
  int listening = 0;
  socklen_t size = sizeof listening;
  return ::getsockopt(socket, SOL_SOCKET, SO_ACCEPTCONN, &listening, &size) == 0 && listening == 1;
}

// One try: the line that came, with the socket; nothing where it ended or took too long.
std::optional<json> AskOnce(Protocol::socket& socket, std::chrono::steady_clock::time_point until,
                            int& listening, std::string& rest) {
  const std::string ask = json{{"takeover", kVersion}}.dump() + '\n';
  if (!SendAll(socket.native_handle(), ask)) return std::nullopt;
  std::string text;
  while (text.size() < kLongestLine) {
    if (!Readable(socket.native_handle(), until)) return std::nullopt;
    std::array<char, kReadSize> part;
    const ssize_t got = Receive(socket.native_handle(), part.data(), part.size(), listening);
    if (got <= 0) return std::nullopt;
    text.append(part.data(), static_cast<std::size_t>(got));
    while (!text.empty() && text.front() == kWithSocket) text.erase(0, 1);
    if (const auto end = text.find('\n'); end != std::string::npos) {
      json line = json::parse(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(end), nullptr, false);
      rest = text.substr(end + 1);  // what was told since
      if (line.is_object()) return line;
      return std::nullopt;
    }
  }
  return std::nullopt;
}

}  // namespace

std::optional<Taken> TakeOver(boost::asio::io_context& io, const std::string& path,
                              runtime::Duration patience, runtime::Logger& log) {
  const auto until = std::chrono::steady_clock::now() + patience;
  while (true) {
    Protocol::socket socket(io);
    error_code error;
    socket.connect(Protocol::endpoint(path), error);
    if (error) return std::nullopt;  // nobody serves
    Taken taken;
    std::string rest;
    const auto answer = AskOnce(socket, until, taken.listening, rest);
    const bool busy = answer && answer->contains("busy");
    std::string fault = busy ? "another successor gets ready" : "it did not answer";
    if (answer && !busy) {
      try {
        taken.state = FromJson(*answer);
        if (!IsListening(taken.listening)) throw std::runtime_error("it gave no listening socket");
        taken.link = std::make_shared<Link>(std::move(socket), std::move(rest));
        return taken;
      } catch (const std::exception& e) {
        fault = e.what();
      }
    }
    if (taken.listening >= 0) ::close(taken.listening);
    if (!busy || std::chrono::steady_clock::now() + kAskAgain > until) {
      log.Line("handover: nothing taken over from the process that serves: " + fault);
      return std::nullopt;
    }
    std::this_thread::sleep_for(kAskAgain);
  }
}

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
