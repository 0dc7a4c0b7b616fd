#include "http/client_connection.h"

#include <poll.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/system/error_code.hpp>
#include <cstdint>
#include <string_view>
#include <utility>

#include "http/head_memory.h"
#include "http/message_rules.h"
#include "http/plain_response.h"
#include "runtime/exact_string.h"
#include "runtime/system_calls.h"

namespace mothrack::http {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

// How much of what follows a request is looked at before its answer begins.
constexpr std::size_t kPeekSize = 64;
// How many copies of a response's head there are while it is written: the fields, and for a streamed body
// their text.
constexpr std::size_t kResponseHeadCopies = 2;
// For a client whose request is refused.
constexpr const char* kRetryAfterSeconds = "1";
// A connection younger than this that has sent nothing is assumed to be about to send a request.
constexpr runtime::Duration kNewConnectionAge = std::chrono::milliseconds(300);

// The id of a request, without what exceeds the length of a valid one.
std::string_view IdOf(const beast_http::request_header<>& head) {
  const boost::beast::string_view id = head["X-Request-ID"];
  return {id.data(), std::min(id.size(), kMaxRequestIdSize)};
}

HttpResponse RefusedResponse(const char* text) {
  auto response = PlainResponse(beast_http::status::service_unavailable, text);
  response.set(beast_http::field::retry_after, kRetryAfterSeconds);
  return response;
}

}  // namespace

ClientConnection::ClientConnection(Owner& owner, runtime::Descriptors& descriptors,
                                   const runtime::MemoryBudget& budget, tcp::socket socket)
    : owner_(&owner),
      budget_(budget),
      read_memory_(budget_),
      response_memory_(budget),
      slot_(std::in_place, descriptors, runtime::Descriptors::Side::kClient),
      socket_(std::move(socket)),
      writer_(socket_, *this),
      linger_(socket_),
      body_deadline_(kRequestTimeout, kMinBodyRate) {
  AwaitRequest();
}

// ---- Closing ----

void ClientConnection::Close(CloseReason reason) {
  if (closed_) return;
  closed_ = true;
  if (owner_ != nullptr) {
    owner_->client_log().ConnectionClosed(RequestId(), reason, StateOfRequest(), runtime::Now());
  }
  writer_.BreakOff();
  error_code ignored;
  socket_.close(ignored);
  slot_.reset();
  const auto self = shared_from_this();
  if (owner_ != nullptr) owner_->Remove(self);
  EndRequest();
  writer_.AbandonBody();
}

// Notifies the observer first: it ends the attempts, so that none of them still reads from `upload_` when the
// stream ends.
void ClientConnection::EndRequest() {
  // Whoever is notified may make the stream call Progress(), which must not see a request that is served.
  if (phase_ == Phase::kServing) phase_ = Phase::kWriting;
  if (const auto on_disconnect = std::exchange(observer_, {}).on_disconnect) on_disconnect();
  if (const auto upload = std::exchange(upload_, nullptr)) upload->End(runtime::Stream::State::kTruncated);
}

void ClientConnection::Orphan() {
  owner_ = nullptr;
  observer_ = {};
  Close(CloseReason::kProcessEnds);
}

void ClientConnection::HalfClose() {
  phase_ = Phase::kHalfClosed;
  since_ = runtime::Now();
  linger_.ShutdownSend();
}

void ClientConnection::CloseNow(CloseReason reason) {
  if (phase_ == Phase::kLingering) linger_.DiscardUnread();
  Close(reason);
}

void ClientConnection::FailRequest() {
  if (closed_ || phase_ != Phase::kServing) return;
  EndRequest();
  Reject(Rejection::kProcessEnds, "no_answer",
         PlainResponse(beast_http::status::gateway_timeout, "no answer before the end of the process"));
}

void ClientConnection::RefuseRequest() {
  if (closed_ || phase_ != Phase::kReading || !reader_.started()) return;
  Reject(Rejection::kProcessEnds, reader_.in_body() ? "body" : "head",
         RefusedResponse("refused: the process ends, trying again is harmless"));
}

