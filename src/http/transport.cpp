#include "http/transport.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <utility>

#include "http/body_writer.h"
#include "runtime/system_calls.h"
#include "runtime/write_stream.h"

namespace mothrack::http {
namespace {

using balancer::LoadReport;
using balancer::Outcome;
using balancer::UpstreamState;
using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

// The upstream counts from when it wrote its answer, we from when we read it, and a request needs time to get
// there: an idle connection is retired this share of the limit early, at least by so much.
constexpr int kIdleShare = 10;
constexpr runtime::Duration kIdleMargin = milliseconds(500);
constexpr auto kSweep = milliseconds(250);

// Interim answers ahead of the one answer; more are no honest upstream's.
constexpr int kMostInterim = 8;
// A body that its upstream does not take, and an answer that stops, for so long are given up.
constexpr runtime::Duration kWriteIdleTimeout = std::chrono::seconds(5);
constexpr runtime::Duration kAnswerIdleTimeout = std::chrono::seconds(15);
// An answer that does not tell its length is kept whole like one that does, but no longer than this once it
// is no small one: what has come of a long answer may not be kept from its client for 2 s.
constexpr runtime::Duration kBufferingTimeout = std::chrono::seconds(1);
// No load is beyond this, whatever its unit.
constexpr double kMostLoad = 1e6;

runtime::Duration TrustedIdle(runtime::Duration limit) {
  return std::max(limit / 2, limit - std::max(limit / kIdleShare, kIdleMargin));
}

std::optional<double> Number(boost::beast::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  if (!(value >= 0 && value <= kMostLoad)) return std::nullopt;  // from_chars takes "nan" and "inf", too
  return value;
}

// `inflight=7,queue=2,util=0.61`, under the names of the protocol or of the settings. A report of which a
// part can't be read is none: the rest of it is no more to be trusted.
LoadReport ParseLoad(boost::beast::string_view text) {
  LoadReport load;
  while (!text.empty()) {
    const auto comma = text.find(',');
    auto field = text.substr(0, comma);
    text = comma == boost::beast::string_view::npos ? boost::beast::string_view() : text.substr(comma + 1);
    while (!field.empty() && field.front() == ' ') field.remove_prefix(1);
    while (!field.empty() && (field.back() == ' ' || field.back() == '\n' || field.back() == '\r')) {
      field.remove_suffix(1);
    }
    const auto equals = field.find('=');
    if (equals == boost::beast::string_view::npos) continue;
    const auto name = field.substr(0, equals);
    const auto value = Number(field.substr(equals + 1));
    if (!value) return {};
    if (name == "inflight" || name == "rif") load.in_flight = value;
    if (name == "queue" || name == "q") load.queued = value;
    if (name == "util" || name == "busy") load.utilization = value;
    if (name == "qps" || name == "rate") load.rate = value;
  }
  return load;
}

// Does the head tell where a served answer ends? One that ends with its connection is told by that (RFC 9112
// section 6.3) where its head says that the connection ends; otherwise it can't be told from one that was
// cut.
bool TellsItsEnd(const beast_http::response_parser<IncrementalBody>& parser) {
  const auto& header = parser.get();
  const auto codings = header.count(beast_http::field::transfer_encoding);
  if (codings == 0) return parser.content_length().has_value() || !header.keep_alive();
  return codings == 1 && boost::beast::iequals(header[beast_http::field::transfer_encoding], "chunked");
}

// Of a connection that did not come up: this machine lacked something (a port, memory, a route) or was
// interrupted. It says nothing of the upstream, and nothing was sent. connect(2), ip(7).
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

Outcome Classify(const beast_http::response_header<>& header) {
  const unsigned status = header.result_int();
  if (status == 200) return Outcome::kServed;
  // Only this header proves that nothing ran: a bare 503 may come from behind the work.
  if ((status == 503 || status == 504) && header["X-Not-Processed"] == "1") return Outcome::kFull;
  return Outcome::kError;
}

}  // namespace

// One connection and what it carries. While it is idle it is only watched: whatever comes then, a close or
// bytes, retires it, and each request starts with nothing read and nothing parsed. It is its own handlers'
// owner; Close() makes those that are under way no-ops.
class HttpTransport::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(HttpTransport& owner, const std::shared_ptr<Pool>& pool)
      : owner_(owner),
        pool_(pool),
        slot_(std::in_place, owner.descriptors_, runtime::Descriptors::Side::kUpstream),
        socket_(owner.io_),
        write_stream_(socket_),
        timer_(owner.io_) {
    buffer_.max_size(kMaxReadAhead);
  }

