#include "dns/resolver_connection.h"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>

#include "runtime/system_calls.h"

namespace mothrack::dns {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

// Bound on removed queries whose responses may still arrive: beyond it the connection is retired.
constexpr std::size_t kMaxAbandoned = 64;
constexpr std::size_t kReadSize = std::size_t{16} * 1024;

}  // namespace

ResolverConnection::ResolverConnection(boost::asio::io_context& io, runtime::Descriptors& descriptors,
                                       AttemptEvents& events, Counters& counters)
    : socket_(io),
      timer_(io),
      slot_(std::in_place, descriptors, runtime::Descriptors::Side::kUpstream),
      events_(events),
      counters_(counters),
      idle_since_(runtime::Now()) {}

bool ResolverConnection::Open(const runtime::Endpoint& resolver, runtime::Duration connect_timeout) {
  error_code error;
  socket_.open(resolver.protocol(), error);
  if (!error) socket_.set_option(tcp::no_delay(true), error);
  if (!error) socket_.non_blocking(true, error);
  if (error) {
    Close();
    return false;
  }
  timer_.expires_after(connect_timeout);
  timer_.async_wait([self = shared_from_this()](error_code late) {
    if (!late && !self->closed_ && !self->connected_) self->Fail();
  });
  socket_.async_connect(resolver, [self = shared_from_this()](error_code failed) {
    if (self->closed_) return;
    if (failed) return self->Fail();
    self->connected_ = true;
    self->timer_.cancel();
    self->WaitReadable();
    self->Flush();
  });
  return true;
}

void ResolverConnection::Close() {
  if (closed_) return;
  closed_ = true;
  error_code ignored;
  socket_.close(ignored);
  slot_.reset();
  timer_.cancel();
}

void ResolverConnection::Send(Attempt& attempt, runtime::SecureRandom& random) {
  // An id whose response may still arrive must not be assigned to another query.
  open_.Add(attempt, random);
  while (abandoned_.contains(attempt.wire_id)) {
    open_.Remove(attempt.wire_id);
    open_.Add(attempt, random);
  }
  Frame frame;
  AppendFrame(frame.bytes, attempt.query->wire);
  SetId(std::span(frame.bytes).subspan(2), attempt.wire_id);
  frame.attempt = &attempt;
  attempt.written = false;
  frames_.push_back(std::move(frame));
  if (connected_) Flush();
}

void ResolverConnection::Remove(const Attempt& attempt) {
  open_.Remove(attempt.wire_id);
  const auto it = std::find_if(frames_.begin(), frames_.end(),
                               [&attempt](const Frame& frame) { return frame.attempt == &attempt; });
  if (it != frames_.end() && (it != frames_.begin() || first_frame_written_ == 0)) {
    frames_.erase(it);
  } else {
    if (it != frames_.end()) it->attempt = nullptr;
    // If a response to it is being processed, ProcessFrames() removes it again.
    abandoned_.insert(attempt.wire_id);
  }
  if (abandoned_.size() > kMaxAbandoned) retired_ = true;
  CloseIfDone();
}

std::vector<Attempt*> ResolverConnection::UnwrittenAttempts() const {
  std::vector<Attempt*> unbegun;
  for (std::size_t i = 0; i < frames_.size(); ++i) {
    if (frames_[i].attempt != nullptr && (i > 0 || first_frame_written_ == 0))
      unbegun.push_back(frames_[i].attempt);
  }
  return unbegun;
}

void ResolverConnection::Retire() {
  retired_ = true;
  CloseIfDone();
}

void ResolverConnection::CloseIfDone() {
  if (open_.size() > 0) return;
  idle_since_ = runtime::Now();
  if (retired_) Close();
}

bool ResolverConnection::CanAccept() {
  if (closed_ || retired_) return false;
  if (!connected_ || open_.size() > 0) return true;
  // The event loop may not have delivered the close yet.
  error_code error;
  runtime::PeekByte(socket_, error);
  if (runtime::WouldBlock(error) || (!error && !abandoned_.empty())) return true;
  Close();
  return false;
}

void ResolverConnection::Flush() {
  if (flushing_ || closed_) return;
  while (!frames_.empty()) {
    Frame& frame = frames_.front();
    error_code error;
    first_frame_written_ += runtime::WriteSome(socket_,
                                               boost::asio::buffer(frame.bytes.data() + first_frame_written_,
                                                                   frame.bytes.size() - first_frame_written_),
                                               error);
    if (runtime::WouldBlock(error)) {
      flushing_ = true;
      socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](error_code failed) {
        self->flushing_ = false;
        if (self->closed_) return;
        if (failed) return self->Fail();
        self->Flush();
      });
      return;
    }
    if (error) {
      // Deferred, because the caller of Send() still uses the attempt.
      boost::asio::post(socket_.get_executor(), [self = shared_from_this()] { self->Fail(); });
      return;
    }
    if (first_frame_written_ < frame.bytes.size()) continue;
    if (frame.attempt != nullptr) {
      frame.attempt->written = true;
      frame.attempt->hooks.on_written();
    }
    frames_.pop_front();
    first_frame_written_ = 0;
  }
}

void ResolverConnection::Fail() {
  if (closed_) return;
  Close();
  events_.OnConnectionLost(*this);
}

void ResolverConnection::WaitReadable() {
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
    if (self->closed_) return;
    if (error) return self->Fail();
    self->Receive();
  });
}

void ResolverConnection::Receive() {
  static thread_local std::array<std::uint8_t, kReadSize> bytes;
  error_code error;
  const std::size_t size = runtime::ReadSome(socket_, boost::asio::buffer(bytes), error);
  frame_reader_.Append(Bytes(bytes).first(size));
  if (runtime::WouldBlock(error)) return WaitReadable();
  if (error || (open_.size() == 0 && abandoned_.empty())) return Fail();
  ProcessFrames();
  if (!closed_) WaitReadable();
}

void ResolverConnection::ProcessFrames() {
  while (!closed_) {
    const auto message = frame_reader_.Next();
    if (!message) break;
    if (message->size() >= 2) {
      const auto id = static_cast<std::uint16_t>((*message)[0] << 8 | (*message)[1]);
      if (abandoned_.erase(id) > 0) continue;
    }
    Layout layout;
    Attempt* attempt = MatchResponse(open_, *message, layout, counters_);
    if (attempt == nullptr) continue;
    const std::uint16_t id = attempt->wire_id;
    events_.OnResponse(*attempt, *message, layout);
    abandoned_.erase(id);
  }
  if (!closed_ && frame_reader_.empty() && open_.size() == 0) frame_reader_.Shrink();
}

}  // namespace mothrack::dns
