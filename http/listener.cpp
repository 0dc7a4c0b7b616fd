#include "http/listener.h"

#include <boost/asio/socket_base.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace mothrack {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kSweep = milliseconds(250);
constexpr auto kDrainSweep = milliseconds(10);
// A connection has so long, from its start, for its first whole request; a later request from its first byte
// on; an answer to be taken. Not renewed by what trickles: the deployment wants silent and stalled clients
// gone within 3 s of connecting.
constexpr Duration kStalled = milliseconds(2500);
// Usual clients connect when they have a request: one that has said nothing by now, or not finished its
// request by then, goes before those.
constexpr Duration kSilent = seconds(1);
constexpr Duration kSlow = seconds(1);
// After a last answer the client's close is waited for: a reset could overtake the answer. Short, as a
// planned stop waits for it too.
constexpr Duration kLinger = milliseconds(250);
// Whoever sends on for long after the last answer gets the reset: reading megabytes to the end is no service.
constexpr std::size_t kMostLinger = 256 * 1024;
constexpr std::size_t kReadSize = 8192;
// Clients go on opening connections for a moment after a planned stop began.
constexpr Duration kAcceptWhileDraining = milliseconds(800);
// A connection opened in that time is about to carry a request.
constexpr Duration kFreshConnection = milliseconds(300);

HttpResponse Plain(http::status status, const std::string& text) {
  HttpResponse response(status, 11);
  response.set(http::field::content_type, "text/plain");
  response.body() = text + "\n";
  return response;
}

}  // namespace