  error_code OpenSocket() {
    error_code error;
    socket_.open(pool_.lock()->location.endpoint.protocol(), error);
    if (!error) socket_.set_option(tcp::no_delay(true), error);
    if (!error) socket_.non_blocking(true, error);
    return error;
  }

  void Start(dispatch::ExchangeId id, std::shared_ptr<const HttpMessage> message, runtime::Duration timeout,
             dispatch::ExchangeHooks hooks) {
    id_ = id;
    message_ = std::move(message);
    written_ = started_ = abandoned_ = false;
    buffering_until_.reset();
    hooks_ = std::move(hooks);
    sent_ = runtime::Now();
    timeout_ = timeout;
    gives_up_ = sent_ + timeout;
    // Of a message that still comes the time counts from its last byte on.
    arriving_ = message_->coming && message_->coming.stream->state() == runtime::Stream::State::kComing;
    phase_ = connected_ ? Phase::kWriting : Phase::kConnecting;
    ++use_;
    interim_ = 0;
    if (connected_) return Begin();
    ArmTimer(std::min(gives_up_, sent_ + owner_.connect_timeout_));
    ++owner_.counts_.opened;
    const auto pool = pool_.lock();
    socket_.async_connect(pool->location.endpoint, [self = shared_from_this()](error_code error) {
      if (self->closed_) return;
      if (error) return self->End(IsLocalFailure(error) ? Cause::kNotSent : Cause::kBroken);
      self->connected_ = true;
      if (self->abandoned_) return self->Unused();
      self->phase_ = Phase::kWriting;
      self->Begin();
    });
  }

  enum class Cause { kBroken, kTimeout, kCancelled, kNotSent };

  // The exchange ends without an answer, and its connection with it: late bytes must never reach another
  // request. Whether the last byte was written is asked once no write is under way: a write that the system
  // has taken, but whose handler has not run, counts as written, and unsafe work hangs on that.
  void End(Cause cause) {
    if (phase_ == Phase::kIdle || ending_) return;
    if (connected_) DiscardUnsent();
    Close();
    if (write_pending_) {
      ending_ = cause;
      return;
    }
    Finish(cause);
  }

  // Its request is over. A connection that comes up late must not carry it any more: it would run after its
  // answer.
  void Abandon() {
    if (phase_ == Phase::kConnecting) abandoned_ = true;
    if (phase_ == Phase::kWriting && !written_) End(Cause::kCancelled);
  }

  void Close() {
    if (closed_) return;
    closed_ = true;
    ++(connected_ ? owner_.counts_.closed : owner_.counts_.failed);
    error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
    slot_.reset();
  }

  // Did the upstream close it, or say something nobody asked for? Asked before each use: the event may not
  // have been delivered yet.
  bool LooksAlive() {
    if (closed_) return false;
    error_code error;
    runtime::PeekByte(socket_, error);
    return runtime::WouldBlock(error);
  }

  dispatch::ExchangeId id() const { return id_; }
  std::shared_ptr<Pool> pool() const { return pool_.lock(); }
  bool unsent() const { return phase_ == Phase::kConnecting; }
  runtime::TimePoint idle_since() const { return idle_since_; }

 private:
  enum class Phase { kIdle, kConnecting, kWriting, kWaiting };

  void Begin() {
    if (arriving_) {
      DisarmTimer();
    } else {
      ArmTimer(gives_up_);
    }
    Read();
    Write();
  }

  // A plain close leaves what the system has taken to be delivered, however late: the request would begin
  // long after it was given up. A reset takes that back.
  void DiscardUnsent() {
    int unsent = 0;
    if (closed_ || ::ioctl(socket_.native_handle(), SIOCOUTQ, &unsent) != 0 || unsent <= 0) return;
    error_code ignored;
    socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  }

