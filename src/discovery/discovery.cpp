#include "discovery/discovery.h"

#include <algorithm>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <map>
#include <stdexcept>
#include <utility>

#include "http/messages.h"
#include "runtime/write_stream.h"

namespace mothrack::discovery {
namespace {

namespace beast_http = boost::beast::http;
using balancer::MembershipUpdate;
using balancer::UpstreamInfo;
using balancer::UpstreamState;
using boost::system::error_code;
using nlohmann::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

// The next watch follows an answer well within the 200 ms after which it would be a new one; not sooner than
// this after the last was sent, so that an agent that answers at once is not asked in a spin.
constexpr auto kLeastGap = milliseconds(50);
// Of a call that asks what changed up to now: the least of a watch, which names a wait above 0.
constexpr auto kNoWait = milliseconds(1);
constexpr std::uint64_t kMostList = 4 * 1024 * 1024;
// Beyond these (the year 2286; a million times the usual machine) a list is damaged.
constexpr std::int64_t kMostBootMs = 9'999'999'999'999;
constexpr double kMostWeight = 1e6;

UpstreamState ParseState(const std::string& word) {
  if (word == "active") return UpstreamState::kServing;
  if (word == "leaving") return UpstreamState::kDraining;
  if (word == "left") return UpstreamState::kGone;
  throw std::runtime_error("unknown state " + word);
}

}  // namespace

dispatch::MembershipList ParseList(const json& body) {
  dispatch::MembershipList list;
  list.revision = body.at("rev").get<std::uint64_t>();
  list.update.kind =
      body.at("all").get<bool>() ? MembershipUpdate::Kind::kFull : MembershipUpdate::Kind::kChanges;
  const json& targets = body.at("targets");
  if (!targets.is_array()) throw std::runtime_error("targets is no array");
  std::map<std::string, std::size_t> places;
  for (const json& target : targets) {
    UpstreamInfo info;
    info.id.value = target.at("uid").get<std::string>();
    info.state = ParseState(target.at("state").get<std::string>());
    info.zone = target.value("az", "");
    info.kind = target.value("model", "");
    info.cell = target.value("pod_group", std::int64_t{0});
    info.weight = target.value("capacity_hint", 1.0);
    dispatch::Location location;
    location.state = info.state;
    location.boot_ms = target.value("boot_ms", std::int64_t{0});
    if (location.boot_ms < 0 || location.boot_ms > kMostBootMs) throw std::runtime_error("bad boot_ms");
    if (!(info.weight >= 0 && info.weight <= kMostWeight)) throw std::runtime_error("bad capacity_hint");
    const auto text = target.value("endpoint", "");
    if (const auto endpoint = runtime::ParseEndpoint(text)) {
      location.endpoint = *endpoint;
    } else if (info.state != UpstreamState::kGone) {
      throw std::runtime_error("bad endpoint '" + text + "' of " + info.id.value);
    }
    list.locations[info.id.value] = location;
    const auto [place, first] = places.try_emplace(info.id.value, list.update.upstreams.size());
    if (first) list.update.upstreams.emplace_back();
    list.update.upstreams[place->second] = std::move(info);
  }
  return list;
}

// One connection to discovery and the call on it. A new one is made after any failure.
class Discovery::Call : public std::enable_shared_from_this<Call> {
 public:
  explicit Call(Discovery& owner) : owner_(&owner), stream_(owner.io_), write_stream_(stream_) {}

  // Ends in a failure after `most`; whoever gives it up earlier drops it.
  void Start(const std::string& target, runtime::Duration most) {
    request_ = {beast_http::verb::get, target, 11};
    request_.set(beast_http::field::host, "discovery");
    stream_.expires_after(most);
    if (connected_) return Write();
    stream_.async_connect(owner_->endpoint_, [self = shared_from_this()](error_code error) {
      if (self->owner_ == nullptr) return;
      if (error) return self->owner_->Failed(*self, error);
      self->connected_ = true;
      self->Write();
    });
  }

  bool reusable() const { return connected_; }

  // Its owner wants no more of it.
  void Drop() {
    owner_ = nullptr;
    stream_.close();
  }

 private:
  void Write() {
    beast_http::async_write(write_stream_, request_,
                            [self = shared_from_this()](error_code error, std::size_t) {
                              if (self->owner_ == nullptr) return;
                              if (error) return self->owner_->Failed(*self, error);
                              self->Read();
                            });
  }

  void Read() {
    parser_.emplace();
    parser_->body_limit(kMostList);
    // The header on its own first, or the bound on the body does not hold (see transport.cpp).
    beast_http::async_read_header(stream_, buffer_, *parser_,
                                  [self = shared_from_this()](error_code error, std::size_t) {
                                    if (self->owner_ == nullptr) return;
                                    if (error) return self->owner_->Failed(*self, error);
                                    self->ReadBody();
                                  });
  }

  void ReadBody() {
    beast_http::async_read(
        stream_, buffer_, *parser_, [self = shared_from_this()](error_code error, std::size_t) {
          if (self->owner_ == nullptr) return;
          if (error) return self->owner_->Failed(*self, error);
          const auto response = self->parser_->release();
          if (!response.keep_alive()) self->connected_ = false;
          self->stream_.expires_never();
          if (response.result() != beast_http::status::ok) {
            return self->owner_->Failed(*self, "status " + std::to_string(response.result_int()));
          }
          self->owner_->Answered(*self, response.body());
        });
  }