// One client connection. A read is always pending while there is room, also while a request is being served:
// that is how a client that leaves is noticed.
class Listener::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Listener& owner, tcp::socket socket)
      : owner_(&owner),
        slot_(std::in_place, owner.descriptors_, Descriptors::Side::kClient),
        socket_(std::move(socket)) {
    buffer_.max_size(kMostRead);
    NewParser();
  }

  void Start() { Read(); }

  void Close() {
    if (closed_) return;
    closed_ = true;
    error_code ignored;
    socket_.close(ignored);
    slot_.reset();
    if (owner_ != nullptr) owner_->connections_.erase(shared_from_this());
    if (const auto gone = std::exchange(gone_, nullptr)) gone();
  }

  // The listener is going: handlers that are still to come must not touch it.
  void Drop() {
    owner_ = nullptr;
    gone_ = nullptr;
    Close();
  }

  TimePoint since() const { return since_; }

  bool Idle() const { return state_ == State::kReading && !started_; }

  // Nothing of a further request has come, not even into the system's buffer.
  bool SparesClose() {
    if (!Idle()) return false;
    error_code error;
    return socket_.available(error) == 0 || error;
  }

  // Which goes first when descriptors run out, the lowest number first; nothing where it must stay. Usual
  // clients' connections outlast those of clients that say nothing.
  std::optional<int> Spare(TimePoint now) const {
    const Duration age = now - since_;
    if (state_ == State::kLingering) return 0;
    if (state_ != State::kReading) return std::nullopt;
    // A kept connection is closed at no cost: its client asks on another. One that has not asked yet is about
    // to.
    if (started_) return age > kSlow ? 3 : 5;
    if (unused_) return age > kSilent ? 1 : 4;
    return 2;
  }

  // Ends what has had its time.
  void CloseIfOverdue(TimePoint now) {
    if (closed_ || state_ == State::kServing ||
        now - since_ <= (state_ == State::kLingering ? kLinger : kStalled))
      return;
    if (state_ != State::kReading) return Close();
    if (started_) return Reject(http::status::request_timeout, "request did not come in time");
    if (unused_) Close();
  }

  bool Fresh(TimePoint now) const { return unused_ && now - since_ < kFreshConnection; }

 private:
  enum class State { kReading, kServing, kWriting, kLingering };

  void NewParser() {
    parser_.emplace();
    parser_->body_limit(kMostBody);
    parser_->header_limit(kMostHeader);
    started_ = false;
    head_checked_ = false;
    scanned_ = 0;
    since_ = Now();
    if (buffer_.size() == 0) buffer_.shrink_to_fit();  // most connections are idle most of the time
  }

  // Waits without a buffer: hundreds of connections may be idle.
  void Read() {
    if (reading_ || closed_ || buffer_.size() == buffer_.max_size()) return;
    reading_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
      self->reading_ = false;
      if (self->closed_ || self->owner_ == nullptr) return;
      if (error) return self->Close();
      self->Receive();
    });
  }

  void Receive() {
    const std::size_t room = std::min(buffer_.max_size() - buffer_.size(), kReadSize);
    error_code error;
    const std::size_t size = socket_.read_some(buffer_.prepare(room), error);
    if (error == boost::asio::error::would_block || error == boost::asio::error::try_again) return Read();
    if (error) return Close();
    buffer_.commit(size);
    Progress();
  }

  void Progress() {
    if (state_ == State::kLingering) {
      lingered_ += buffer_.size();
      buffer_.consume(buffer_.size());
      if (lingered_ > kMostLinger) return Close();
    }
    if (state_ == State::kReading) Parse();
    Read();
  }

  void Parse() {
    while (state_ == State::kReading && buffer_.size() > 0) {
      if (!std::exchange(started_, true) && !std::exchange(unused_, false)) since_ = Now();
      if (!parser_->is_header_done()) {
        const Head head = LookAtHead(Unparsed(), scanned_);
        if (head == Head::kPartial) return;
        if (head == Head::kBad) return Reject(http::status::bad_request, "bad request head");
      }
      // Not in one go with the header: Beast 1.74 then forgets that the body is beyond the bound.
      parser_->eager(parser_->is_header_done());
      error_code error;
      const std::size_t used = parser_->put(buffer_.data(), error);
      buffer_.consume(used);
      if (error == http::error::need_more) error = {};
      if (error == http::error::body_limit) return Reject(http::status::payload_too_large, "body too large");
      if (error) return Reject(http::status::bad_request, error.message());
      if (parser_->is_header_done() && !std::exchange(head_checked_, true)) {
        if (const char* fault = FramingFault(parser_->get())) return Reject(http::status::bad_request, fault);
        Continue();
      }
      if (parser_->is_done()) return Serve();
      if (used == 0) return;
    }
  }

  boost::beast::string_view Unparsed() const {
    return {static_cast<const char*>(buffer_.data().data()), buffer_.data().size()};
  }

  // Whoever sent this can't be followed any further: nothing behind it on this connection is read as a
  // request.
  void Reject(http::status status, const std::string& why) {
    close_after_ = true;
    Answer(Plain(status, why));
  }

  // A client that asked whether to go on waits for this before it sends the body.
  void Continue() {
    if (!boost::beast::iequals(parser_->get()[http::field::expect], "100-continue")) return;
    static constexpr char kGoOn[] = "HTTP/1.1 100 Continue\r\n\r\n";
    error_code ignored;
    socket_.write_some(boost::asio::buffer(kGoOn, sizeof kGoOn - 1), ignored);
  }

  void Serve() {
    HttpRequest request = parser_->release();
    // Trailers have joined the head. And what follows a body must begin like a request, or its length was
    // wrong.
    if (const char* fault = FramingFault(request)) return Reject(http::status::bad_request, fault);
    std::size_t scanned = 0;
    if (buffer_.size() > 0 && LookAtHead(Unparsed(), scanned) == Head::kBad) {
      return Reject(http::status::bad_request, "no request behind the body");
    }
    if (!request.keep_alive()) close_after_ = true;
    version_ = request.version();
    const auto target = request.target();
    state_ = State::kServing;
    if (target == "/up" && request.method() == http::verb::get) {
      // Asked is whether the address takes clients.
      const bool draining = owner_->resting() && !owner_->succeeded_;
      return Answer(draining ? Plain(http::status::service_unavailable, "draining")
                             : Plain(http::status::ok, "up"));
    }
    auto reply = [self = shared_from_this()](HttpResponse response) {
      self->gone_ = nullptr;
      if (!self->closed_) self->Answer(std::move(response));
    };
    auto gone = owner_->on_request_(std::move(request), std::move(reply));
    if (state_ == State::kServing) gone_ = std::move(gone);
  }

  void Answer(HttpResponse response) {
    state_ = State::kWriting;
    since_ = Now();
    // The one who finds a request unfit asks for the close by the answer.
    if (!response.keep_alive() || (owner_ != nullptr && owner_->resting())) close_after_ = true;
    response_ = std::move(response);
    response_.version(version_);
    response_.keep_alive(!close_after_);
    response_.prepare_payload();
    http::async_write(socket_, response_, [self = shared_from_this()](error_code error, std::size_t) {
      if (self->closed_ || self->owner_ == nullptr) return;
      if (error) return self->Close();
      self->Answered();
    });
  }

  void Answered() {
    response_ = {};
    if (close_after_) {
      state_ = State::kLingering;
      since_ = Now();
      error_code ignored;
      socket_.shutdown(tcp::socket::shutdown_send, ignored);
    } else {
      state_ = State::kReading;
      NewParser();
    }
    Progress();
  }

  Listener* owner_;
  std::optional<Descriptors::Slot> slot_;
  tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  HttpResponse response_;
  OnGone gone_;
  State state_ = State::kReading;
  TimePoint since_;  // of the state, or of a request's first byte
  unsigned version_ = 11;
  bool started_ = false;  // some of a request has come
  bool unused_ = true;    // nothing has ever come
  bool head_checked_ = false;
  std::size_t scanned_ = 0;   // of a head that is still to come whole
  std::size_t lingered_ = 0;  // bytes read since the last answer
  bool close_after_ = false;
  bool reading_ = false;
  bool closed_ = false;
};