void ClientConnection::CloseIfOverdue(runtime::TimePoint now) {
  if (closed_ || !IsOverdue(now)) return;
  if (phase_ != Phase::kReading && phase_ != Phase::kServing) {
    return CloseNow(AwaitsClose() ? CloseReason::kAnswered : CloseReason::kOverdue);
  }
  // The sidecar itself may have been too busy to read, so bytes that have already arrived are read first.
  if (HasUnreadBytes() && !std::exchange(extension_granted_, true)) return;
  if (!reader_.started()) return Close(CloseReason::kIdle);
  EndRequest();
  Reject(Rejection::kOverdue, reader_.in_body() ? "body" : "head",
         PlainResponse(beast_http::status::request_timeout, "request did not come in time"));
}

bool ClientConnection::IsOverdue(runtime::TimePoint now) const {
  switch (phase_) {
    case Phase::kReading:
      return (reader_.started() || unused_) && body_deadline_.Overdue(now);
    case Phase::kServing:
      return upload_ && body_deadline_.Overdue(now);
    case Phase::kWriting:
      return writer_.streaming() ? writer_.ClientStalls(now) : now - since_ > kRequestTimeout;
    case Phase::kLingering:
      return upload_interrupted_ ? body_deadline_.Overdue(now) : now - since_ > kLingerTimeout;
    case Phase::kHalfClosed:
      return now - since_ > kLingerTimeout;
  }
  return false;
}

// ---- Queries of the owner ----

ConnectionState ClientConnection::StateAt(runtime::TimePoint now) const {
  switch (phase_) {
    case Phase::kReading:
      if (reader_.started()) return ConnectionState::kArriving;
      return unused_ && now - since_ < kNewConnectionAge ? ConnectionState::kNew : ConnectionState::kIdle;
    case Phase::kServing:
      return ConnectionState::kServing;
    case Phase::kWriting:
      return writer_.ends_with_connection() ? ConnectionState::kRespondingUntilClose
                                            : ConnectionState::kResponding;
    case Phase::kLingering:
    case Phase::kHalfClosed:
      break;
  }
  return ConnectionState::kAwaitingClose;
}

bool ClientConnection::ReadsNothing() const {
  if (closed_ || phase_ == Phase::kReading) return false;
  return phase_ == Phase::kHalfClosed || !reading_;
}

bool ClientConnection::HasUnreadBytes() {
  if (phase_ != Phase::kReading && !upload_) return false;
  error_code error;
  return socket_.available(error) > 0 && !error;
}

bool ClientConnection::ClientDisconnected() {
  const auto events = runtime::PollNow(socket_.native_handle(), POLLRDHUP);
  return (events.value_or(0) & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

ConnectionActivity ClientConnection::Activity(runtime::TimePoint now) const {
  auto phase = ConnectionActivity::Phase::kResponding;
  if (phase_ == Phase::kReading) phase = ConnectionActivity::Phase::kReading;
  if (AwaitsClose()) phase = ConnectionActivity::Phase::kAwaitingClose;
  return {phase, reader_.started(), unused_, now - since_};
}

// ---- Reading ----

void ClientConnection::AwaitRequest() {
  reader_.BeginNextRequest();
  request_memory_ = {};
  extension_granted_ = false;
  since_ = runtime::Now();
  body_deadline_.Begin(since_);
  owner_->OnAwaitingRequest(since_);
}

// Waits until the socket is readable. No buffer is allocated meanwhile, because hundreds of connections may
// be idle.
void ClientConnection::Read() {
  if (reading_ || closed_) return;
  reader_.FreeEmptyBuffer();
  read_memory_.Release(reader_, ReadUse());
  // Whether the upstream consumes the body more slowly than it arrives.
  const bool stalled = upload_ && upload_->Capacity() == 0;
  if (stalled) {
    body_deadline_.Pause(runtime::Now());
    ObserveUpload(runtime::Now());
  }
  const bool buffer_full = reader_.buffer().size() == reader_.buffer().max_size();
  if (stalled || buffer_full || (pipeline_overflowed_ && linger_.discarded_bytes() > kMaxLingerBytes)) {
    owner_->CheckForDisconnects();
    return;
  }
  if (upload_) body_deadline_.Resume(runtime::Now());
  reading_ = true;
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
    self->reading_ = false;
    if (self->closed_) return;
    if (error) return self->Close(CloseReason::kClientLeft);
    if (self->phase_ == Phase::kHalfClosed) return self->AwaitClose();
    self->Receive();
  });
}