  Discovery* owner_;
  boost::beast::tcp_stream stream_;
  runtime::WriteStream<boost::beast::tcp_stream> write_stream_;
  boost::beast::flat_buffer buffer_;
  beast_http::request<beast_http::empty_body> request_;
  std::optional<beast_http::response_parser<beast_http::string_body>> parser_;
  bool connected_ = false;
};

Discovery::Discovery(boost::asio::io_context& io, runtime::Endpoint endpoint, const PollPolicy& terms,
                     std::uint64_t seed, dispatch::StartTimes& start_times, runtime::Logger& log,
                     OnList on_list)
    : io_(io),
      endpoint_(std::move(endpoint)),
      terms_(terms),
      start_times_(start_times),
      log_(log),
      on_list_(std::move(on_list)),
      pause_(io),
      random_(seed) {}

Discovery::~Discovery() { DropCalls(); }

void Discovery::Ask() {
  if (running_) return;
  running_ = true;
  Start();
}

void Discovery::MoveTo(runtime::Endpoint endpoint) {
  DropCalls();
  pause_.cancel();
  endpoint_ = std::move(endpoint);
  revision_.reset();  // versions are of the one that counted them
  failures_ = 0;
  heard_ = false;
  running_ = true;
  Start();
}

void Discovery::StartIn(runtime::Duration wait) {
  pause_.expires_after(wait);
  pause_.async_wait([this, turn = ++turn_](error_code error) {
    if (!error && turn == turn_) Start();
  });
}

void Discovery::GiveUpIn(runtime::Duration patience) {
  pause_.expires_after(patience);
  pause_.async_wait([this, turn = ++turn_](error_code error) {
    if (error || turn != turn_) return;
    // One of them is enough: the next would be answered later still.
    if (!overdue_) overdue_ = std::exchange(call_, nullptr);
    Failed("no list in time", FailedCall::Kind::kSilent);
  });
}

void Discovery::DropCalls() {
  for (const auto& call : {std::exchange(call_, nullptr), std::exchange(overdue_, nullptr)}) {
    if (call) call->Drop();
  }
}

void Discovery::Start() {
  ++turn_;
  asked_ = runtime::Now();
  ++counts_.calls;
  counts_.whole_asked += !revision_;
  if (call_ && !call_->reusable()) std::exchange(call_, nullptr)->Drop();
  if (!call_) call_ = std::make_shared<Call>(*this);
  watch_ = heard_ && revision_;
  const runtime::Duration patience = failures_ > 0 ? terms_.retry_patience : terms_.list_patience;
  if (!revision_) {
    call_->Start("/discovery/hosts", std::max(patience, terms_.longest_list));
    if (terms_.longest_list > patience) GiveUpIn(patience);
    return;
  }
  const runtime::Duration wait = watch_ ? terms_.WaitAfter(news_, Draw()) : kNoWait;
  call_->Start("/discovery/hosts?index=" + std::to_string(*revision_) +
                   "&wait=" + std::to_string(duration_cast<milliseconds>(wait).count()),
               wait + (watch_ ? terms_.watch_patience : patience));
}

void Discovery::Answered(Call& call, const std::string& body) {
  dispatch::MembershipList list;
  try {
    list = ParseList(json::parse(body));
  } catch (const std::exception& e) {
    return Failed(call, std::string("malformed list: ") + e.what());
  }
  // Whichever was first is listened to from here on.
  if (&call == overdue_.get()) std::swap(call_, overdue_);
  if (overdue_) std::exchange(overdue_, nullptr)->Drop();
  // Older than what is held: another one counts there. What changed in between is not known.
  if (revision_ && list.revision < *revision_ && list.update.kind == MembershipUpdate::Kind::kChanges) {
    revision_.reset();
    return Failed("version " + std::to_string(list.revision) + " after a later one",
                  FailedCall::Kind::kOlder);
  }
  ++(list.update.kind == MembershipUpdate::Kind::kFull ? counts_.whole : counts_.changes);
  counts_.lines += list.update.upstreams.size();
  if (failures_ > 0) log_.Line("discovery answers again");
  failures_ = 0;
  heard_ = true;
  news_ = !list.update.upstreams.empty();
  revision_ = list.revision;
  StartIn(std::max(runtime::Duration::zero(), runtime::Duration(asked_ + kLeastGap - runtime::Now())));
  start_times_.Place(list, runtime::ReadClocks());
  on_list_(std::move(list));
}

void Discovery::Failed(const Call& call, const error_code& error) {
  Failed(call, error.message(),
         error == boost::beast::error::timeout ? FailedCall::Kind::kSilent : FailedCall::Kind::kFault);
}

// What was given up is no failure once more.
void Discovery::Failed(const Call& call, const std::string& why, FailedCall::Kind kind) {
  if (&call == overdue_.get()) return std::exchange(overdue_, nullptr)->Drop();
  Failed(why, kind);
}

// The old list stands, and its version: what changed since is asked for again, which costs a service that all
// ask the least. An agent is this machine's own, and may have started anew and count from elsewhere: the
// whole list, which it gives at no cost, and which costs this process what it is to read.
void Discovery::Failed(const std::string& why, FailedCall::Kind kind) {
  if (call_) std::exchange(call_, nullptr)->Drop();
  ++counts_.failed;
  heard_ = false;
  if (!terms_.on_request) revision_.reset();
  if (failures_++ == 0) log_.Line("discovery: " + why);
  const FailedCall call{kind, watch_, failures_, runtime::Now() - asked_};
  const runtime::Duration pause = terms_.PauseAfter(call, Draw());
  StartIn(std::max(pause, runtime::Duration(asked_ + kLeastGap - runtime::Now())));
}

}  // namespace mothrack::discovery