  // Also makes void what has fired and not been handled.
  void DisarmTimer() { timer_.expires_at(std::chrono::steady_clock::time_point::max()); }

  void ArmTimer(runtime::TimePoint at) {
    timer_.expires_at(runtime::ToSteady(at));
    timer_.async_wait([self = shared_from_this()](error_code error) {
      if (error || self->closed_ || self->phase_ == Phase::kIdle) return;
      // Guards against a timer that fired just before it was set anew.
      if (self->timer_.expiry() > std::chrono::steady_clock::now()) return;
      if (self->buffering_until_ && runtime::Now() < self->gives_up_) return self->BufferedForLong();
      self->End(Cause::kTimeout);
    });
  }

  void Write() {
    const HttpRequest& request = message_->request;
    sending_.emplace(request.method(), request.target(), 11);
    sending_->base() = request.base();
    sending_->version(11);
    // The peer learns how long it will be waited for from now on, which is what is left after connecting.
    const runtime::Duration patience = arriving_ ? timeout_ : runtime::Duration(gives_up_ - runtime::Now());
    const auto left = std::chrono::duration_cast<milliseconds>(patience).count();
    sending_->set("X-Timeout-Ms", std::to_string(std::max<std::int64_t>(left, 1)));
    if (message_->coming) return WriteAsItComes();
    sending_->body() = {request.body().data(), request.body().size()};
    sending_->prepare_payload();
    serializer_.emplace(*sending_);
    write_pending_ = true;
    beast_http::async_write(write_stream_, *serializer_,
                            [self = shared_from_this()](error_code error, std::size_t) {
                              self->write_pending_ = false;
                              if (self->serializer_->is_done()) self->Written();
                              if (self->ending_) return self->Finish(*self->ending_);
                              if (self->closed_) return;
                              if (error) return self->End(Cause::kBroken);
                              self->phase_ = Phase::kWaiting;
                            });
  }

  void Written() {
    written_ = true;
    hooks_.on_written();
  }

  void WriteAsItComes() {
    const ComingBody& coming = message_->coming;
    if (coming.length) sending_->content_length(*coming.length);
    if (!coming.length) sending_->chunked(true);
    coming.stream->on_bytes = [weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->Pump();
    };
    writer_.emplace(ToText(sending_->base()), coming.stream,
                    coming.length ? BodyWriter::Framing::kLength : BodyWriter::Framing::kChunked);
    Pump();
  }

