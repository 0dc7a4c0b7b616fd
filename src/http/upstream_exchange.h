// One exchange with an upstream: sends the request of an attempt or probe and receives the response.
//
// Kept alive by HttpTransport while it is open, and by its own pending handlers. Runs on the thread of the
// event loop. It ends exactly once: ExchangeHooks::on_end is called once, unless the transport is destroyed
// first.
//
// An exchange holds at most one response head of kMaxHeaderSize, and of the body kBufferLimit or its stream's
// window, all of it within its ExchangeMemory or charged to the memory budget. If memory is short, a response
// is streamed that would otherwise be buffered. Its phases are bounded by the request's timeouts and those in
// the source file. Errors become an Outcome, which distinguishes requests that were certainly not written
// from those that may have run.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>
#include <memory>
#include <optional>
#include <string_view>

#include "dispatch/exchange.h"
#include "http/exchange_failure.h"
#include "http/exchange_memory.h"
#include "http/exchange_outcome.h"
#include "http/message_rules.h"
#include "http/messages.h"
#include "http/request_writer.h"
#include "http/response_deadlines.h"
#include "http/response_reader.h"
#include "http/stall_deadline.h"
#include "http/upstream_connection.h"
#include "runtime/clock.h"
#include "runtime/stream.h"

namespace mothrack::http {

class UpstreamExchange : public std::enable_shared_from_this<UpstreamExchange>, private RequestWriter::Owner {
 public:
  // Implemented by the transport.
  class Owner {
   public:
    // The exchange has ended and can no longer be cancelled.
    virtual void Remove(dispatch::ExchangeId id) = 0;
    // The connection can carry another exchange.
    virtual void Release(const std::shared_ptr<UpstreamConnection>& connection) = 0;

   protected:
    ~Owner() = default;
  };

  // The message to send and its time limits.
  struct Request {
    dispatch::ExchangeId id{};
    std::shared_ptr<const HttpMessage> message;
    runtime::Duration connect_timeout{};
    // Counted from Start(), or from the last byte of a request body that is still arriving.
    dispatch::AttemptTimeouts timeouts;
  };

  UpstreamExchange(Owner& owner, const runtime::MemoryBudget& budget, ExchangeMemory memory,
                   std::shared_ptr<UpstreamConnection> connection, Request request,
                   dispatch::ExchangeHooks hooks);

  // Must be called once, after a shared_ptr owns the exchange.
  void Start();

  // Ends the exchange without a response and closes its connection, because late bytes must never reach
  // another request. Whether the last byte was written is decided only when no write is pending: a write that
  // the kernel has accepted, but whose handler has not run yet, counts as written. The safety of a retry
  // depends on this.
  void End(ExchangeEnd cause, ExchangeFailure failure) { End(cause, LogNameOf(failure)); }

  // The request has its final answer already. A connection that is established later must not carry this
  // exchange, because the request would run after its final answer.
  void Abandon();

  // The transport is being destroyed: closes the connection without calling the hooks.
  void Close();

  bool unsent() const { return phase_ == Phase::kConnecting; }
  std::shared_ptr<UpstreamPool> pool() const { return connection_->pool(); }

 private:
  // An exchange is in kEnded before Start() and after its end.
  enum class Phase { kEnded, kConnecting, kWriting, kAwaitingResponse };

  // Connecting and writing
  void OnConnected(boost::system::error_code error);
  void BeginWriting();
  void OnWriteEnded(bool written, boost::system::error_code error) override;
  void OnBodyAwaited() override;
  void OnSocketFull() override;
  void OnBodyWritten() override;
  void OnBodyFailed(bool truncated) override {
    End(ExchangeEnd::kBroken, truncated ? ExchangeFailure::kRequestBroke : ExchangeFailure::kWriteFailed);
  }
  std::shared_ptr<RequestWriter> shared_writer() override { return {shared_from_this(), writer_.get()}; }
  void SetWritten();

  // Reading. The functions that return a bool return whether the exchange goes on with the next step of the
  // reader; otherwise it has ended, or waits for capacity of the stream.
  void AwaitBytes();
  void Receive();
  void Resume();
  bool Process();
  bool OnStep(ResponseReader::Step step);
  bool OnHead();
  bool OnBodyFull();
  bool ForwardBody();
  bool PrepareStreamCapacity();
  void OnUpstreamClosed();
  bool AcceptHead(unsigned status);
  void OnComplete();
  bool BytesBehindAreUnsound();
  std::size_t HeadMemoryBeyondAllowance() const;
  bool GrowBodyBuffer(std::size_t size);
  bool ShouldStream() const;
  void OnBufferingTimeout();
  bool StartStreaming();

  // Ending
  void End(ExchangeEnd cause, std::string_view log_cause);
  // The response is not sound.
  void EndUnsound(MessageDefect defect);
  void FinishWithResponse();
  void FinishUnused();
  void FinishWithoutResponse(ExchangeEnd cause);
  // Marks the exchange as ended; no hook is called after this. Returns on_end, which the caller still has to
  // call.
  dispatch::Transport::OnEnd MarkEnded();
  void CloseConnection();
  void ReleaseRequestBody();
  void ReleaseConnection();

  // Awaits progress of the upstream in a streamed body, within `stall_deadline_`.
  void AwaitTransfer();
  void SuspendTransfer();
  void ArmTimer(runtime::TimePoint at);
  void DisarmTimer();
  bool IsDue() const;
  void OnTimer();

  Owner& owner_;
  const runtime::MemoryBudget budget_;
  ExchangeMemory memory_;
  // What the response takes beyond `memory_`, without the stream.
  runtime::MemoryBudget::Charge response_memory_;
  const std::shared_ptr<UpstreamConnection> connection_;
  Request request_;
  dispatch::ExchangeHooks hooks_;
  // Never null. The writer is a separate object, so that the exchange and the writer each fit the size
  // classes that the allocator caches (1,032 bytes in glibc).
  const std::unique_ptr<RequestWriter> writer_;
  boost::asio::steady_timer& timer_;  // belongs to the connection
  std::optional<ResponseReader> reader_;
  std::shared_ptr<runtime::Stream> response_stream_;  // the body of a response that is being streamed
  Phase phase_ = Phase::kEnded;
  std::optional<ExchangeEnd> pending_end_;  // cause of an end that waits for the pending write
  std::string_view log_cause_;              // of the end, for the log; a literal
  int interim_responses_ = 0;
  bool request_arriving_ = false;  // the request body was still arriving at Start() and is not fully written
  bool written_ = false;           // the last byte of the request was written
  bool abandoned_ = false;         // the request has its final answer and must not be written any more
  bool streaming_ = false;         // the response is, or was, streamed
  bool awaiting_bytes_ = false;    // a wait for readability is pending
  bool bytes_behind_ = false;      // bytes follow the response
  bool processing_ = false;        // guards Process() against re-entry
  std::optional<runtime::Duration> answer_time_;  // from the start of the time limits to the head of a 200
  ResponseDeadlines deadlines_;                   // see Request::timeouts
  StallDeadline stall_deadline_;  // of the body, of the request or of the response, that is being streamed
};

}  // namespace mothrack::http
