#include "http/listener.h"

#include <poll.h>

#include <boost/asio/socket_base.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "http/body_writer.h"
#include "runtime/system_calls.h"
#include "runtime/write_stream.h"

namespace mothrack::http {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr runtime::Duration kSweep = milliseconds(250);
// With shorter deadlines it sweeps this often within the shortest, for the sake of clients in the system's
// queue.
constexpr int kSweepsInDeadline = 3;
// While requests pass, that queue is looked at this often: a system call in 20 ms is nothing beside them.
constexpr runtime::Duration kLook = milliseconds(20);
constexpr auto kDrainSweep = milliseconds(10);
// A client that has left is found this soon where nothing is read from it: an attempt that begins 0.1 s after
// it left is one too many.
constexpr runtime::Duration kDisconnectCheck = milliseconds(25);
// A connection has so long, from its start, for its first whole request; a later request from its first byte
// on; an answer to be taken. Not renewed by what trickles: the deployment wants silent and stalled clients
// gone within 3 s of connecting.
constexpr runtime::Duration kRequestTimeout = milliseconds(2500);
// Usual clients connect when they have a request: one that has said nothing by now, or not finished its
// request by then, goes before those.
constexpr runtime::Duration kSilent = seconds(1);
constexpr runtime::Duration kSlow = seconds(1);
// After a half-close the client's is waited for: a reset could overtake the answer. Short, as a planned stop
// waits for it too.
constexpr runtime::Duration kLinger = milliseconds(250);
// Whoever sends on for long after the last answer gets the reset: reading megabytes to the end is no service.
// Nor is more than this read behind a request that is being served.
constexpr std::size_t kMostLinger = 256 * 1024;
constexpr std::size_t kReadSize = 8192;
// A body may come as slowly as this, bytes a second, and an answer be taken with pauses as long: usual
// clients on bad lines. The system may hold much of an answer, which the client takes before any of ours
// moves on.
constexpr std::int64_t kLeastRate = 16 * 1024;
constexpr runtime::Duration kWriteIdleTimeout = seconds(30);
// Clients go on opening connections for a moment after a planned stop began.
constexpr runtime::Duration kAcceptWhileDraining = milliseconds(800);
// SIGKILL may follow SIGTERM after the longest deadline, which counts as kMostDeadline at most, and this.
constexpr runtime::Duration kMostDeadline = seconds(3);
constexpr runtime::Duration kKillAfter = milliseconds(700);
// By so much earlier all is over.
constexpr runtime::Duration kKillMargin = milliseconds(50);
// A connection opened in that time is about to carry a request.
constexpr runtime::Duration kFreshConnection = milliseconds(300);

// Until when a planned stop is to be over.
runtime::Duration StopWithin(runtime::Duration longest_deadline) {
  return std::min(longest_deadline, kMostDeadline) + kKillAfter - kKillMargin;
}

HttpResponse Plain(beast_http::status status, const std::string& text) {
  HttpResponse response(status, 11);
  response.set(beast_http::field::content_type, "text/plain");
  response.body() = text + "\n";
  return response;
}

}  // namespace

