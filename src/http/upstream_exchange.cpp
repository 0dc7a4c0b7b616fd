#include "http/upstream_exchange.h"

#include <algorithm>
#include <array>
#include <boost/asio/error.hpp>
#include <chrono>
#include <cstdint>
#include <utility>

#include "http/head_memory.h"
#include "http/load_report.h"
#include "runtime/system_calls.h"

namespace mothrack::http {
namespace {

using balancer::Outcome;
using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

// Maximum number of interim (1xx) responses before the final one. A well-behaved upstream does not send more.
constexpr int kMaxInterimResponses = 8;
// How many copies of a response's head there are: the parser's, the client's response, and its text.
constexpr std::size_t kResponseHeadCopies = 3;
// How much of what follows a response is looked at: more than the beginning of a status line.
constexpr std::size_t kPeekSize = 16;
// How much is read at once before the head is complete; most responses are shorter.
constexpr std::size_t kHeadReadSize = std::size_t{4} * 1024;
// After this many reads the other connections of the event loop get their turn.
constexpr int kMaxReadsAtOnce = 16;

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
  deadlines_.Begin(request_.timeouts, runtime::Now());
  // The timeout of a request whose body is still arriving counts from its last byte.
  const StreamedBody& streamed_body = request_.message->streamed_body;
  request_arriving_ = streamed_body && streamed_body.stream->state() == runtime::Stream::State::kArriving;
  connection_->BeginUse();
  if (connection_->connected()) return BeginWriting();
  phase_ = Phase::kConnecting;
  ArmTimer(std::min(deadlines_.begin_by(), deadlines_.started_at() + request_.connect_timeout));
  connection_->Connect([self = shared_from_this()](error_code error) { self->OnConnected(error); });
}

// ---- Connecting and writing ----

void UpstreamExchange::OnConnected(error_code error) {
  if (error && IsLocalFailure(error)) return End(ExchangeEnd::kNotSent, ExchangeFailure::kLocalShortage);
  if (error) return End(ExchangeEnd::kBroken, ExchangeFailure::kNotConnected);
  if (abandoned_) return FinishUnused();
  BeginWriting();
}

void UpstreamExchange::BeginWriting() {
  phase_ = Phase::kWriting;
  if (request_arriving_) {
    DisarmTimer();
  } else {
    ArmTimer(deadlines_.begin_by());
  }
  reader_.emplace();
  AwaitBytes();
  // Send the upstream the time that remains after connecting.
  const runtime::Duration left = request_arriving_
                                     ? request_.timeouts.until_begun
                                     : runtime::Duration(deadlines_.begin_by() - runtime::Now());
  writer_->Start(*request_.message, std::chrono::duration_cast<milliseconds>(left));
}

void UpstreamExchange::OnWriteEnded(bool written, error_code error) {
  if (phase_ == Phase::kEnded) return;  // a response came before the whole request was written
  if (written) SetWritten();
  if (pending_end_) return FinishWithoutResponse(*pending_end_);
  if (connection_->closed()) return;
  if (error) return End(ExchangeEnd::kBroken, ExchangeFailure::kWriteFailed);
  phase_ = Phase::kAwaitingResponse;
}

// The time that the client needs to send its body does not count against the upstream.
void UpstreamExchange::OnBodyAwaited() {
  if (request_arriving_) SuspendTransfer();
}

void UpstreamExchange::OnSocketFull() {
  if (request_arriving_) AwaitTransfer();
}

void UpstreamExchange::OnBodyWritten() {
  phase_ = Phase::kAwaitingResponse;
  if (std::exchange(request_arriving_, false)) {
    deadlines_.Begin(request_.timeouts, runtime::Now());
    ArmTimer(deadlines_.begin_by());
  }
  SetWritten();
}

void UpstreamExchange::SetWritten() {
  written_ = true;
  hooks_.on_written();
}

// ---- Reading ----

// Waits until the socket is readable. Nothing is lent to the event loop meanwhile, so that timers may grow or
// free any storage of this exchange.
void UpstreamExchange::AwaitBytes() {
  if (awaiting_bytes_ || connection_->closed()) return;
  awaiting_bytes_ = true;
  connection_->socket().async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
    self->awaiting_bytes_ = false;
    if (self->connection_->closed() || self->phase_ == Phase::kEnded) return;
    if (error) return self->End(ExchangeEnd::kBroken, ExchangeFailure::kConnectionReset);
    self->Receive();
  });
}

