#include "soak/upstream.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <stdexcept>
#include <utility>

namespace mothrack::soak {
namespace {

// Longer than any run; connections are ended by EndWithReset().
constexpr std::chrono::minutes kForever{10};
constexpr std::size_t kReadSize = 16384;
constexpr std::size_t kSlowReadBytes = 4500;
constexpr Milliseconds kSlowReadPause{50};

TimePoint Never() { return Clock::now() + kForever; }

std::string Chunk(const std::string& bytes) {
  char size[32];
  std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

}  // namespace

Upstream::Upstream(Books& books, std::string uid) : books_(books), uid_(std::move(uid)) {
  listening_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  const bool listens = ::bind(listening_, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0 &&
                       ::listen(listening_, 512) == 0 &&
                       ::getsockname(listening_, reinterpret_cast<sockaddr*>(&address), &size) == 0;
  if (!listens) throw std::runtime_error("an upstream of the soak cannot listen");
  port_ = ntohs(address.sin_port);
  accepting_ = std::thread([this] { Accept(); });
}

Upstream::~Upstream() {
  stopping_ = true;
  accepting_.join();
  ResetConnections();
  for (Session& session : sessions_) session.thread.join();
  ::close(listening_);
}

std::string Upstream::uid() const {
  const std::lock_guard lock(mutex_);
  return uid_;
}

void Upstream::ReplaceBy(const std::string& uid) {
  {
    const std::lock_guard lock(mutex_);
    uid_ = uid;
  }
  ResetConnections();
}

void Upstream::ResetConnections() {
  const std::lock_guard lock(mutex_);
  ++resets_;
  for (Session& session : sessions_) {
    const std::lock_guard ending(session.mutex);
    if (session.connection.is_open()) session.connection.EndWithReset();
  }
}

void Upstream::Accept() {
  while (!stopping_) {
    pollfd polled{listening_, POLLIN, 0};
    if (::poll(&polled, 1, 20) <= 0) continue;
    const int accepted = ::accept4(listening_, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0) continue;
    const std::lock_guard lock(mutex_);
    Session& session = sessions_.emplace_back();
    session.connection = Connection(accepted);
    session.thread = std::thread([this, &session] { Serve(session); });
  }
}

void Upstream::Serve(Session& session) {
  std::string buffer;
  while (!stopping_ && ServeOne(session.connection, buffer)) {
  }
  const std::lock_guard ending(session.mutex);
  session.connection.Close();
}

bool Upstream::ServeOne(Connection& connection, std::string& buffer) {
  std::size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (connection.Receive(buffer, kReadSize, Never()) != Connection::Received::kBytes) return false;
  }
  Request request;
  request.head = buffer.substr(0, end + 4);
  buffer.erase(0, end + 4);
  request.id = FieldOf(request.head, "X-Request-ID");
  request.chunked = FieldOf(request.head, "Transfer-Encoding") == "chunked";
  const std::string length = FieldOf(request.head, "Content-Length");
  request.body_size = length.empty() ? 0 : std::stoul(length);
  const std::string target = request.head.substr(0, request.head.find(" HTTP/"));
  request.plan = Plan::FromTarget(target).value_or(Plan{});
  const std::string uid = this->uid();
  request.resets = resets_;
  request.earlier_attempts = books_.OnAttempt(request.id, uid, connection.LastReceivedAt());
  if (!ReadBody(connection, request, buffer)) return false;
  const bool turned_away =
      request.plan.answer == Plan::Answer::kNotProcessed && request.earlier_attempts == 0;
  if (!turned_away) books_.OnRun(request.id, uid);
  const bool usable = Answer(connection, request);
  if (request.resets == resets_) return usable;
  // ResetConnections() may not have come to this connection yet. A plain close would end a sound answer that
  // is framed by the close, in its middle.
  books_.OnBroken(request.id);
  connection.CloseWithReset();
  return false;
}

bool Upstream::ReadBody(Connection& connection, const Request& request, std::string& buffer) {
  const auto complete = [&] {
    return request.chunked ? buffer.ends_with("0\r\n\r\n") : buffer.size() >= request.body_size;
  };
  const bool slow = request.plan.answer == Plan::Answer::kReadsSlowly;
  while (!complete()) {
    if (request.plan.answer == Plan::Answer::kReadsNothing && buffer.size() > kReadSize) {
      // Only the end of the connection or of the run.
      pollfd ended{connection.descriptor(), POLLRDHUP, 0};
      while (!stopping_ && ::poll(&ended, 1, 20) == 0) {
      }
      return false;
    }
    if (connection.Receive(buffer, slow ? kSlowReadBytes : kReadSize, Never()) !=
        Connection::Received::kBytes) {
      return false;
    }
    if (slow) std::this_thread::sleep_for(kSlowReadPause);
  }
  buffer.erase(0, request.chunked ? buffer.size() : request.body_size);
  return true;
}

bool Upstream::Answer(Connection& connection, const Request& request) {
  const std::string body = BodyOf(request.id, request.plan.size);
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  switch (request.plan.answer) {
    case Plan::Answer::kInterim:
      if (!connection.Send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n",
                           Never()))
        return false;
      return WriteSound(connection, request);
    case Plan::Answer::kReset:
      if (request.earlier_attempts > 0) return WriteSound(connection, request);
      connection.Reset();
      return false;
    case Plan::Answer::kMalformed:
      connection.Send("HTTP/1.1 2OO\r\n\x01\x02 noise noise\r\n\r\n", Never());
      return false;
    case Plan::Answer::kTruncated:
      connection.Send(head + body.substr(0, body.size() / 2), Never());
      connection.Reset();
      return false;
    case Plan::Answer::kNone:
    case Plan::Answer::kStalled:
      if (request.plan.answer == Plan::Answer::kStalled)
        connection.Send(head + body.substr(0, body.size() / 2), Never());
      for (pollfd ended{connection.descriptor(), POLLRDHUP, 0}; !stopping_ && ::poll(&ended, 1, 20) == 0;) {
      }
      return false;
    case Plan::Answer::kNotProcessed:
      if (request.earlier_attempts > 0) return WriteSound(connection, request);
      return connection.Send("HTTP/1.1 503 x\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", Never());
    case Plan::Answer::kError:
      return connection.Send("HTTP/1.1 500 x\r\nContent-Length: 5\r\n\r\nerror", Never());
    case Plan::Answer::kCopyBehind:
      return SendUnframed(connection, request, head + body + head + body);
    case Plan::Answer::kShortLength:
      return SendUnframed(
          connection, request,
          "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size() / 2) + "\r\n\r\n" + body);
    case Plan::Answer::kNoiseBehind:
      return SendUnframed(connection, request, head + body + "\x01 noise");
    case Plan::Answer::kTwoLengths:
      return SendUnframed(connection, request,
                          head.substr(0, head.size() - 2) + head.substr(head.find("Content-Length")) + body);
    case Plan::Answer::kCodingInHttp10:
      SendUnframed(connection, request,
                   "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Chunk(body) + "0\r\n\r\n");
      return false;
    case Plan::Answer::kWhole:
    case Plan::Answer::kReadsNothing:
    case Plan::Answer::kReadsSlowly:
      return WriteSound(connection, request);
  }
  return false;
}

// Writes an answer at once, after the plan's delay.
bool Upstream::SendUnframed(Connection& connection, const Request& request, const std::string& answer) {
  std::this_thread::sleep_for(request.plan.delay);
  books_.OnAnswering(request.id);
  return connection.Send(answer, Never());
}

bool Upstream::WriteSound(Connection& connection, const Request& request) {
  const std::string body = BodyOf(request.id, request.plan.size);
  std::string head = "HTTP/1.1 200 OK\r\n";
  if (request.plan.framing == Plan::Framing::kLength) {
    head += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  } else if (request.plan.framing == Plan::Framing::kChunked) {
    head += "Transfer-Encoding: chunked\r\n\r\n";
  } else {
    head += "Connection: close\r\n\r\n";
  }
  if (!connection.Send(head, Never())) return false;
  std::this_thread::sleep_for(request.plan.delay);
  books_.OnAnswering(request.id);
  if (!WriteBody(connection, request, body, body.size())) return false;
  if (request.plan.framing == Plan::Framing::kChunked) return connection.Send("0\r\n\r\n", Never());
  return request.plan.framing == Plan::Framing::kLength;
}

// Until the hang of the plan is over, or the connection was reset.
void Upstream::Stall(const Request& request) const {
  const TimePoint end = Clock::now() + request.plan.stall;
  while (!stopping_ && request.resets == resets_ && Clock::now() < end) {
    std::this_thread::sleep_for(Milliseconds(10));
  }
}

bool Upstream::WriteBody(Connection& connection, const Request& request, const std::string& body,
                         std::size_t end) {
  const std::size_t piece_size = request.plan.piece == 0 ? body.size() : request.plan.piece;
  for (std::size_t at = 0; at < end; at += piece_size) {
    const std::string piece = body.substr(at, std::min(piece_size, end - at));
    if (at <= request.plan.stall_after && request.plan.stall_after < at + piece.size()) Stall(request);
    const bool chunked = request.plan.framing == Plan::Framing::kChunked;
    if (request.resets != resets_ || !connection.Send(chunked ? Chunk(piece) : piece, Never())) return false;
    books_.OnBodyWritten(request.id, at + piece.size());
    std::this_thread::sleep_for(request.plan.pause);
  }
  return true;
}

}  // namespace mothrack::soak