// One client connection. A read is always pending while there is room, also while a request is being served:
// that is how a client that leaves is noticed. Where there is none, a look every kDisconnectCheck tells.
//
// kLingering: after a last answer, half-closed; what comes is read and dropped, since a close over unread
// bytes resets the connection and may take the answer's end along. kHalfClosed: ended between requests;
// nothing is read any more, so that a request which crossed the half-close is one that was not read, and its
// client sends it on another connection.
class Listener::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Listener& owner, tcp::socket socket)
      : owner_(&owner),
        slot_(std::in_place, owner.descriptors_, runtime::Descriptors::Side::kClient),
        socket_(std::move(socket)),
        write_stream_(socket_) {
    buffer_.max_size(kMaxReadAhead);
    NewParser();
  }

  void Start() { Read(); }

  void Close() {
    if (closed_) return;
    closed_ = true;
    error_code ignored;
    socket_.close(ignored);
    slot_.reset();
    const auto self = shared_from_this();
    if (owner_ != nullptr) owner_->connections_.Remove(self);
    // First: what is told then ends the attempts, and nobody waits for the rest of a body any more.
    if (const auto gone = std::exchange(taken_, {}).gone) gone();
    if (const auto upload = std::exchange(upload_, nullptr)) upload->End(runtime::Stream::State::kBroken);
    if (writer_) writer_->stream().Abandon();
  }

  // The listener is going: handlers that are still to come must not touch it.
  void Orphan() {
    owner_ = nullptr;
    taken_ = {};
    Close();
  }

  runtime::TimePoint since() const { return since_; }

  bool Idle() const { return state_ == State::kReading && !started_; }

  // More of a request has come, into the system's buffer, than was read. Closing would lose it.
  bool HasUnreadBytes() {
    if (state_ != State::kReading) return false;
    error_code error;
    return socket_.available(error) > 0 && !error;
  }

  // Ends an idle connection of which nobody needs the descriptor at once. What arrives between the last look
  // and this finds no reset: its client sees the end of the connection, closes its own, and only then does
  // this one.
  void HalfClose() {
    state_ = State::kHalfClosed;
    since_ = runtime::Now();
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
  }

  // Closes without awaiting the client's close any longer.
  void CloseNow() {
    if (state_ == State::kLingering) DropUnread();
    Close();
  }

  // Nothing is read, so that nothing else tells when the client leaves.
  bool ReadsNothing() const {
    if (closed_ || state_ == State::kReading) return false;
    return state_ == State::kHalfClosed || !reading_;
  }

  // The client has closed its end, or all of the connection; also where bytes wait ahead of that.
  bool ClientDisconnected() {
    const auto events = runtime::PollNow(socket_.native_handle(), POLLRDHUP);
    return (events.value_or(0) & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  }

  // All is answered, and only its client's close is waited for.
  bool AwaitsItsClient() const { return state_ == State::kLingering || state_ == State::kHalfClosed; }

  // Which goes first when descriptors run out, the lowest number first; nothing where it must stay. Usual
  // clients' connections outlast those of clients that say nothing.
  std::optional<int> EvictionRank(runtime::TimePoint now) const {
    const runtime::Duration age = now - since_;
    if (state_ == State::kLingering || state_ == State::kHalfClosed) return 0;
    if (state_ != State::kReading) return std::nullopt;
    // A kept connection is closed at no cost: its client asks on another. One that has not asked yet is about
    // to.
    if (started_) return age > kSlow ? 3 : 5;
    if (unused_) return age > kSilent ? 1 : 4;
    return 2;
  }

  // Ends what has had its time.
  void CloseIfOverdue(runtime::TimePoint now) {
    if (closed_ || (state_ == State::kServing && !upload_) || now - since_ <= Patience(now)) return;
    if (state_ != State::kReading) return CloseNow();
    if (!started_ && !unused_) return;
    // It may be the sidecar that had no time: what has come is read first.
    if (HasUnreadBytes() && !std::exchange(excused_, true)) return;
    if (started_) return Reject(beast_http::status::request_timeout, "request did not come in time");
    Close();
  }

  bool Fresh(runtime::TimePoint now) const { return unused_ && now - since_ < kFreshConnection; }

 private:
  enum class State { kReading, kServing, kWriting, kLingering, kHalfClosed };

  // Counted from since_ on.
  runtime::Duration Patience(runtime::TimePoint now) const {
    if (state_ == State::kLingering && cut_upload_) return kRequestTimeout;
    if (state_ == State::kLingering || state_ == State::kHalfClosed) return kLinger;
    if (state_ == State::kWriting) return writer_ ? kWriteIdleTimeout : kRequestTimeout;
    const runtime::Duration blocked =
        blocked_ + (blocked_since_ ? now - *blocked_since_ : runtime::Duration::zero());
    const auto came = static_cast<std::int64_t>(came_);
    return kRequestTimeout + blocked + runtime::Duration(came * runtime::Duration::period::den / kLeastRate);
  }

  void NewParser() {
    parser_.emplace();
    parser_->body_limit(kMaxBodySize);
    parser_->header_limit(kMaxHeaderSize);
    parser_->get().body().capacity = kBufferLimit;
    came_ = 0;
    blocked_ = runtime::Duration::zero();
    blocked_since_.reset();
    started_ = false;
    head_checked_ = false;
    excused_ = false;
    scanned_ = 0;
    since_ = runtime::Now();
    if (owner_ != nullptr) owner_->Heard(since_);
    if (buffer_.size() == 0) buffer_.shrink_to_fit();  // most connections are idle most of the time
  }

  // Waits without a buffer: hundreds of connections may be idle.
  void Read() {
    if (reading_ || closed_) return;
    // Its upstream takes the body more slowly than it comes.
    const bool blocked = upload_ && upload_->Capacity() == 0;
    if (blocked && !blocked_since_) blocked_since_ = runtime::Now();
    if (blocked || buffer_.size() == buffer_.max_size() || (flooded_ && dropped_ > kMostLinger)) {
      if (owner_ != nullptr) owner_->CheckForDisconnects();
      return;
    }
    if (blocked_since_) blocked_ += runtime::Now() - *std::exchange(blocked_since_, std::nullopt);
    reading_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
      self->reading_ = false;
      if (self->closed_ || self->owner_ == nullptr) return;
      if (error) return self->Close();
      if (self->state_ == State::kHalfClosed) return self->AwaitClose();
      self->Receive();
    });
  }

  // Of a half-closed connection something is to be read. If it is the end, all is done; else the sweep looks
  // for that behind what waits.
  void AwaitClose() {
    error_code error;
    runtime::PeekByte(socket_, error);
    if (runtime::WouldBlock(error)) return Read();
    if (error) Close();
  }

  // What waits unread would make a close a reset.
  void DropUnread() {
    char bytes[kReadSize];
    error_code error;
    while (!error && dropped_ <= kMostLinger) {
      dropped_ += runtime::ReadSome(socket_, boost::asio::buffer(bytes), error);
    }
  }

  void Receive() {
    const std::size_t capacity =
        std::min(buffer_.max_size() - buffer_.size(), upload_ ? kMaxReadAhead : kReadSize);
    error_code error;
    const std::size_t size = runtime::ReadSome(socket_, buffer_.prepare(capacity), error);
    if (runtime::WouldBlock(error)) return Read();
    if (error) return Close();
    buffer_.commit(size);
    Progress();
  }

  void Progress() {
    if (parsing_ || closed_) return;
    if (state_ == State::kLingering || flooded_) {
      if (cut_upload_ && buffer_.size() > 0) since_ = runtime::Now();
      Drop(buffer_.size());
      if (state_ == State::kLingering && dropped_ > (cut_upload_ ? kMaxBodySize : kMostLinger))
        return Close();
    }
    parsing_ = true;
    Parse();
    parsing_ = false;
    // Nobody sends so much ahead who waits for answers. Reading on tells whether it has left already.
    if (state_ != State::kReading && !upload_ && buffer_.size() == kMaxReadAhead) {
      flooded_ = close_after_ = true;
      Drop(buffer_.size());
    }
    Read();
  }

  // Nothing of these is read as a request.
  void Drop(std::size_t size) {
    dropped_ += size;
    buffer_.consume(size);
  }

  void Parse() {
    while ((state_ == State::kReading || upload_) && buffer_.size() > 0 && !closed_) {
      if (upload_) {
        const std::size_t capacity = upload_->Capacity();
        if (capacity == 0) return;
        parser_->get().body().capacity = capacity;
      }
      if (!std::exchange(started_, true) && !std::exchange(unused_, false)) since_ = runtime::Now();
      if (!parser_->is_header_done()) {
        const HeadStatus head = InspectHead(Unparsed(), scanned_);
        if (head == HeadStatus::kPartial) return;
        if (head == HeadStatus::kInvalid) return Reject(beast_http::status::bad_request, "bad request head");
      }
      // Not in one go with the header: Beast 1.74 then forgets that the body is beyond the bound.
      parser_->eager(parser_->is_header_done());
      error_code error;
      const std::size_t used = parser_->put(buffer_.data(), error);
      buffer_.consume(used);
      const bool long_body = error == beast_http::error::need_buffer;
      if (error == beast_http::error::need_more || long_body) error = {};
      came_ += parser_->is_header_done() ? used : 0;
      if (upload_ && error) return Close();
      if (upload_ && !PassOn()) return;
      if (error == beast_http::error::body_limit)
        return Reject(beast_http::status::payload_too_large, "body too large");
      if (error) return Reject(beast_http::status::bad_request, error.message());
      if (parser_->is_header_done() && !std::exchange(head_checked_, true)) {
        if (const char* fault = FindFramingError(parser_->get()))
          return Reject(beast_http::status::bad_request, fault);
        Continue();
        if (closed_) return;
      }
      if (parser_->is_done()) {
        if (!upload_) return Serve(Whole(), {});
        Uploaded();
        continue;
      }
      if (long_body && !upload_) {
        Upload();
        continue;
      }
      if (used == 0) return;
    }
  }

  boost::beast::string_view Unparsed() const {
    return {static_cast<const char*>(buffer_.data().data()), buffer_.data().size()};
  }

  HttpRequest Whole() {
    auto whole = parser_->release();
    HttpRequest request;
    request.base() = std::move(whole.base());
    request.body() = std::move(whole.body().bytes);
    return request;
  }

  // A body longer than is kept whole: the request goes its way, and the body follows as it comes.
  void Upload() {
    HttpRequest request;
    request.base() = parser_->get().base();
    upload_ = std::make_shared<runtime::Stream>(owner_->budget_, kMaxReplaySize);
    upload_->on_capacity = [weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->Progress();
    };
    ComingBody coming{upload_, std::nullopt};
    if (const auto length = parser_->content_length()) coming.length = *length;
    const auto upload = upload_;
    Serve(std::move(request), std::move(coming));
    if (upload_) PassOn();
  }

  // What has been read of the body goes on; false where that ended the upload.
  bool PassOn() {
    std::string& bytes = parser_->get().body().bytes;
    const auto upload = upload_;
    upload->Append(bytes);
    bytes.clear();
    return upload_ == upload;
  }

  void Uploaded() {
    const auto upload = std::exchange(upload_, nullptr);
    std::size_t scanned = 0;
    if (buffer_.size() > 0 && InspectHead(Unparsed(), scanned) == HeadStatus::kInvalid) close_after_ = true;
    if (const auto whole = std::exchange(taken_.whole, nullptr)) whole();
    upload->End(runtime::Stream::State::kWhole);
  }

  // Whoever sent this can't be followed any further: nothing behind it on this connection is read as a
  // request.
  void Reject(beast_http::status status, const std::string& why) {
    close_after_ = true;
    Answer(Plain(status, why));
  }

  // A client that asked whether to go on waits for this before it sends the body.
  void Continue() {
    if (!boost::beast::iequals(parser_->get()[beast_http::field::expect], "100-continue")) return;
    static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    std::string_view rest = kContinue;
    error_code error;
    while (!rest.empty() && !error)
      rest.remove_prefix(runtime::WriteSome(socket_, boost::asio::buffer(rest), error));
    // None of it is no harm: the client goes on after a pause of its own (RFC 9110 section 10.1.1). A part of
    // it would be taken for the beginning of the answer.
    if (!rest.empty() && rest.size() < kContinue.size()) Close();
  }

  void Serve(HttpRequest request, ComingBody coming) {
    // Trailers have joined the head. And what follows a body must begin like a request, or its length was
    // wrong.
    if (const char* fault = FindFramingError(request)) return Reject(beast_http::status::bad_request, fault);
    std::size_t scanned = 0;
    if (!coming && buffer_.size() > 0 && InspectHead(Unparsed(), scanned) == HeadStatus::kInvalid) {
      return Reject(beast_http::status::bad_request, "no request behind the body");
    }
    if (!request.keep_alive()) close_after_ = true;
    version_ = request.version();
    const auto target = request.target();
    state_ = State::kServing;
    if (target == "/up" && request.method() == beast_http::verb::get) {
      // Asked is whether the address takes clients.
      const bool draining = owner_->resting() && !owner_->succeeded_;
      return Answer(draining ? Plain(beast_http::status::service_unavailable, "draining")
                             : Plain(beast_http::status::ok, "up"));
    }
    // It may have waited here for longer than its client did.
    if (ClientDisconnected()) return Close();
    auto reply = [self = shared_from_this()](HttpResponse response, ComingBody answer) {
      if (!answer) self->taken_ = {};
      if (!self->closed_) return self->Answer(std::move(response), std::move(answer));
      if (answer) answer.stream->Abandon();
    };
    auto taken = owner_->on_request_(std::move(request), std::move(coming), std::move(reply));
    if (state_ == State::kServing) taken_ = std::move(taken);
  }

  void Answer(HttpResponse response, ComingBody coming = {}) {
    state_ = State::kWriting;
    since_ = runtime::Now();
    // Answered before its body had come: the client may not look before it has sent all of it.
    if (const auto upload = std::exchange(upload_, nullptr)) {
      upload->Abandon();
      cut_upload_ = close_after_ = true;
    }
    // The one who finds a request unfit asks for the close by the answer.
    if (!response.keep_alive() || (owner_ != nullptr && owner_->resting())) close_after_ = true;
    response_ = std::move(response);
    response_.version(version_);
    if (coming) return AnswerAsItComes(std::move(coming));
    response_.keep_alive(!close_after_);
    response_.prepare_payload();
    beast_http::async_write(write_stream_, response_,
                            [self = shared_from_this()](error_code error, std::size_t) {
                              if (self->closed_ || self->owner_ == nullptr) return;
                              if (error) return self->Close();
                              self->Answered();
                            });
  }

  void AnswerAsItComes(ComingBody coming) {
    auto framing = BodyWriter::Framing::kLength;
    if (coming.length) {
      response_.content_length(*coming.length);
    } else if (version_ == 11) {
      framing = BodyWriter::Framing::kChunked;
      response_.chunked(true);
    } else {
      framing = BodyWriter::Framing::kConnection;
      close_after_ = true;
    }
    response_.keep_alive(!close_after_);
    coming.stream->on_bytes = [weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->Pump();
    };
    writer_.emplace(ToText(response_.base()), std::move(coming.stream), framing);
    Pump();
  }

  // Writes what there is of the answer. Called again when there is room, or more.
  void Pump() {
    if (closed_ || !writer_ || pumping_ || waits_to_write_) return;
    const auto before = writer_->written();
    pumping_ = true;
    const auto progress = writer_->Write(socket_);
    pumping_ = false;
    if (closed_) return;
    // While there is nothing to take the client is not to blame.
    if (writer_->written() > before || progress == BodyWriter::Progress::kNoBytes) since_ = runtime::Now();
    switch (progress) {
      case BodyWriter::Progress::kNoBytes:
        return;
      case BodyWriter::Progress::kSocketFull:
        waits_to_write_ = true;
        return socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](error_code error) {
          self->waits_to_write_ = false;
          if (self->closed_ || self->owner_ == nullptr) return;
          if (error) return self->Close();
          self->Pump();
        });
      case BodyWriter::Progress::kDone:
        taken_ = {};
        writer_.reset();
        return Answered();
      case BodyWriter::Progress::kCut:
        if (writer_->framing() == BodyWriter::Framing::kConnection) Reset();
        [[fallthrough]];
      case BodyWriter::Progress::kFailed:
        return Close();
    }
  }

  // Only this tells a client that an answer which ends with its connection is not whole.
  void Reset() {
    error_code ignored;
    socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  }

  void Answered() {
    response_ = {};
    if (close_after_) {
      state_ = State::kLingering;
      since_ = runtime::Now();
      dropped_ = 0;
      error_code ignored;
      socket_.shutdown(tcp::socket::shutdown_send, ignored);
    } else {
      state_ = State::kReading;
      NewParser();
    }
    Progress();
  }

  Listener* owner_;
  std::optional<runtime::Descriptors::Slot> slot_;
  tcp::socket socket_;
  runtime::WriteStream<tcp::socket> write_stream_;
  boost::beast::flat_buffer buffer_;
  std::optional<beast_http::request_parser<IncrementalBody>> parser_;
  HttpResponse response_;
  Taken taken_;
  std::shared_ptr<runtime::Stream> upload_;  // of the request that was handed on while its body still comes
  std::optional<BodyWriter> writer_;         // of the answer that is passed on while it comes
  State state_ = State::kReading;
  runtime::TimePoint since_;  // of the state, or of a request's first byte
  unsigned version_ = 11;
  bool started_ = false;  // some of a request has come
  bool unused_ = true;    // nothing has ever come
  bool excused_ = false;  // it was overdue once, and more had come
  bool head_checked_ = false;
  std::size_t scanned_ = 0;  // of a head that is still to come whole
  std::size_t dropped_ = 0;  // bytes read behind a flood's request, or since the last answer
  bool close_after_ = false;
  bool cut_upload_ = false;      // it was answered before its body had come
  bool flooded_ = false;         // more came ahead of an answer than is kept: none of it is read as a request
  std::uint64_t came_ = 0;       // of the body
  runtime::Duration blocked_{};  // the time for which nothing was read since nobody took it
  std::optional<runtime::TimePoint> blocked_since_;
  bool parsing_ = false;
  bool pumping_ = false;
  bool waits_to_write_ = false;
  bool reading_ = false;
  bool closed_ = false;
};