void UpstreamExchange::Receive() {
  for (int reads = 0; reads < kMaxReadsAtOnce; ++reads) {
    const std::size_t wanted = reader_->head_complete() ? kMaxUpstreamReadAhead : kHeadReadSize;
    error_code error;
    const std::size_t size = runtime::ReadSome(connection_->socket(), reader_->Prepare(wanted), error);
    if (runtime::WouldBlock(error)) break;
    if (error == boost::asio::error::eof) return OnUpstreamClosed();
    if (error) return End(ExchangeEnd::kBroken, ExchangeFailure::kConnectionReset);
    reader_->Commit(size);
    if (!Process()) return;
  }
  AwaitBytes();
}

// The stream has capacity again. While bytes are awaited, all that have arrived are processed already.
void UpstreamExchange::Resume() {
  if (processing_ || awaiting_bytes_ || connection_->closed() || !response_stream_) return;
  if (Process()) Receive();
}

// Returns whether more bytes are to be read.
bool UpstreamExchange::Process() {
  const auto self = shared_from_this();
  processing_ = true;
  bool goes_on = PrepareStreamCapacity();
  auto step = ResponseReader::Step::kHead;
  while (goes_on && step != ResponseReader::Step::kNeedsBytes) {
    step = reader_->Advance();
    goes_on = OnStep(step) && PrepareStreamCapacity();
  }
  processing_ = false;
  return goes_on;
}

bool UpstreamExchange::OnStep(ResponseReader::Step step) {
  switch (step) {
    case ResponseReader::Step::kNeedsBytes:
      return ForwardBody();
    case ResponseReader::Step::kHead:
      return OnHead();
    case ResponseReader::Step::kBodyFull:
      return OnBodyFull();
    case ResponseReader::Step::kComplete:
      OnComplete();
      return false;
    case ResponseReader::Step::kInvalid:
      EndUnsound(reader_->defect());
      return false;
  }
  return false;
}

void UpstreamExchange::OnUpstreamClosed() {
  const auto self = shared_from_this();
  if (!reader_->started()) return End(ExchangeEnd::kBroken, ExchangeFailure::kClosedUnanswered);
  OnStep(reader_->AdvanceAtEnd());
}

// The last piece of a streamed body is passed on only if the response is sound.
void UpstreamExchange::OnComplete() {
  const bool served = reader_->head().result() == beast_http::status::ok;
  if (served && BytesBehindAreUnsound()) return EndUnsound(MessageDefect::kBytesBehind);
  if (ForwardBody()) FinishWithResponse();
}

// Looks at what was read and at the kernel's buffer.
bool UpstreamExchange::BytesBehindAreUnsound() {
  std::array<char, kPeekSize> bytes;
  error_code ignored;
  const std::size_t size = runtime::Peek(connection_->socket(), boost::asio::buffer(bytes), ignored);
  bytes_behind_ = size > 0 || reader_->has_unparsed_bytes();
  return bytes_behind_ && reader_->BytesBehindAreUnsound({bytes.data(), size});
}

bool UpstreamExchange::OnHead() {
  const unsigned status = reader_->head().result_int();
  if (status / 100 == 1) {
    const bool switches_protocol = status == static_cast<unsigned>(beast_http::status::switching_protocols);
    const bool acceptable = !switches_protocol && ++interim_responses_ <= kMaxInterimResponses;
    acceptable ? reader_->BeginNextResponse() : EndUnsound(MessageDefect::kUnexpectedStatus);
    return acceptable;
  }
  if (!AcceptHead(status)) return false;
  const auto length = reader_->content_length();
  const bool buffers = (status != 200 || (length && *length <= kBufferLimit)) &&
                       GrowBodyBuffer(std::min<std::uint64_t>(length.value_or(kBufferLimit), kBufferLimit));
  if (status != 200) return true;
  const runtime::TimePoint now = runtime::Now();
  answer_time_ = now - deadlines_.started_at();
  if (length && !buffers) return StartStreaming();
  deadlines_.BeginBuffering(length.has_value(), now);
  ArmTimer(deadlines_.buffer_until());
  return true;
}