  // Writes what there is of the request's body. Called again when there is room, or more.
  void Pump() {
    if (closed_ || !writer_ || pumping_ || waits_to_write_) return;
    pumping_ = true;
    const auto progress = writer_->Write(socket_);
    pumping_ = false;
    if (closed_) return;
    switch (progress) {
      case BodyWriter::Progress::kNoBytes:
        if (arriving_) DisarmTimer();
        return;
      case BodyWriter::Progress::kSocketFull:
        if (arriving_) ArmTimer(runtime::Now() + kWriteIdleTimeout);
        waits_to_write_ = true;
        return socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](error_code error) {
          self->waits_to_write_ = false;
          if (self->closed_) return;
          if (error) return self->End(Cause::kBroken);
          self->Pump();
        });
      case BodyWriter::Progress::kDone:
        writer_.reset();
        phase_ = Phase::kWaiting;
        if (std::exchange(arriving_, false)) {
          sent_ = runtime::Now();
          gives_up_ = sent_ + timeout_;
          ArmTimer(gives_up_);
        }
        return Written();
      case BodyWriter::Progress::kCut:
      case BodyWriter::Progress::kFailed:
        return End(Cause::kBroken);
    }
  }

  void Read() {
    parser_.emplace();
    parser_->body_limit(kMaxBodySize);
    parser_->get().body().capacity = kBufferLimit;
    parser_->header_limit(kMaxHeaderSize);
    // The header on its own first: Beast 1.74 forgets that the body is beyond the bound where the first of
    // the body comes along with the header, and would take all of it.
    beast_http::async_read_header(socket_, buffer_, *parser_,
                                  [self = shared_from_this()](error_code error, std::size_t) {
                                    if (!self->closed_) self->OnHeader(error);
                                  });
  }

  void OnHeader(error_code error) {
    if (error) return End(Cause::kBroken);
    const unsigned status = parser_->get().result_int();
    if (status / 100 == 1) {
      const bool odd = status == static_cast<unsigned>(beast_http::status::switching_protocols);
      if (odd || ++interim_ > kMostInterim) return End(Cause::kBroken);
      return Read();
    }
    // Nor does an upstream have an answer before it has the whole request.
    if (status == 200 && (!written_ || !TellsItsEnd(*parser_))) return End(Cause::kBroken);
    const auto length = parser_->content_length();
    if (status == 200 && length && *length > kBufferLimit) return StartStreaming();
    if (status != 200 || length) return ReadBody();
    buffering_until_ = runtime::Now() + kBufferingTimeout;
    ArmTimer(std::min(*buffering_until_, gives_up_));
    ReadMore();
  }

  // It is long by now, or may still end in its time, whole or as one that is tried again.
  void BufferedForLong() {
    if (parser_->get().body().bytes.size() >= kMinStreamedSize) return StartStreaming();
    ArmTimer(gives_up_);
  }

  void Buffered(bool beyond_bound) {
    const std::size_t size = parser_->get().body().bytes.size();
    if (beyond_bound || (size >= kMinStreamedSize && runtime::Now() >= *buffering_until_))
      return StartStreaming();
    ReadMore();
  }

  // A long answer is passed on as it comes: from here on it has no deadline but may not stop for long.
  void StartStreaming() {
    if (!hooks_.on_started) return End(Cause::kBroken);
    buffering_until_.reset();
    HttpResponse head;
    head.base() = parser_->get().base();
    ComingBody coming{std::make_shared<runtime::Stream>(owner_.budget_, 0), std::nullopt};
    if (const auto length = parser_->content_length()) coming.length = *length;
    answer_ = coming.stream;
    answer_->Append(parser_->get().body().bytes);
    parser_->get().body().bytes.clear();
    answer_->on_capacity = [weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->ReadMore();
    };
    DisarmTimer();
    started_ = true;
    hooks_.on_started(std::make_unique<HttpReply>(std::move(head), std::move(coming)));
    if (reading_more_ && !closed_) return ArmTimer(runtime::Now() + kAnswerIdleTimeout);
    ReadMore();
  }

  void ReadMore() {
    if (closed_ || reading_more_ || (!answer_ && !buffering_until_)) return;
    if (answer_) {
      const std::size_t capacity = answer_->Capacity();
      // The client takes its time.
      if (capacity == 0) return DisarmTimer();
      parser_->get().body().capacity = capacity;
      ArmTimer(runtime::Now() + kAnswerIdleTimeout);
    }
    reading_more_ = true;
    beast_http::async_read_some(socket_, buffer_, *parser_,
                                [self = shared_from_this()](error_code error, std::size_t) {
                                  if (!self->closed_) self->OnMore(error);
                                });
  }

  void OnMore(error_code error) {
    if (error && error != beast_http::error::need_buffer) return End(Cause::kBroken);
    if (!answer_) {
      reading_more_ = false;
      return parser_->is_done() ? Served() : Buffered(error == beast_http::error::need_buffer);
    }
    const auto stream = answer_;  // whoever takes may end all of this
    stream->Append(parser_->get().body().bytes);
    if (closed_) return;
    parser_->get().body().bytes.clear();
    reading_more_ = false;
    if (parser_->is_done()) return Served();
    ReadMore();
  }

  void ReadBody() {
    beast_http::async_read(socket_, buffer_, *parser_,
                           [self = shared_from_this()](error_code error, std::size_t) {
                             if (!self->closed_) self->OnRead(error);
                           });
  }

  void OnRead(error_code error) {
    // Of an answer that is no service the first of its body does.
    if (error && error != beast_http::error::need_buffer) return End(Cause::kBroken);
    Served();
  }

  void Served() {
    const bool whole = parser_->is_done();
    const bool keep_alive = parser_->get().keep_alive() && !parser_->need_eof();
    auto answer = parser_->release();
    HttpResponse response;
    response.base() = std::move(answer.base());
    response.body() = std::move(answer.body().bytes);
    dispatch::ExchangeResult result{Classify(response), runtime::Now() - sent_,
                                    ParseLoad(response["X-Server-Load"]), nullptr};
    // An answer before the request was written out leaves the connection between messages.
    const bool keep = keep_alive && whole && written_ && buffer_.size() == 0;
    if (result.outcome == Outcome::kServed && !started_) {
      result.reply = std::make_unique<HttpReply>(std::move(response));
    }
    timer_.cancel();
    LeaveBody();
    const auto stream = std::exchange(answer_, nullptr);
    phase_ = Phase::kIdle;
    const auto on_end = std::exchange(hooks_.on_end, nullptr);
    const auto self = shared_from_this();
    owner_.exchanges_.erase(id_);
    if (keep) {
      idle_since_ = runtime::Now();
      Clear();
      Watch();
      owner_.Release(self);
    } else {
      Close();
    }
    on_end(std::move(result));
    if (stream)
      stream->End(
          runtime::Stream::State::kWhole);  // last: whoever ends it is not asked about the request again
  }

  // It came up for nothing, and waits for the next request.
  void Unused() {
    timer_.cancel();
    LeaveBody();
    phase_ = Phase::kIdle;
    const auto on_end = std::exchange(hooks_.on_end, nullptr);
    const auto self = shared_from_this();
    owner_.exchanges_.erase(id_);
    idle_since_ = runtime::Now();
    Clear();
    Watch();
    owner_.Release(self);
    on_end({Outcome::kNotSent, idle_since_ - sent_, {}, nullptr});
  }

  // Another attempt may take the request's body from here on.
  void LeaveBody() {
    if (!pumping_) writer_.reset();  // else it is what called, and this connection is closed
    if (message_ && message_->coming) message_->coming.stream->StopConsuming();
  }

  // An idle connection keeps nothing of its last exchange.
  void Clear() {
    serializer_.reset();
    sending_.reset();
    message_.reset();
    parser_.reset();
    buffer_.clear();
    buffer_.shrink_to_fit();
  }

  void Watch() {
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this(), use = use_](error_code error) {
      if (error || self->closed_ || self->use_ != use) return;
      self->owner_.Forget(*self);
      self->Close();
    });
  }

  void Finish(Cause cause) {
    LeaveBody();
    const auto stream = std::exchange(answer_, nullptr);
    const bool written = written_;
    Outcome outcome = Outcome::kNotSent;
    if (cause == Cause::kBroken) outcome = written ? Outcome::kReset : Outcome::kConnectFailed;
    if (cause == Cause::kTimeout) outcome = written ? Outcome::kTimeout : Outcome::kConnectFailed;
    if (cause == Cause::kCancelled) outcome = Outcome::kCancelled;
    phase_ = Phase::kIdle;
    const auto on_end = std::exchange(hooks_.on_end, nullptr);
    const auto self = shared_from_this();
    owner_.exchanges_.erase(id_);
    on_end({outcome, runtime::Now() - sent_, {}, nullptr});
    if (stream) stream->End(runtime::Stream::State::kBroken);
  }

  HttpTransport& owner_;
  std::weak_ptr<Pool> pool_;
  std::optional<runtime::Descriptors::Slot> slot_;
  tcp::socket socket_;
  runtime::WriteStream<tcp::socket> write_stream_;
  boost::asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  std::optional<beast_http::response_parser<IncrementalBody>> parser_;
  std::optional<beast_http::request<beast_http::span_body<const char>>> sending_;
  std::optional<beast_http::request_serializer<beast_http::span_body<const char>>> serializer_;
  Phase phase_ = Phase::kIdle;
  bool connected_ = false;
  bool closed_ = false;
  bool write_pending_ = false;
  std::optional<Cause> ending_;
  std::uint64_t use_ = 0;  // counts the exchanges: a watch that one outran is void
  int interim_ = 0;
  dispatch::ExchangeId id_{};
  std::shared_ptr<const HttpMessage> message_;
  std::optional<BodyWriter> writer_;         // of the message's body, as it comes
  std::shared_ptr<runtime::Stream> answer_;  // that is passed on as it comes
  bool arriving_ = false;   // the message's body still came when it was begun, and is not written
  bool written_ = false;    // its last byte
  bool abandoned_ = false;  // its request is over: it is not written any more
  bool started_ = false;    // the answer is passed on as it comes
  std::optional<runtime::TimePoint>
      buffering_until_;  // of an answer that does not tell its length and has not started
  bool pumping_ = false;
  bool waits_to_write_ = false;
  bool reading_more_ = false;
  runtime::Duration timeout_{};
  dispatch::ExchangeHooks hooks_;
  runtime::TimePoint sent_;
  runtime::TimePoint gives_up_;
  runtime::TimePoint idle_since_;
};