Listener::Listener(boost::asio::io_context& io, const ListenOn& where, Descriptors& descriptors,
                   Logger& log, OnRequest on_request)
    : descriptors_(descriptors),
      log_(log),
      on_request_(std::move(on_request)),
      acceptor_(io, where, "", *this, log),
      sweep_(io) {
  ScheduleSweep();
}

Listener::~Listener() {
  for (const auto& connection : std::exchange(connections_, {})) connection->Drop();
}

void Listener::Admit(tcp::socket socket) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.non_blocking(true, ignored);
  const auto connection = std::make_shared<Connection>(*this, std::move(socket));
  connections_.insert(connection);
  connection->Start();
}

bool Listener::MakeRoom() {
  const TimePoint now = Now();
  // Those of which more has come than was read are no candidates; there are few.
  std::set<Connection*> busy;
  while (true) {
    std::shared_ptr<Connection> best;
    std::pair<int, TimePoint> lowest;
    for (const auto& connection : connections_) {
      const auto spare = connection->Spare(now);
      if (!spare || busy.contains(connection.get())) continue;
      const std::pair rank(*spare, connection->since());
      if (!best || rank < lowest) best = connection, lowest = rank;
    }
    if (!best) return false;
    if (best->Idle() && !best->SparesClose()) {
      busy.insert(best.get());
      continue;
    }
    best->Close();
    return true;
  }
}

void Listener::Rest(bool on) {
  if (on == resting_) return;
  resting_ = on;
  sweep_.cancel();
  Sweep();
  ScheduleSweep();
}

void Listener::Drain(std::function<void()> done) {
  if (drained_) return;
  drained_ = std::move(done);
  drain_started_ = Now();
  succeeded_ = acceptor_.paused();
  if (succeeded_) acceptor_.Release();
  sweep_.cancel();
  Sweep();
  ScheduleSweep();
}

void Listener::ScheduleSweep() {
  sweep_.expires_after(resting() ? kDrainSweep : kSweep);
  sweep_.async_wait([this](error_code error) {
    if (error) return;
    Sweep();
    if (drained_ && !acceptor_.is_open() && connections_.empty()) return drained_();
    ScheduleSweep();
  });
}

void Listener::Sweep() {
  const TimePoint now = Now();
  const std::vector<std::shared_ptr<Connection>> all(connections_.begin(), connections_.end());
  for (const auto& connection : all) {
    if (resting() && !connection->Fresh(now) && connection->SparesClose()) connection->Close();
    connection->CloseIfOverdue(now);
  }
  if (drained_ && acceptor_.is_open() && now - drain_started_ > kAcceptWhileDraining) acceptor_.Close();
}

}  // namespace mothrack
