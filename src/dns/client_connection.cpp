#include "dns/client_connection.h"

#include <array>
#include <boost/asio/socket_base.hpp>
#include <string>
#include <utility>

#include "runtime/system_calls.h"

namespace mothrack::dns {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

// A connection younger than this is assumed to be about to carry a query.
constexpr runtime::Duration kNewConnection = std::chrono::milliseconds(300);
constexpr std::size_t kReadSize = std::size_t{16} * 1024;
// Reading stops when more response bytes than this are unwritten because the client does not read.
constexpr std::size_t kMaxUnwritten = std::size_t{256} * 1024;

}  // namespace

ClientConnection::ClientConnection(tcp::socket socket, std::uint64_t number, const Settings& settings,
                                   runtime::Descriptors& descriptors, Frontend& frontend, OnClose on_close)
    : settings_(settings),
      frontend_(frontend),
      on_close_(std::move(on_close)),
      slot_(std::in_place, descriptors, runtime::Descriptors::Side::kClient),
      socket_(std::move(socket)),
      idle_since_(runtime::Now()) {
  client_.name = "tcp" + std::to_string(number) + ':';
}

void ClientConnection::Close() {
  if (closed_) return;
  Drop();
  const auto self = shared_from_this();  // the server drops its reference in on_close_
  on_close_(self);
  for (const Frontend::Handle handle : std::exchange(open_, {})) frontend_.OnClientDisconnected(handle);
}

void ClientConnection::Drop() {
  closed_ = true;
  error_code ignored;
  socket_.close(ignored);
  slot_.reset();
}

bool ClientConnection::IsNew(runtime::TimePoint now) const {
  return unused_ && now - idle_since_ < kNewConnection;
}

bool ClientConnection::CanCloseUnnoticed() {
  error_code error;
  return idle() && (socket_.available(error) == 0 || error);
}

void ClientConnection::CloseIfOverdue(runtime::TimePoint now) {
  if (!unwritten_.empty() && now - write_started_ > settings_.tcp_first_byte) return Close();
  const bool incomplete_frame = !frame_reader_.empty() && !IsPaused();
  if (incomplete_frame && now - read_started_ > settings_.tcp_first_byte) return Close();
  if (!idle()) return;
  if (now - idle_since_ > (unused_ ? settings_.tcp_first_byte : settings_.tcp_idle)) Close();
}

bool ClientConnection::IsPaused() const {
  return open_.size() >= settings_.max_open_per_connection || unwritten_.size() > kMaxUnwritten;
}

void ClientConnection::WaitReadable() {
  if (waiting_ || closed_ || ended_ || broken_ || IsPaused()) return;
  waiting_ = true;
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
    self->waiting_ = false;
    if (self->closed_) return;
    if (error) return self->Close();
    self->Receive();
  });
}

void ClientConnection::Receive() {
  static thread_local std::array<std::uint8_t, kReadSize> bytes;
  error_code error;
  const std::size_t size = runtime::ReadSome(socket_, boost::asio::buffer(bytes), error);
  if (runtime::WouldBlock(error)) return WaitReadable();
  if (error == boost::asio::error::eof) {
    // The client may have only half-closed: its open queries are answered first.
    ended_ = true;
    if (HasNothingToWrite()) return Close();
    return;
  }
  if (error) return Close();
  if (frame_reader_.empty()) read_started_ = runtime::Now();
  frame_reader_.Append(Bytes(bytes).first(size));
  ProcessFrames();
  WaitReadable();
}

void ClientConnection::ProcessFrames() {
  if (processing_) return;  // re-entered for a response that was available at once
  processing_ = true;
  while (!closed_ && !broken_ && !IsPaused()) {
    const auto message = frame_reader_.Next();
    if (!message) break;
    HandleFrame(*message);
  }
  processing_ = false;
  if (closed_) return;
  if (frame_reader_.empty()) frame_reader_.Shrink();
  if (broken_ && HasNothingToWrite()) Close();
}

void ClientConnection::HandleFrame(Bytes message) {
  unused_ = false;
  read_started_ = runtime::Now();
  // After a frame that is no message, the framing of this client cannot be trusted any more.
  broken_ = message.size() < kHeaderSize;
  const auto slot = std::make_shared<Frontend::Handle>(nullptr);
  const auto handle =
      frontend_.HandleMessage(message, client_, [self = shared_from_this(), slot](const Buffer& response) {
        if (self->closed_) return;
        self->open_.erase(*slot);
        self->Send(response);
      });
  if (handle == nullptr) return;
  *slot = handle;
  open_.insert(handle);
}

void ClientConnection::Send(const Buffer& response) {
  if (unwritten_.empty()) write_started_ = runtime::Now();
  AppendFrame(unwritten_, response);
  idle_since_ = runtime::Now();
  Flush();
}

void ClientConnection::Flush() {
  if (flushing_ || closed_) return;
  error_code error;
  const std::size_t size = runtime::WriteSome(socket_, boost::asio::buffer(unwritten_), error);
  if (error && !runtime::WouldBlock(error)) return Close();
  if (size > 0) write_started_ = runtime::Now();
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
  if (open_.empty() && (ended_ || broken_) && !processing_) return Close();
  if (!processing_ && !frame_reader_.empty()) ProcessFrames();
  WaitReadable();
}

}  // namespace mothrack::dns