// Called when a half-closed connection is readable. If the reason is the client's close, the connection is
// finished. Otherwise unread bytes precede the close, and the owner's sweep polls for it.
void ClientConnection::AwaitClose() {
  error_code error;
  runtime::PeekByte(socket_, error);
  if (runtime::WouldBlock(error)) return Read();
  if (error) Close(CloseReason::kClientLeft);
}

void ClientConnection::Receive() {
  auto& buffer = reader_.buffer();
  const std::size_t size = ClaimRead();
  if (size == 0) return OnReadDenied();
  error_code error;
  const std::size_t received = runtime::ReadSome(socket_, buffer.prepare(size), error);
  if (runtime::WouldBlock(error)) return Read();
  if (error) return Close(CloseReason::kClientLeft);
  buffer.commit(received);
  received_bytes_ += received;
  Progress();
  // The socket was read empty, so a body that is all parsed and not complete is still being sent.
  if (received < size && upload_ && buffer.size() == 0) ObserveUpload(runtime::Now());
}

// Returns how many bytes can be read now; 0 if there is no memory for any.
std::size_t ClientConnection::ClaimRead() {
  const auto upload_capacity = upload_ ? std::optional(upload_->Capacity()) : std::nullopt;
  const std::size_t size = read_memory_.ReadSize(reader_, upload_capacity);
  if (read_memory_.Claim(reader_, size, ReadUse())) return size;
  return phase_ == Phase::kReading ? read_memory_.ClaimBeginning(reader_) : 0;
}

ReadMemory::Use ClientConnection::ReadUse() const {
  if (phase_ == Phase::kReading || upload_) return ReadMemory::Use::kRequest;
  const bool discards = phase_ == Phase::kLingering || pipeline_overflowed_;
  return discards ? ReadMemory::Use::kDiscarded : ReadMemory::Use::kReadAhead;
}

void ClientConnection::OnReadDenied() {
  if (phase_ == Phase::kReading) return RejectForMemory();
  // The next request of a pipeline is not read before the response to this one is written.
  owner_->CheckForDisconnects();
}

void ClientConnection::Progress() {
  if (parsing_ || closed_) return;
  if (phase_ == Phase::kLingering || pipeline_overflowed_) {
    if (upload_interrupted_) OnBodyBytes(reader_.buffer().size());
    DiscardBuffered();
    const std::size_t limit = upload_interrupted_ ? kMaxBodySize : kMaxLingerBytes;
    if (phase_ == Phase::kLingering && linger_.discarded_bytes() > limit) {
      return Close(CloseReason::kUnread);
    }
  }
  parsing_ = true;
  Parse();
  parsing_ = false;
  if (phase_ == Phase::kServing && reader_.complete() && !upload_ && reader_.BytesBehindAreUnsound()) {
    RejectBytesBehind();
  }
  // A client that waits for responses does not pipeline this much. Reading and discarding continues, because
  // it reveals whether the client has disconnected.
  if (phase_ != Phase::kReading && !upload_ && reader_.buffer().size() == kMaxReadAhead) {
    pipeline_overflowed_ = close_after_ = true;
    DiscardBuffered();
  }
  Read();
}

// Discards the buffered bytes without parsing them as a request.
void ClientConnection::DiscardBuffered() {
  auto& buffer = reader_.buffer();
  linger_.CountDiscarded(buffer.size());
  buffer.consume(buffer.size());
}

void ClientConnection::Parse() {
  while ((phase_ == Phase::kReading || upload_) && reader_.buffer().size() > 0 && !closed_) {
    if (!ParseStep()) return;
  }
}