Listener::Listener(boost::asio::io_context& io, const runtime::ListenOn& where,
                   runtime::Descriptors& descriptors, runtime::ByteBudget& budget, runtime::Logger& log,
                   const DeadlineRange& deadlines, OnRequest on_request)
    : descriptors_(descriptors),
      budget_(budget),
      log_(log),
      on_request_(std::move(on_request)),
      acceptor_(io, where, "", *this, log),
      sweep_every_(std::clamp(deadlines.shortest / kSweepsInDeadline, kLook, kSweep)),
      stop_within_(StopWithin(deadlines.longest)),
      sweep_timer_(
          io, [this] { return SweepInterval(); }, [this] { return OnSweep(); }) {
  sweep_timer_.Restart();
}

Listener::~Listener() {
  for (const auto& connection : connections_.TakeAll()) connection->Orphan();
}

void Listener::Admit(tcp::socket socket) {
  runtime::ConfigureAccepted(socket);
  const auto connection = std::make_shared<Connection>(*this, std::move(socket));
  connections_.Add(connection);
  connection->Start();
}

bool Listener::MakeRoom() {
  const runtime::TimePoint now = runtime::Now();
  // Those of which more has come than was read are no candidates; there are few. What still arrives between
  // the look and the close gets a reset, which takes nothing along: whoever sends a request has its last
  // answer whole.
  std::set<Connection*> busy;
  while (true) {
    using Rank = std::pair<int, runtime::TimePoint>;
    const auto best = connections_.Lowest([&](Connection& connection) -> std::optional<Rank> {
      const auto rank = connection.EvictionRank(now);
      if (!rank || busy.contains(&connection)) return std::nullopt;
      return Rank(*rank, connection.since());
    });
    if (!best) return false;
    if (best->HasUnreadBytes()) {
      busy.insert(best.get());
      continue;
    }
    best->CloseNow();
    return true;
  }
}