// Returns false if the response must not be used, and ends the exchange then.
bool UpstreamExchange::AcceptHead(unsigned status) {
  if (status == 200 && !written_) {
    End(ExchangeEnd::kBroken, ExchangeFailure::kEarlyAnswer);
  } else if (status == 200 && !reader_->has_defined_end()) {
    EndUnsound(MessageDefect::kUndefinedEnd);
  } else if (!response_memory_.Reserve(HeadMemoryBeyondAllowance())) {
    End(ExchangeEnd::kBroken, ExchangeFailure::kMemory);
  } else {
    return true;
  }
  return false;
}

std::size_t UpstreamExchange::HeadMemoryBeyondAllowance() const {
  const std::size_t head = kResponseHeadCopies * HeadMemory(reader_->head());
  return head > ExchangeMemory::kHeadAllowance ? head - ExchangeMemory::kHeadAllowance : 0;
}

// Lets the reader buffer up to `size` bytes of the body. Returns false if memory is short.
bool UpstreamExchange::GrowBodyBuffer(std::size_t size) {
  const std::size_t capacity = reader_->body_capacity();
  if (size <= capacity) return true;
  if (!response_memory_.Grow(response_memory_.bytes() + size - capacity)) return false;
  reader_->set_body_capacity(size);
  return true;
}

bool UpstreamExchange::OnBodyFull() {
  if (response_stream_) return ForwardBody();
  if (deadlines_.buffering()) {
    const std::size_t capacity = reader_->body_capacity();
    if (capacity < kBufferLimit && GrowBodyBuffer(std::min(2 * capacity, kBufferLimit))) return true;
    return StartStreaming();
  }
  // For an error response the first part of the body is enough.
  FinishWithResponse();
  return false;
}

// Passes on what has arrived of a streamed body, or begins to stream one that has been buffered for long
// enough.
bool UpstreamExchange::ForwardBody() {
  if (!response_stream_) {
    if (deadlines_.buffering()) deadlines_.OnBuffered(reader_->body().size(), runtime::Now());
    const bool streams = deadlines_.buffering() && !reader_->complete() && ShouldStream();
    return !streams || StartStreaming();
  }
  const auto stream = response_stream_;  // its consumer may end the exchange and with it the member
  stream->AppendAndFree(reader_->body());
  return !connection_->closed() && phase_ != Phase::kEnded;
}

// Lets the reader parse as much of a streamed body as its client can take. Returns false if that is nothing.
bool UpstreamExchange::PrepareStreamCapacity() {
  if (!response_stream_) return true;
  const std::size_t capacity = response_stream_->Capacity();
  // The client reads slowly; its pause does not count against the upstream.
  if (capacity == 0) {
    SuspendTransfer();
    return false;
  }
  reader_->set_body_capacity(capacity);
  AwaitTransfer();
  return true;
}

bool UpstreamExchange::ShouldStream() const {
  return hooks_.on_started && deadlines_.ShouldStream(reader_->body().size(), runtime::Now());
}

void UpstreamExchange::OnBufferingTimeout() {
  if (!ShouldStream()) {
    const auto next_check = deadlines_.NextCheck(runtime::Now());
    if (!next_check) return End(ExchangeEnd::kTimeout, ExchangeFailure::kStalled);
    return ArmTimer(*next_check);
  }
  const auto self = shared_from_this();
  if (StartStreaming()) PrepareStreamCapacity();
}

// A long response is streamed. From here on only a long pause of the upstream ends it, and not before its
// client's deadline.
bool UpstreamExchange::StartStreaming() {
  if (!hooks_.on_started) {
    EndUnsound(MessageDefect::kBodyTooLarge);
    return false;
  }
  deadlines_.EndBuffering();
  HttpResponse head;
  head.base() = reader_->head();
  // The stream claims its own memory.
  memory_.ReleaseWindow();
  response_memory_.Set(HeadMemoryBeyondAllowance());
  StreamedBody streamed_body{std::make_shared<runtime::Stream>(budget_, 0), reader_->content_length()};
  response_stream_ = streamed_body.stream;
  response_stream_->AppendAndFree(reader_->body());
  response_stream_->on_capacity = [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->Resume();
  };
  stall_deadline_ = deadlines_.WhileStreaming(reader_->content_length());
  DisarmTimer();
  streaming_ = true;
  const bool was_processing = std::exchange(processing_, true);
  hooks_.on_started(std::make_unique<HttpReply>(std::move(head), std::move(streamed_body)), *answer_time_);
  processing_ = was_processing;
  return !connection_->closed() && phase_ != Phase::kEnded;
}

// ---- Ending ----