// Returns false if nothing more can be parsed for now.
bool ClientConnection::ParseStep() {
  if (upload_) {
    const std::size_t capacity = upload_->Capacity();
    if (capacity == 0) return false;
    reader_.set_chunk_capacity(capacity);
  }
  if (!reader_.started()) {
    reader_.set_started();
    // The timeout of the first request counts from the start of the connection.
    if (!std::exchange(unused_, false)) {
      since_ = runtime::Now();
      body_deadline_.Begin(since_);
    }
  }
  const bool in_body = reader_.in_body();
  const RequestReader::Step step = reader_.Advance();
  if (in_body) OnBodyBytes(step.consumed);
  if (upload_) return ContinueUpload(step);
  if (step.result == RequestReader::Step::Result::kInvalid) {
    RejectUnsound(step.defect, step.text);
    return false;
  }
  if (reader_.TakeHeadCompleted() && !AcceptHead()) return false;
  if (reader_.complete()) {
    Serve(reader_.Release(), {});
    return false;
  }
  if (step.result == RequestReader::Step::Result::kBodyBlocked) {
    if (!GrowBodyBuffer()) BeginUpload();
    return true;
  }
  return step.consumed > 0;
}

void ClientConnection::OnBodyBytes(std::size_t bytes) {
  if (bytes == 0) return;
  const auto now = runtime::Now();
  body_deadline_.OnBodyBytes(bytes, now);
  // The extension is for a delay of the sidecar itself, which may happen again in a long body.
  if (!body_deadline_.Overdue(now)) extension_granted_ = false;
}

// Returns false if the request is rejected because of its head.
bool ClientConnection::AcceptHead() {
  if (!ReserveRequest()) {
    RejectForMemory();
    return false;
  }
  SendContinue();
  return !closed_;
}

// Returns false if the budget denies the request's memory.
bool ClientConnection::ReserveRequest() {
  if (!reader_.has_body() && IsHealthCheck(reader_.head())) return true;
  auto memory = read_memory_.ReserveRequest(reader_);
  if (memory) request_memory_ = std::move(*memory);
  return memory.has_value();
}

// Lets the reader buffer more of the body. Returns false if it has reached the limit, or if memory is short:
// then the body is streamed.
bool ClientConnection::GrowBodyBuffer() {
  const std::size_t capacity = reader_.chunk_capacity();
  const std::size_t grown = std::min(2 * capacity, kBufferLimit);
  auto& memory = request_memory_.message;
  if (grown == capacity || !memory.Grow(memory.bytes() + grown - capacity)) return false;
  reader_.set_chunk_capacity(grown);
  return true;
}

// A client that sent `Expect: 100-continue` waits for this response before it sends the body.
void ClientConnection::SendContinue() {
  if (!boost::beast::iequals(reader_.head()[beast_http::field::expect], "100-continue")) return;
  static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  std::string_view unsent = kContinue;
  error_code error;
  while (!unsent.empty() && !error) {
    unsent.remove_prefix(runtime::WriteSome(socket_, boost::asio::buffer(unsent), error));
  }
  // If no byte of it was written, no harm is done: the client sends the body after a pause anyway (RFC 9110
  // section 10.1.1). After a partial write the client would parse the final response as the rest of this one,
  // so the connection is closed.
  if (!unsent.empty() && unsent.size() < kContinue.size()) Close(CloseReason::kWriteFailed);
}

// ---- Serving ----

void ClientConnection::Serve(HttpRequest&& request, StreamedBody streamed_body) {
  if (!request.keep_alive()) close_after_ = true;
  http_version_ = request.version();
  phase_ = Phase::kServing;
  request_id_.assign(IdOf(request));
  if (IsHealthCheck(request)) {
    return Respond(owner_->ReportsDraining()
                       ? PlainResponse(beast_http::status::service_unavailable, "draining")
                       : PlainResponse(beast_http::status::ok, "up"));
  }
  // The client may have disconnected while its request waited in the buffer.
  if (ClientDisconnected()) return Close(CloseReason::kClientLeft);
  auto reply = [self = shared_from_this()](HttpResponse response, StreamedBody response_body) {
    self->OnReply(std::move(response), std::move(response_body));
  };
  // With the trailers, and without the part of the body's buffer that was not needed.
  if (!request.body().empty()) {
    request_memory_.message.Set(HeadMemory(request.base()) + request.body().capacity());
  }
  auto observer = owner_->HandleRequest(std::move(request), std::move(streamed_body),
                                        std::move(request_memory_), std::move(reply));
  if (phase_ == Phase::kServing) observer_ = std::move(observer);
}

