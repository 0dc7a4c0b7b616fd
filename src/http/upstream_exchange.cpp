#include "http/upstream_exchange.h"

#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <utility>

#include "http/head_memory.h"
#include "http/load_report.h"

namespace mothrack::http {
namespace {

using balancer::Outcome;
using boost::system::error_code;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Maximum number of interim (1xx) responses before the final one. A well-behaved upstream does not send more.
constexpr int kMaxInterimResponses = 8;
// An upstream has failed if it does not read a streamed request body, or pauses in a streamed response, for
// this long.
constexpr runtime::Duration kWriteIdleTimeout = seconds(5);
constexpr runtime::Duration kResponseIdleTimeout = seconds(15);
// A response of unknown length is buffered like one of known length. Once it is no longer small, it is
// buffered only for this long: the part of a long response that has arrived must not be withheld from its
// client for 2 s.
constexpr runtime::Duration kBufferingTimeout = seconds(1);

// How many copies of a response's head there are: the parser's, the client's response, and its text.
constexpr std::size_t kResponseHeadCopies = 3;

// Whether the head determines where the response ends. A response may end with its connection (RFC 9112
// section 6.3) only if the head says that the connection ends. Otherwise a complete response could not be
// distinguished from a truncated one.
bool HasDefinedEnd(const beast_http::response_parser<IncrementalBody>& parser) {
  const auto& header = parser.get();
  const auto codings = header.count(beast_http::field::transfer_encoding);
  if (codings == 0) return parser.content_length().has_value() || !header.keep_alive();
  return codings == 1 && boost::beast::iequals(header[beast_http::field::transfer_encoding], "chunked");
}

// Whether connecting failed because this machine lacked a resource (port, memory, route) or was interrupted.
// Such an error says nothing about the upstream, and nothing was sent. See connect(2), ip(7).
bool IsLocalFailure(const error_code& error) {
  if (error.category() != boost::system::system_category()) return false;
  switch (error.value()) {
    case EADDRNOTAVAIL:
    case EADDRINUSE:
    case EAGAIN:
    case EINTR:
    case EMFILE:
    case ENETDOWN:
    case ENETUNREACH:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
    case EPERM:
      return true;
    default:
      return false;
  }
}

Outcome OutcomeOf(const beast_http::response_header<>& header) {
  const unsigned status = header.result_int();
  if (status == 200) return Outcome::kServed;
  // Only this header proves that the upstream has not processed the request. A 503 without it may be sent
  // after the work was done.
  if ((status == 503 || status == 504) && header["X-Not-Processed"] == "1") return Outcome::kFull;
  return Outcome::kError;
}

Outcome OutcomeOf(UpstreamExchange::Cause cause, bool written) {
  switch (cause) {
    case UpstreamExchange::Cause::kBroken:
      return written ? Outcome::kReset : Outcome::kConnectFailed;
    case UpstreamExchange::Cause::kTimeout:
      return written ? Outcome::kTimeout : Outcome::kConnectFailed;
    case UpstreamExchange::Cause::kCancelled:
      return Outcome::kCancelled;
    case UpstreamExchange::Cause::kNotSent:
      break;
  }
  return Outcome::kNotSent;
}

}  // namespace

UpstreamExchange::UpstreamExchange(Owner& owner, const runtime::MemoryBudget& budget, ExchangeMemory memory,
                                   std::shared_ptr<UpstreamConnection> connection, Request request,
                                   dispatch::ExchangeHooks hooks)
    : owner_(owner),
      budget_(budget),
      memory_(std::move(memory)),
      response_memory_(budget),
      connection_(std::move(connection)),
      request_(std::move(request)),
      hooks_(std::move(hooks)),
      writer_(
          std::make_unique<RequestWriter>(connection_->socket(), static_cast<RequestWriter::Owner&>(*this))),
      timer_(connection_->timer()) {}

void UpstreamExchange::Start() {
  started_at_ = runtime::Now();
  deadline_ = started_at_ + request_.timeout;
  // The timeout of a request whose body is still arriving counts from its last byte.
  const StreamedBody& streamed_body = request_.message->streamed_body;
  request_arriving_ = streamed_body && streamed_body.stream->state() == runtime::Stream::State::kArriving;
  connection_->BeginUse();
  if (connection_->connected()) return BeginWriting();
  phase_ = Phase::kConnecting;
  ArmTimer(std::min(deadline_, started_at_ + request_.connect_timeout));
  connection_->Connect([self = shared_from_this()](error_code error) { self->OnConnected(error); });
}

// ---- Connecting and writing ----

void UpstreamExchange::OnConnected(error_code error) {
  if (error) return End(IsLocalFailure(error) ? Cause::kNotSent : Cause::kBroken);
  if (abandoned_) return FinishUnused();
  BeginWriting();
}

void UpstreamExchange::BeginWriting() {
  phase_ = Phase::kWriting;
  if (request_arriving_) {
    DisarmTimer();
  } else {
    ArmTimer(deadline_);
  }
  ReadHeader();
  // Send the upstream the time that remains after connecting.
  const runtime::Duration left =
      request_arriving_ ? request_.timeout : runtime::Duration(deadline_ - runtime::Now());
  writer_->Start(*request_.message, std::chrono::duration_cast<milliseconds>(left));
}

void UpstreamExchange::OnWriteEnded(bool written, error_code error) {
  if (written) SetWritten();
  if (pending_end_) return FinishWithoutResponse(*pending_end_);
  if (connection_->closed()) return;
  if (error) return End(Cause::kBroken);
  phase_ = Phase::kAwaitingResponse;
}

// The time that the client needs to send its body does not count against the upstream.
void UpstreamExchange::OnBodyAwaited() {
  if (request_arriving_) DisarmTimer();
}

void UpstreamExchange::OnSocketFull() {
  if (request_arriving_) ArmTimer(runtime::Now() + kWriteIdleTimeout);
}

void UpstreamExchange::OnBodyWritten() {
  phase_ = Phase::kAwaitingResponse;
  if (std::exchange(request_arriving_, false)) {
    started_at_ = runtime::Now();
    deadline_ = started_at_ + request_.timeout;
    ArmTimer(deadline_);
  }
  SetWritten();
}

void UpstreamExchange::SetWritten() {
  written_ = true;
  hooks_.on_written();
}

// ---- Reading ----

void UpstreamExchange::ReadHeader() {
  parser_.emplace();
  parser_->body_limit(kMaxBodySize);
  parser_->get().body().capacity = runtime::MemoryBudget::kMinWindow;
  parser_->header_limit(kMaxHeaderSize);
  // Read the head on its own first: if the start of the body arrives together with the head, Beast 1.74 loses
  // the error that the body exceeds its limit and would accept all of it.
  beast_http::async_read_header(connection_->socket(), connection_->buffer(), *parser_,
                                [self = shared_from_this()](error_code error, std::size_t) {
                                  if (!self->connection_->closed()) self->OnHeader(error);
                                });
}

void UpstreamExchange::OnHeader(error_code error) {
  if (error) return End(Cause::kBroken);
  const unsigned status = parser_->get().result_int();
  if (status / 100 == 1) {
    const bool switches_protocol = status == static_cast<unsigned>(beast_http::status::switching_protocols);
    if (switches_protocol || ++interim_responses_ > kMaxInterimResponses) return End(Cause::kBroken);
    return ReadHeader();
  }
  // A 200 before the whole request was written is invalid too.
  if (status == 200 && (!written_ || !HasDefinedEnd(*parser_))) return End(Cause::kBroken);
  if (!ReserveHead()) return End(Cause::kBroken);
  const auto length = parser_->content_length();
  const bool buffers = (status != 200 || (length && *length <= kBufferLimit)) &&
                       GrowBodyBuffer(std::min<std::uint64_t>(length.value_or(kBufferLimit), kBufferLimit));
  if (status == 200 && length && !buffers) return StartStreaming();
  if (status != 200 || length) return ReadWholeBody();
  buffering_until_ = runtime::Now() + kBufferingTimeout;
  ArmTimer(std::min(*buffering_until_, deadline_));
  ReadSomeBody();
}

// Returns false if the head has too many fields, or if the budget denies the memory that it takes.
bool UpstreamExchange::ReserveHead() {
  if (HasTooManyFields(parser_->get())) return false;
  return response_memory_.Reserve(HeadMemoryBeyondAllowance());
}

std::size_t UpstreamExchange::HeadMemoryBeyondAllowance() const {
  const std::size_t head = kResponseHeadCopies * HeadMemory(parser_->get());
  return head > ExchangeMemory::kHeadAllowance ? head - ExchangeMemory::kHeadAllowance : 0;
}

// Lets the parser buffer up to `size` bytes of the body. Returns false if memory is short.
bool UpstreamExchange::GrowBodyBuffer(std::size_t size) {
  std::size_t& capacity = parser_->get().body().capacity;
  if (size <= capacity) return true;
  if (!response_memory_.Grow(response_memory_.bytes() + size - capacity)) return false;
  capacity = size;
  return true;
}

void UpstreamExchange::ReadWholeBody() {
  beast_http::async_read(connection_->socket(), connection_->buffer(), *parser_,
                         [self = shared_from_this()](error_code error, std::size_t) {
                           if (!self->connection_->closed()) self->OnWholeBody(error);
                         });
}

void UpstreamExchange::OnWholeBody(error_code error) {
  // For an error response the first part of the body is enough.
  if (error && error != beast_http::error::need_buffer) return End(Cause::kBroken);
  FinishWithResponse();
}

void UpstreamExchange::ReadSomeBody() {
  if (connection_->closed() || reading_body_ || (!response_stream_ && !buffering_until_)) return;
  if (response_stream_) {
    const std::size_t capacity = response_stream_->Capacity();
    // The client reads slowly; its pause does not count against the upstream.
    if (capacity == 0) return DisarmTimer();
    parser_->get().body().capacity = capacity;
    ArmTimer(runtime::Now() + kResponseIdleTimeout);
  }
  reading_body_ = true;
  beast_http::async_read_some(connection_->socket(), connection_->buffer(), *parser_,
                              [self = shared_from_this()](error_code error, std::size_t) {
                                if (!self->connection_->closed()) self->OnSomeBody(error);
                              });
}

void UpstreamExchange::OnSomeBody(error_code error) {
  if (error && error != beast_http::error::need_buffer) return End(Cause::kBroken);
  if (!response_stream_) {
    reading_body_ = false;
    if (parser_->is_done()) return FinishWithResponse();
    return ContinueBuffering(error == beast_http::error::need_buffer);
  }
  const auto stream = response_stream_;  // Append() may end the exchange and with it the member
  stream->AppendAndFree(parser_->get().body().bytes);
  if (connection_->closed()) return;
  reading_body_ = false;
  if (parser_->is_done()) return FinishWithResponse();
  ReadSomeBody();
}

void UpstreamExchange::ContinueBuffering(bool beyond_limit) {
  const BodyChunk& body = parser_->get().body();
  const bool long_enough = body.bytes.size() >= kMinStreamedSize && runtime::Now() >= *buffering_until_;
  const bool full = beyond_limit && (body.capacity >= kBufferLimit ||
                                     !GrowBodyBuffer(std::min(2 * body.capacity, kBufferLimit)));
  if (full || long_enough) return StartStreaming();
  ReadSomeBody();
}

// A response that is large by now is streamed. A small one is buffered further: it may be complete before the
// deadline, or it may break off, and then the request can be retried.
void UpstreamExchange::OnBufferingTimeout() {
  if (parser_->get().body().bytes.size() >= kMinStreamedSize) return StartStreaming();
  ArmTimer(deadline_);
}

// A long response is streamed. From here on there is no deadline, but the upstream must not pause for long.
void UpstreamExchange::StartStreaming() {
  if (!hooks_.on_started) return End(Cause::kBroken);
  buffering_until_.reset();
  HttpResponse head;
  head.base() = parser_->get().base();
  // The stream claims its own memory.
  memory_.ReleaseWindow();
  response_memory_.Set(HeadMemoryBeyondAllowance());
  StreamedBody streamed_body{std::make_shared<runtime::Stream>(budget_, 0), std::nullopt};
  if (const auto length = parser_->content_length()) streamed_body.length = *length;
  response_stream_ = streamed_body.stream;
  response_stream_->AppendAndFree(parser_->get().body().bytes);
  response_stream_->on_capacity = [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->ReadSomeBody();
  };
  DisarmTimer();
  streaming_ = true;
  // Beast reads as many bytes at a time as the buffer has room for.
  connection_->buffer().reserve(kMaxUpstreamReadAhead);
  hooks_.on_started(std::make_unique<HttpReply>(std::move(head), std::move(streamed_body)));
  if (reading_body_ && !connection_->closed()) return ArmTimer(runtime::Now() + kResponseIdleTimeout);
  ReadSomeBody();
}

// ---- Ending ----

void UpstreamExchange::FinishWithResponse() {
  // There are more fields than in OnHeader() if the body had trailers.
  if (HasTooManyFields(parser_->get())) return End(Cause::kBroken);
  const bool complete = parser_->is_done();
  const bool keep_alive = parser_->get().keep_alive() && !parser_->need_eof();
  auto message = parser_->release();
  HttpResponse response;
  response.base() = std::move(message.base());
  response.body() = std::move(message.body().bytes);
  dispatch::ExchangeResult result{OutcomeOf(response), runtime::Now() - started_at_,
                                  ParseLoadReport(response["X-Server-Load"]), nullptr};
  // If the response came before the request was fully written, the connection is in the middle of a message
  // and cannot be reused.
  const bool reusable = keep_alive && complete && written_ && connection_->buffer().size() == 0;
  if (result.outcome == Outcome::kServed && !streaming_) {
    result.reply = std::make_unique<HttpReply>(std::move(response));
  }
  timer_.cancel();
  ReleaseRequestBody();
  const auto stream = std::exchange(response_stream_, nullptr);
  const auto self = shared_from_this();
  const auto on_end = MarkEnded();
  if (reusable) {
    ReleaseConnection();
  } else {
    connection_->Close();
  }
  on_end(std::move(result));
  // Last, because the stream's consumer may react by closing its connection or by reading its next request.
  // The dispatcher must have finished this request by then.
  if (stream) stream->End(runtime::Stream::State::kComplete);
}

// The connection was established but is not needed; it is pooled for the next request.
void UpstreamExchange::FinishUnused() {
  timer_.cancel();
  ReleaseRequestBody();
  const auto self = shared_from_this();
  const auto on_end = MarkEnded();
  ReleaseConnection();
  on_end({Outcome::kNotSent, connection_->idle_since() - started_at_, {}, nullptr});
}

void UpstreamExchange::End(Cause cause) {
  if (phase_ == Phase::kEnded || pending_end_) return;
  if (connection_->connected()) connection_->DiscardUnsent();
  Close();
  if (writer_->pending()) {
    pending_end_ = cause;
    return;
  }
  FinishWithoutResponse(cause);
}

void UpstreamExchange::FinishWithoutResponse(Cause cause) {
  ReleaseRequestBody();
  const auto stream = std::exchange(response_stream_, nullptr);
  const Outcome outcome = OutcomeOf(cause, written_);
  const auto self = shared_from_this();
  const auto on_end = MarkEnded();
  on_end({outcome, runtime::Now() - started_at_, {}, nullptr});
  if (stream) stream->End(runtime::Stream::State::kTruncated);
}

void UpstreamExchange::Abandon() {
  if (phase_ == Phase::kConnecting) abandoned_ = true;
  if (phase_ == Phase::kWriting && !written_) End(Cause::kCancelled);
}

void UpstreamExchange::Close() {
  if (connection_->closed()) return;
  connection_->Close();
  timer_.cancel();
}

dispatch::Transport::OnEnd UpstreamExchange::MarkEnded() {
  phase_ = Phase::kEnded;
  // The client's connection claims the memory of the response that it gets.
  memory_.Return();
  response_memory_.Set(0);
  auto on_end = std::exchange(hooks_.on_end, nullptr);
  owner_.Remove(request_.id);
  return on_end;
}

// From here on another attempt may consume the request body.
void UpstreamExchange::ReleaseRequestBody() {
  writer_->StopBody();
  if (request_.message->streamed_body) request_.message->streamed_body.stream->StopConsuming();
}

// Discards all state of this exchange so that the next one starts clean.
void UpstreamExchange::ReleaseConnection() {
  writer_->Clear();
  request_.message.reset();
  parser_.reset();
  connection_->BeginIdle();
  owner_.Release(connection_);
}

// ---- Timer ----

// Setting the expiry also voids a timer event that has fired but was not handled yet.
void UpstreamExchange::DisarmTimer() { timer_.expires_at(std::chrono::steady_clock::time_point::max()); }

void UpstreamExchange::ArmTimer(runtime::TimePoint at) {
  timer_.expires_at(runtime::ToSteady(at));
  timer_.async_wait([self = shared_from_this()](error_code error) {
    if (!error) self->OnTimer();
  });
}

void UpstreamExchange::OnTimer() {
  if (connection_->closed() || phase_ == Phase::kEnded) return;
  // The timer may have fired just before it was re-armed.
  if (timer_.expiry() > std::chrono::steady_clock::now()) return;
  if (buffering_until_ && runtime::Now() < deadline_) return OnBufferingTimeout();
  End(Cause::kTimeout);
}

}  // namespace mothrack::http