HttpTransport::HttpTransport(boost::asio::io_context& io, const balancer::Limits& limits, bool load_by_probe,
                             runtime::Descriptors& descriptors, runtime::ByteBudget& budget)
    : io_(io),
      connect_timeout_(limits.connect_timeout),
      trusted_idle_(TrustedIdle(limits.idle_close)),
      probe_target_(load_by_probe ? "/metrics/load" : "/alive"),
      descriptors_(descriptors),
      budget_(budget),
      sweep_(io) {
  ScheduleSweep();
}

HttpTransport::~HttpTransport() {
  for (const auto& [id, connection] : exchanges_) connection->Close();
  for (const auto& [uid, pool] : pools_) {
    for (const auto& connection : pool->idle) connection->Close();
  }
}

void HttpTransport::Apply(const std::string& uid, const dispatch::Location& location) {
  auto& pool = pools_[uid];
  if (!pool) pool = std::make_shared<Pool>();
  const dispatch::Location before = std::exchange(pool->location, location);
  const bool moved = before.endpoint != location.endpoint || before.boot_ms != location.boot_ms;
  if (location.state == UpstreamState::kServing && !moved) return;
  // Guards a drain against what was asked for before it was told: nothing queued or connecting goes there.
  const auto old = pool;
  if (moved) {
    // What is still out there belongs to the former process or place and is not pooled again.
    pool = std::make_shared<Pool>();
    pool->location = location;
    old->location.state = UpstreamState::kGone;
  }
  if (location.state == UpstreamState::kGone) pools_.erase(uid);
  for (const auto& connection : std::exchange(old->idle, {})) connection->Close();
  AbortUnsent(old);
}