void Listener::Rest(bool on) {
  if (on == resting_) return;
  resting_ = on;
  sweep_timer_.Cancel();
  Sweep();
  sweep_timer_.Restart();
}

void Listener::Drain(std::function<void()> done) {
  if (drained_) return;
  drained_ = std::move(done);
  drain_started_ = runtime::Now();
  succeeded_ = acceptor_.paused();
  if (succeeded_) acceptor_.Release();
  sweep_timer_.Cancel();
  Sweep();
  sweep_timer_.Restart();
}

runtime::Duration Listener::SweepInterval() const {
  runtime::Duration interval = sweep_every_;
  if (unread_) interval = std::min(interval, kDisconnectCheck);
  if (resting()) interval = std::min<runtime::Duration>(interval, kDrainSweep);
  return interval;
}

bool Listener::OnSweep() {
  if (ended_) return false;
  Sweep();
  if (!drained_ || acceptor_.is_open() || !connections_.empty()) return true;
  ended_ = true;  // a sweep that was due when another was asked for comes, too
  drained_();
  return false;
}

void Listener::CheckForDisconnects() {
  if (!std::exchange(unread_, true)) sweep_timer_.Restart();
}

void Listener::Heard(runtime::TimePoint now) {
  if (now - looked_ < kLook) return;
  looked_ = now;
  acceptor_.Look();
}

