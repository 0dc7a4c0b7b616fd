// One request on its way to an upstream and what comes back: an attempt or a probe of the dispatcher's.
//
// Kept alive by HttpTransport while it is open and by its own handlers that are under way; on the thread of
// the event loop. Ends exactly once: ExchangeHooks::on_end is called once, unless the transport is destroyed
// before. Bounds: one response head of kMaxHeaderSize, and of its body kBufferLimit or its stream's window;
// time-outs as in the source file. Errors become an Outcome: what was certainly not written is told apart
// from what may have run.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/system/error_code.hpp>
#include <memory>
#include <optional>

#include "dispatch/exchange.h"
#include "http/incremental_body.h"
#include "http/messages.h"
#include "http/request_writer.h"
#include "http/upstream_connection.h"
#include "runtime/clock.h"
#include "runtime/stream.h"

namespace mothrack::http {

class UpstreamExchange : public std::enable_shared_from_this<UpstreamExchange>, private RequestWriter::Owner {
 public:
  class Owner {
   public:
    // The exchange is over; it is no longer to be cancelled.
    virtual void Remove(dispatch::ExchangeId id) = 0;
    // The connection can carry another exchange.
    virtual void Release(const std::shared_ptr<UpstreamConnection>& connection) = 0;

   protected:
    ~Owner() = default;
  };

  struct Request {
    dispatch::ExchangeId id{};
    std::shared_ptr<const HttpMessage> message;
    runtime::Duration connect_timeout{};
    runtime::Duration timeout{};  // from the start on, or of a message that still comes from its last byte on
  };

  UpstreamExchange(Owner& owner, boost::asio::io_context& io, runtime::ByteBudget& budget,
                   std::shared_ptr<UpstreamConnection> connection, Request request,
                   dispatch::ExchangeHooks hooks);

  // To be called once, when a shared_ptr owns it.
  void Start();

  enum class Cause {
    kBroken,     // the connection broke, or what came on it is no answer
    kTimeout,    // no answer in time
    kCancelled,  // nobody wants the answer
    kNotSent,    // this machine could not send it
  };
  // Ends it without an answer, and its connection with it: late bytes must never reach another request.
  // Whether the last byte was written is asked once no write is under way: a write that the system has taken,
  // but whose handler has not run, counts as written, and unsafe work hangs on that.
  void End(Cause cause);

  // Its request is over. A connection that comes up late must not carry it any more: it would run after its
  // answer.
  void Abandon();

  // The transport is going: closes the connection, and tells nobody.
  void Close();

  bool unsent() const { return phase_ == Phase::kConnecting; }
  std::shared_ptr<UpstreamPool> pool() const { return connection_->pool(); }

 private:
  enum class Phase { kEnded, kConnecting, kWriting, kAwaitingResponse };

  // Connecting and writing
  void OnConnected(boost::system::error_code error);
  void BeginWriting();
  void OnWriteEnded(bool written, boost::system::error_code error) override;
  void OnBodyAwaited() override;
  void OnSocketFull() override;
  void OnBodyWritten() override;
  void OnBodyFailed() override { End(Cause::kBroken); }
  std::shared_ptr<RequestWriter> shared_writer() override { return {shared_from_this(), &writer_}; }
  void SetWritten();

  // Reading
  void ReadHeader();
  void OnHeader(boost::system::error_code error);
  void ReadWholeBody();
  void OnWholeBody(boost::system::error_code error);
  void ReadSomeBody();
  void OnSomeBody(boost::system::error_code error);
  void ContinueBuffering(bool beyond_bound);
  void OnBufferingTimeout();
  void StartStreaming();

  // Its end
  void FinishWithResponse();
  void FinishUnused();
  void FinishWithout(Cause cause);
  // Nothing may reach the hooks after this; returns the one that is still to be called.
  dispatch::Transport::OnEnd CloseBooks();
  void ReleaseRequestBody();
  void ReleaseConnection();

  void ArmTimer(runtime::TimePoint at);
  void DisarmTimer();
  void OnTimer();

  Owner& owner_;
  runtime::ByteBudget& budget_;
  const std::shared_ptr<UpstreamConnection> connection_;
  Request request_;
  dispatch::ExchangeHooks hooks_;
  RequestWriter writer_;
  boost::asio::steady_timer timer_;
  std::optional<beast_http::response_parser<IncrementalBody>> parser_;
  std::shared_ptr<runtime::Stream> response_stream_;  // of an answer that is passed on as it comes
  Phase phase_ = Phase::kEnded;
  std::optional<Cause> pending_end_;  // it ends by this once the write that is under way has ended
  int interim_responses_ = 0;
  bool arriving_ = false;      // the message's body still came when it was begun, and is not written
  bool written_ = false;       // its last byte
  bool abandoned_ = false;     // its request is over: it is not written any more
  bool streaming_ = false;     // the answer is passed on as it comes, or was
  bool reading_body_ = false;  // ReadSomeBody() is under way
  // Of an answer that does not tell its length and is not passed on yet.
  std::optional<runtime::TimePoint> buffering_until_;
  runtime::TimePoint sent_at_;  // where its time counts from
  runtime::TimePoint deadline_;
};

}  // namespace mothrack::http