void HttpTransport::AbortUnsent(const std::shared_ptr<Pool>& pool) {
  std::vector<std::shared_ptr<Connection>> unsent;
  for (const auto& [id, connection] : exchanges_) {
    if (connection->unsent() && connection->pool() == pool) unsent.push_back(connection);
  }
  for (const auto& connection : unsent) connection->End(Connection::Cause::kNotSent);
}

void HttpTransport::Send(dispatch::ExchangeId id, const std::string& uid,
                         std::shared_ptr<const dispatch::Message> message, runtime::Duration timeout,
                         dispatch::ExchangeHooks hooks) {
  const auto it = pools_.find(uid);
  std::shared_ptr<Connection> connection;
  if (it != pools_.end() && it->second->location.state == UpstreamState::kServing) {
    connection = TakeIdle(*it->second);
    if (!connection) connection = Open(it->second);
  }
  const auto http_message = std::static_pointer_cast<const HttpMessage>(message);
  // Of a body that is not held from its first byte on any more nothing can be sent again.
  if (connection && http_message->coming && !http_message->coming.stream->BeginConsuming()) {
    Release(std::exchange(connection, nullptr));
  }
  if (!connection) return hooks.on_end({Outcome::kNotSent, runtime::Duration::zero(), {}, nullptr});
  exchanges_.emplace(id, connection);
  connection->Start(id, http_message, timeout, std::move(hooks));
}

