#include "dns/tcp_server.h"

#include <algorithm>
#include <array>
#include <boost/asio/socket_base.hpp>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include "dns/frames.h"
#include "runtime/system_calls.h"

namespace mothrack::dns {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

constexpr auto kSweep = milliseconds(250);
constexpr auto kDrainSweep = milliseconds(10);
// A connection opened so short a while ago is about to carry a query.
constexpr runtime::Duration kFreshConnection = milliseconds(300);
constexpr std::size_t kReadSize = 16 * 1024;
// A client that takes no answers is read no further once so much waits for it.
constexpr std::size_t kMostUnwritten = 256 * 1024;

}  // namespace

class TcpServer::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(TcpServer& owner, tcp::socket socket, std::uint64_t number)
      : owner_(&owner),
        slot_(std::in_place, owner.descriptors_, runtime::Descriptors::Side::kClient),
        socket_(std::move(socket)),
        since_(runtime::Now()) {
    client_.name = "tcp" + std::to_string(number) + ':';
  }

  void Start() { WaitReadable(); }

  void Close() {
    if (closed_) return;
    closed_ = true;
    error_code ignored;
    socket_.close(ignored);
    slot_.reset();
    const auto self = shared_from_this();
    owner_->connections_.erase(self);
    for (const Frontend::Handle handle : std::exchange(open_, {}))
      owner_->frontend_.OnClientDisconnected(handle);
  }

  // The server is going: handlers that are still to come must not touch it.
  void Drop() {
    closed_ = true;
    error_code ignored;
    socket_.close(ignored);
    slot_.reset();
  }

  runtime::TimePoint since() const { return since_; }
  // Nothing of a query has come, nothing of an answer is owed.
  bool Idle() const { return open_.empty() && frame_reader_.empty() && unwritten_.empty(); }
  bool Fresh(runtime::TimePoint now) const { return unused_ && now - since_ < kFreshConnection; }
  // Not even the system holds a byte of a query.
  bool SparesClose() {
    error_code error;
    return Idle() && (socket_.available(error) == 0 || error);
  }

  void CloseIfOverdue(runtime::TimePoint now) {
    const Settings& settings = owner_->settings_;
    if (!unwritten_.empty() && now - write_began_ > settings.tcp_first_byte) return Close();
    const bool partial = !frame_reader_.empty() && !Paused();
    if (partial && now - read_began_ > settings.tcp_first_byte) return Close();
    if (!Idle()) return;
    if (now - since_ > (unused_ ? settings.tcp_first_byte : settings.tcp_idle)) Close();
  }

 private:
  // Guards against a client that asks for more than it is allowed to have open, or takes no answers.
  bool Paused() const {
    return open_.size() >= owner_->settings_.max_open_per_connection || unwritten_.size() > kMostUnwritten;
  }

  void WaitReadable() {
    if (unsent_ || closed_ || ended_ || broken_ || Paused()) return;
    unsent_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
      self->unsent_ = false;
      if (self->closed_) return;
      if (error) return self->Close();
      self->Receive();
    });
  }

  void Receive() {
    static thread_local std::array<std::uint8_t, kReadSize> bytes;
    error_code error;
    const std::size_t size = runtime::ReadSome(socket_, boost::asio::buffer(bytes), error);
    if (runtime::WouldBlock(error)) return WaitReadable();
    if (error == boost::asio::error::eof) {
      // It may have closed its sending side only: what it asked is answered first.
      ended_ = true;
      if (open_.empty() && unwritten_.empty()) return Close();
      return;
    }
    if (error) return Close();
    if (frame_reader_.empty()) read_began_ = runtime::Now();
    frame_reader_.Append(Bytes(bytes).first(size));
    ProcessFrames();
    WaitReadable();
  }

  void ProcessFrames() {
    if (receiving_) return;  // an answer that came at once
    receiving_ = true;
    while (!closed_ && !broken_ && !Paused()) {
      const auto message = frame_reader_.Next();
      if (!message) break;
      unused_ = false;
      read_began_ = runtime::Now();
      // Whoever frames what is no message can't be followed any further.
      broken_ = message->size() < kHeaderSize;
      const auto slot = std::make_shared<Frontend::Handle>(nullptr);
      const auto handle = owner_->frontend_.HandleMessage(*message, client_,
                                                          [self = shared_from_this(), slot](Buffer answer) {
                                                            if (self->closed_) return;
                                                            self->open_.erase(*slot);
                                                            self->ResolverResponse(answer);
                                                          });
      if (handle != nullptr) {
        *slot = handle;
        open_.insert(handle);
      }
    }
    receiving_ = false;
    if (closed_) return;
    if (frame_reader_.empty()) frame_reader_.Shrink();
    if (broken_ && open_.empty() && unwritten_.empty()) Close();
  }

  void ResolverResponse(const Buffer& answer) {
    if (unwritten_.empty()) write_began_ = runtime::Now();
    AppendFrame(unwritten_, answer);
    since_ = runtime::Now();
    Flush();
  }

  void Flush() {
    if (flushing_ || closed_) return;
    error_code error;
    const std::size_t size = runtime::WriteSome(socket_, boost::asio::buffer(unwritten_), error);
    if (error && !runtime::WouldBlock(error)) return Close();
    if (size > 0) write_began_ = runtime::Now();
    unwritten_.erase(unwritten_.begin(), unwritten_.begin() + static_cast<std::ptrdiff_t>(size));
    if (!unwritten_.empty()) {
      flushing_ = true;
      socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](error_code failed) {
        self->flushing_ = false;
        if (self->closed_) return;
        if (failed) return self->Close();
        self->Flush();
      });
      return;
    }
    if (open_.empty() && (ended_ || broken_) && !receiving_) return Close();
    if (!receiving_ && !frame_reader_.empty()) ProcessFrames();
    WaitReadable();
  }

  TcpServer* owner_;
  std::optional<runtime::Descriptors::Slot> slot_;
  tcp::socket socket_;
  Frontend::Client client_;
  std::unordered_set<Frontend::Handle> open_;
  FrameReader frame_reader_;
  Buffer unwritten_;
  runtime::TimePoint since_;  // of the connection, or of its last answer
  runtime::TimePoint read_began_;
  runtime::TimePoint write_began_;  // or went on
  bool unused_ = true;
  bool unsent_ = false;
  bool flushing_ = false;
  bool receiving_ = false;
  bool ended_ = false;   // the client sends no more
  bool broken_ = false;  // nothing more of it is read
  bool closed_ = false;
};