// Whether what has arrived behind the complete request shows that its length was wrong. Looks at the kernel's
// buffer as well.
bool ClientConnection::BytesBehindAreUnsound() {
  if (!reader_.complete() || pipeline_overflowed_) return false;
  std::array<char, kPeekSize> bytes;
  error_code ignored;
  const std::size_t size = runtime::Peek(socket_, boost::asio::buffer(bytes), ignored);
  return reader_.BytesBehindAreUnsound({bytes.data(), size});
}

// The request may have been sent to upstreams; its attempts are cancelled.
void ClientConnection::RejectBytesBehind() {
  EndRequest();
  RejectUnsound(MessageDefect::kBytesBehind, TextOf(MessageDefect::kBytesBehind));
}

// What has arrived by now counts: nothing of an unsound request is served.
void ClientConnection::OnReply(HttpResponse response, StreamedBody streamed_body) {
  if (!streamed_body) observer_ = {};
  const bool serves = !closed_ && response.result() == beast_http::status::ok;
  const bool unsound = serves && BytesBehindAreUnsound();
  if (!closed_ && !unsound) return Respond(std::move(response), std::move(streamed_body));
  if (streamed_body) streamed_body.stream->Abandon();
  if (unsound) RejectBytesBehind();
}

// After a malformed request the message boundaries are unknown, so nothing after it on this connection is
// parsed as a request.
void ClientConnection::RejectUnsound(MessageDefect defect, const std::string& text) {
  const auto status = defect == MessageDefect::kBodyTooLarge ? beast_http::status::payload_too_large
                                                             : beast_http::status::bad_request;
  Reject(Rejection::kUnsound, LogNameOf(defect), PlainResponse(status, text));
}

void ClientConnection::RejectForMemory() {
  Reject(Rejection::kMemory, "budget", RefusedResponse("refused: memory is short, trying again is harmless"));
}

void ClientConnection::Reject(Rejection rejection, std::string_view detail, HttpResponse response) {
  owner_->client_log().RequestRejected(RequestId(), rejection, detail, runtime::Now());
  close_after_ = true;
  Respond(std::move(response));
}

std::string_view ClientConnection::RequestId() const {
  if (phase_ != Phase::kReading) return request_id_;
  return reader_.in_body() ? IdOf(reader_.head()) : std::string_view();
}

OpenRequest ClientConnection::StateOfRequest() const {
  switch (phase_) {
    case Phase::kReading:
      return reader_.started() ? OpenRequest::kArriving : OpenRequest::kNone;
    case Phase::kServing:
      return OpenRequest::kServing;
    case Phase::kWriting:
      return OpenRequest::kAnswered;
    case Phase::kLingering:
    case Phase::kHalfClosed:
      break;
  }
  return OpenRequest::kNone;
}

void ClientConnection::Respond(HttpResponse response, StreamedBody streamed_body) {
  phase_ = Phase::kWriting;
  since_ = runtime::Now();
  // An upload is still in progress, so the response precedes the end of the request body. The client may not
  // read the response before it has sent the whole body.
  if (const auto upload = std::exchange(upload_, nullptr)) {
    upload->Abandon();
    upload_interrupted_ = close_after_ = true;
  }
  // Parsed bytes of a body that is not needed any more; after BeginUpload() they are in no charge.
  runtime::FreeStorage(reader_.chunk());
  // A handler that finds the request malformed clears the response's keep-alive flag to close the connection.
  if (!response.keep_alive() || owner_->ClosesAfterResponse()) close_after_ = true;
  if (ResponseWriter::EndsWithConnection(streamed_body, http_version_)) close_after_ = true;
  response_memory_.Set(kResponseHeadCopies * HeadMemory(response.base()) + response.body().capacity());
  writer_.Start(std::move(response), std::move(streamed_body), http_version_, !close_after_);
}

void ClientConnection::OnResponseWritten() {
  observer_ = {};
  response_memory_.Set(0);
  if (close_after_) {
    phase_ = Phase::kLingering;
    since_ = runtime::Now();
    body_deadline_.Begin(since_);
    linger_.Begin();
  } else {
    phase_ = Phase::kReading;
    AwaitRequest();
  }
  Progress();
}

}  // namespace mothrack::http