void HttpTransport::Probe(dispatch::ExchangeId id, const std::string& uid, OnEnd on_end) {
  ++counts_.probes;
  HttpRequest request(beast_http::verb::get, probe_target_, 11);
  request.set(beast_http::field::host, uid);
  Send(id, uid, std::make_shared<HttpMessage>(std::move(request)), connect_timeout_,
       {[] {}, nullptr,
        [by_body = probe_target_ != "/alive", on_end = std::move(on_end)](dispatch::ExchangeResult result) {
          if (by_body && result.outcome == Outcome::kServed) {
            result.load = ParseLoad(static_cast<const HttpReply&>(*result.reply).response.body());
          }
          on_end(std::move(result));
        }});
}

void HttpTransport::Cancel(dispatch::ExchangeId id) {
  const auto it = exchanges_.find(id);
  if (it == exchanges_.end()) return;
  const auto connection = it->second;
  connection->End(Connection::Cause::kCancelled);
}

void HttpTransport::Abandon(dispatch::ExchangeId id) {
  const auto it = exchanges_.find(id);
  if (it == exchanges_.end()) return;
  const auto connection = it->second;
  connection->Abandon();
}

void HttpTransport::CloseIdle(const std::string& uid) {
  const auto it = pools_.find(uid);
  if (it == pools_.end()) return;
  for (const auto& connection : std::exchange(it->second->idle, {})) connection->Close();
}

bool HttpTransport::EvictIdle() {
  Pool* longest = nullptr;
  for (const auto& [uid, pool] : pools_) {
    if (pool->idle.empty()) continue;
    if (longest == nullptr || pool->idle.front()->idle_since() < longest->idle.front()->idle_since()) {
      longest = pool.get();
    }
  }
  if (longest == nullptr) return false;
  ++counts_.evicted;
  longest->idle.front()->Close();
  longest->idle.erase(longest->idle.begin());
  return true;
}

std::shared_ptr<HttpTransport::Connection> HttpTransport::TakeIdle(Pool& pool) {
  while (!pool.idle.empty()) {
    auto connection = std::move(pool.idle.back());
    pool.idle.pop_back();
    if (connection->LooksAlive() && runtime::Now() - connection->idle_since() < trusted_idle_)
      return connection;
    connection->Close();
  }
  return nullptr;
}

// Idle connections make room; where there is none, the attempt is not sent. That is no failure of the
// upstream and proves that nothing ran.
std::shared_ptr<HttpTransport::Connection> HttpTransport::Open(const std::shared_ptr<Pool>& pool) {
  while (!descriptors_.Room(runtime::Descriptors::Side::kUpstream)) {
    if (!EvictIdle()) return nullptr;
  }
  do {
    auto connection = std::make_shared<Connection>(*this, pool);
    if (!connection->OpenSocket()) return connection;
    connection->Close();
  } while (EvictIdle());
  return nullptr;
}

void HttpTransport::Release(const std::shared_ptr<Connection>& connection) {
  const auto pool = connection->pool();
  if (!pool || pool->location.state != UpstreamState::kServing) return connection->Close();
  pool->idle.push_back(connection);
}

void HttpTransport::Forget(const Connection& connection) {
  if (const auto pool = connection.pool()) {
    std::erase_if(pool->idle, [&](const auto& other) { return other.get() == &connection; });
  }
}

void HttpTransport::ScheduleSweep() {
  sweep_.expires_after(kSweep);
  sweep_.async_wait([this](error_code error) {
    if (error) return;
    Sweep();
    ScheduleSweep();
  });
}

// Retires what has been idle nearly as long as the upstream allows: a request written to a connection that is
// being closed over there ends as a reset, and an unsafe one could not be sent again.
void HttpTransport::Sweep() {
  const runtime::TimePoint now = runtime::Now();
  for (const auto& [uid, pool] : pools_) {
    std::erase_if(pool->idle, [&](const auto& connection) {
      if (now - connection->idle_since() < trusted_idle_) return false;
      connection->Close();
      return true;
    });
  }
}

}  // namespace mothrack::http