void UpstreamExchange::FinishWithResponse() {
  // There are more fields than in OnHeader() if the body had trailers.
  if (HasTooManyFields(reader_->head())) return EndUnsound(MessageDefect::kTooManyFields);
  // If the response came before the request was fully written, the connection is in the middle of a message
  // and cannot be reused.
  const bool reusable = reader_->keep_alive() && reader_->complete() && written_ &&
                        !reader_->has_unparsed_bytes() && !bytes_behind_;
  HttpResponse response = reader_->Release();
  dispatch::ExchangeResult result{OutcomeOf(response), runtime::Now() - deadlines_.started_at(),
                                  ParseLoadReport(response["X-Server-Load"]), nullptr, answer_time_};
  if (result.outcome != Outcome::kServed) result.cause = LogNameOf(ExchangeFailure::kStatus);
  result.request_incomplete = request_arriving_ && IsClientError(response);
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
  on_end({Outcome::kNotSent, connection_->idle_since() - deadlines_.started_at(), {}, nullptr});
}

void UpstreamExchange::End(ExchangeEnd cause, std::string_view log_cause) {
  if (phase_ == Phase::kEnded || pending_end_) return;
  log_cause_ = log_cause;
  if (connection_->connected()) connection_->DiscardUnsent();
  CloseConnection();
  if (writer_->pending()) {
    pending_end_ = cause;
    return;
  }
  FinishWithoutResponse(cause);
}

void UpstreamExchange::EndUnsound(MessageDefect defect) {
  connection_->CountUnsound();
  End(ExchangeEnd::kBroken, LogNameOf(defect));
}

void UpstreamExchange::FinishWithoutResponse(ExchangeEnd cause) {
  ReleaseRequestBody();
  const auto stream = std::exchange(response_stream_, nullptr);
  const Outcome outcome = OutcomeOf(cause, written_);
  const auto self = shared_from_this();
  const auto on_end = MarkEnded();
  const bool request_incomplete =
      cause == ExchangeEnd::kBroken && request_arriving_ && connection_->connected();
  on_end({outcome,
          runtime::Now() - deadlines_.started_at(),
          {},
          nullptr,
          answer_time_,
          log_cause_,
          request_incomplete});
  if (stream) stream->End(runtime::Stream::State::kTruncated);
}

void UpstreamExchange::Abandon() {
  if (phase_ == Phase::kConnecting) abandoned_ = true;
  if (phase_ == Phase::kWriting && !written_) End(ExchangeEnd::kCancelled, ExchangeFailure::kCancelled);
}

void UpstreamExchange::Close() {
  phase_ = Phase::kEnded;
  hooks_ = {};
  CloseConnection();
}

void UpstreamExchange::CloseConnection() {
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
  reader_.reset();
  connection_->BeginIdle();
  owner_.Release(connection_);
}

// ---- Timer ----

void UpstreamExchange::AwaitTransfer() {
  stall_deadline_.Restart(runtime::Now());
  ArmTimer(*stall_deadline_.due());
}

void UpstreamExchange::SuspendTransfer() {
  stall_deadline_.Suspend();
  DisarmTimer();
}

// Setting the expiry also voids a timer event that has fired but was not handled yet.
void UpstreamExchange::DisarmTimer() { timer_.expires_at(std::chrono::steady_clock::time_point::max()); }

void UpstreamExchange::ArmTimer(runtime::TimePoint at) {
  timer_.expires_at(runtime::ToSteady(at));
  timer_.async_wait([self = shared_from_this()](error_code error) {
    if (!error) self->OnTimer();
  });
}

// Whether a limit is reached. The timer may have fired just before it was re-armed.
bool UpstreamExchange::IsDue() const {
  if (connection_->closed() || phase_ == Phase::kEnded) return false;
  return timer_.expiry() <= std::chrono::steady_clock::now();
}

void UpstreamExchange::OnTimer() {
  if (!IsDue()) return;
  // The process may have been held up: what arrived meanwhile is read before a limit is applied.
  if (awaiting_bytes_) Receive();
  if (!IsDue()) return;
  if (deadlines_.buffering()) return OnBufferingTimeout();
  const bool stalled = response_stream_ != nullptr || request_arriving_;
  End(ExchangeEnd::kTimeout, stalled ? ExchangeFailure::kStalled : ExchangeFailure::kSilent);
}

}  // namespace mothrack::http