TcpServer::TcpServer(boost::asio::io_context& io, const runtime::Endpoint& endpoint, const Settings& settings,
                     runtime::Descriptors& descriptors, Frontend& frontend, runtime::Logger& log)
    : settings_(settings),
      descriptors_(descriptors),
      frontend_(frontend),
      log_(log),
      acceptor_(io, endpoint, "dns: ", *this, log),
      sweep_(io) {
  ScheduleSweep();
}

TcpServer::~TcpServer() {
  for (const auto& connection : std::exchange(connections_, {})) connection->Drop();
}

void TcpServer::Drain() {
  draining_ = true;
  sweep_.cancel();
  ScheduleSweep();
}

bool TcpServer::Room() const {
  return connections_.size() < settings_.max_tcp_clients &&
         descriptors_.Room(runtime::Descriptors::Side::kClient);
}

// The connection that has been idle longest goes.
bool TcpServer::MakeRoom() {
  std::shared_ptr<Connection> longest;
  for (const auto& connection : connections_) {
    if (!connection->SparesClose()) continue;
    if (!longest || connection->since() < longest->since()) longest = connection;
  }
  if (!longest) return false;
  longest->Close();
  return true;
}

void TcpServer::Admit(tcp::socket socket) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.non_blocking(true, ignored);
  const auto connection = std::make_shared<Connection>(*this, std::move(socket), ++last_connection_);
  connections_.insert(connection);
  connection->Start();
}

void TcpServer::ScheduleSweep() {
  sweep_.expires_after(draining_ ? kDrainSweep : kSweep);
  sweep_.async_wait([this](error_code error) {
    if (error) return;
    Sweep();
    ScheduleSweep();
  });
}

void TcpServer::Sweep() {
  acceptor_.Look();
  const runtime::TimePoint now = runtime::Now();
  const std::vector<std::shared_ptr<Connection>> all(connections_.begin(), connections_.end());
  for (const auto& connection : all) {
    if (draining_ && !connection->Fresh(now) && connection->SparesClose()) connection->Close();
    connection->CloseIfOverdue(now);
  }
}

}  // namespace mothrack::dns