void Listener::Sweep() {
  const runtime::TimePoint now = runtime::Now();
  Heard(now);
  const auto all = connections_.Snapshot();
  unread_ = false;
  const runtime::Duration drained = drained_ ? now - drain_started_ : runtime::Duration::zero();
  // From here on there is no time left to wait for what a fresh connection would bring.
  const bool last_call = drained >= stop_within_ - kLinger;
  for (const auto& connection : all) {
    if (drained >= stop_within_ && connection->AwaitsItsClient()) {
      connection->CloseNow();
      continue;
    }
    const bool rests = resting() && connection->Idle() && (last_call || !connection->Fresh(now));
    if (rests && !connection->HasUnreadBytes()) connection->HalfClose();
    connection->CloseIfOverdue(now);
    if (!connection->ReadsNothing()) continue;
    if (connection->ClientDisconnected()) {
      connection->Close();
    } else {
      CheckForDisconnects();
    }
  }
  // Without room for those that wait they are asked in until the others have had their time.
  if (drained <= std::min(kAcceptWhileDraining, stop_within_ - kLinger) || !acceptor_.is_open()) return;
  if (acceptor_.Close()) return;
  if (drained > kAcceptWhileDraining + kRequestTimeout) acceptor_.Release();
}

}  // namespace mothrack::http
