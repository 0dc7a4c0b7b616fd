#include "sidecar.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <optional>
#include <stdexcept>
#include <variant>

namespace mothrack {
namespace {

using boost::beast::string_view;
using boost::system::error_code;
using kestrellb::AttemptEnded;
using kestrellb::AttemptId;
using kestrellb::MembershipUpdate;
using kestrellb::Outcome;
using kestrellb::RequestId;
using std::chrono::milliseconds;

// The client's clock started when it sent the request: so much earlier, at least, than it was read here.
constexpr Duration kTrip = milliseconds(2);
constexpr std::size_t kLongestId = 128;
// A second request under the id of one that ended just now is a copy that crossed the answer: it must not run
// again. Ids are never used again, so they need no longer memory than such a copy takes.
constexpr Duration kIdMemory = std::chrono::seconds(5);
constexpr std::size_t kMostEndedIds = 8192;
// A client that says it waits longer than this many of its class's deadlines has no idea what it says.
constexpr int kMostDeadlines = 2;

HttpResponse Plain(http::status status, const std::string& text) {
  HttpResponse response(status, 11);
  response.set(http::field::content_type, "text/plain");
  response.body() = text + "\n";
  return response;
}

// For what is no request of this protocol: its connection is closed, too.
HttpResponse Unfit(const std::string& why) {
  auto response = Plain(http::status::bad_request, why);
  response.keep_alive(false);
  return response;
}

// The one value of a header; nothing where it is missing or given twice.
std::optional<string_view> Single(const HttpRequest& request, string_view name) {
  const auto range = request.equal_range(name);
  if (range.first == range.second || std::next(range.first) != range.second) return std::nullopt;
  return range.first->value();
}

bool Visible(string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 127; });
}

bool GoodId(string_view id) { return !id.empty() && id.size() <= kLongestId && Visible(id); }

// Does the method tell the same as the class? What contradicts itself could be repeated against its class.
bool Fits(const HttpRequest& request, kestrellb::Effect effect) {
  if (effect == kestrellb::Effect::kSafe) {
    return request.method() == http::verb::get && request.body().empty();
  }
  const auto key = Single(request, "Idempotency-Key");
  const bool keyed = key && GoodId(*key);
  return request.method() == http::verb::post &&
         (effect == kestrellb::Effect::kKeyed ? keyed : request.count("Idempotency-Key") == 0);
}

template <typename T>
std::optional<T> Whole(string_view text) {
  T value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

string_view FirstPart(string_view target) {
  if (target.empty() || target.front() != '/') return {};
  target.remove_prefix(1);
  return target.substr(0, target.find_first_of("/?"));
}

// Set for as long as events are only queued. Guards the queue against an exception on the way: a flag that
// stays set would stop the whole node.
class Busy {
 public:
  explicit Busy(bool& flag) : flag_(flag) { flag_ = true; }
  ~Busy() { flag_ = false; }
  Busy(const Busy&) = delete;
  Busy& operator=(const Busy&) = delete;

 private:
  bool& flag_;
};

MembershipList Known(const nlohmann::json& known, const UnixClock& clock) {
  MembershipList list;
  if (!known.is_null()) {
    try {
      list = ParseList(known, clock);
    } catch (const std::exception& e) {
      throw ConfigError(std::string("LB_CONFIG: known: ") + e.what());
    }
  }
  list.update.kind = MembershipUpdate::Kind::kRestored;
  return list;
}

}  // namespace

Sidecar::Sidecar(boost::asio::io_context& io, const Config& config)
    : settings_(config.settings),
      log_(config.name),
      descriptors_(config.sockets),
      balancer_(config.settings, config.seed),
      upstreams_(io, config.settings.limits, config.settings.load_by_probe, descriptors_),
      discovery_(
          io, config.discovery, config.settings.membership_on_request, unix_clock_, log_,
          [this](MembershipList list) { Apply(std::move(list)); },
          [this] {
            Deliver(MembershipUpdate{MembershipUpdate::Kind::kFailed, {}});
          }),
      timer_(io),
      listener_(io, config.listen, descriptors_, log_, [this](HttpRequest request, Listener::Reply reply) {
        return Take(std::move(request), std::move(reply));
      }) {
  for (std::size_t i = 0; i < settings_.classes.size(); ++i) {
    classes_.emplace(settings_.classes[i].name, kestrellb::ClassId{i});
  }
  for (std::size_t i = 0; i < settings_.tenants.size(); ++i) {
    tenants_.emplace(settings_.tenants[i].name, kestrellb::TenantId{i});
  }
  Apply(Known(config.known, unix_clock_));
  // Where membership is told on request, the module asks.
  if (!settings_.membership_on_request) discovery_.Ask();
}

void Sidecar::Reconfigure(const Config& config) {
  Known(config.known, unix_clock_);  // checked like the rest, though the list from discovery is newer
  log_.Line("configuration read again");
  discovery_.MoveTo(config.discovery);
}

// handle() is never re-entered: an action that ends something at once queues its event here.
void Sidecar::Deliver(kestrellb::Event event) {
  events_.push_back(std::move(event));
  if (!delivering_) Pump();
}

void Sidecar::Pump() {
  const Busy busy(delivering_);
  std::vector<kestrellb::Action> actions;
  while (!events_.empty()) {
    const kestrellb::Event next = std::move(events_.front());
    events_.pop_front();
    actions.clear();
    balancer_.handle(Now(), next, actions);
    for (const auto& action : actions) {
      std::visit([this](const auto& a) { CarryOut(a); }, action);
    }
  }
  ArmTimer();
}

// The module hears of the list before it hears of attempts that the list ended, and acts on it only when the
// sockets know it too: else it would send again to what drains, or to what is not known yet.
void Sidecar::Apply(MembershipList list) {
  {
    const Busy busy(delivering_);
    if (list.update.kind != MembershipUpdate::Kind::kChanges) {
      for (const std::string& uid : upstreams_.Known()) {
        if (!list.locations.contains(uid)) list.locations[uid].state = kestrellb::UpstreamState::kGone;
      }
    }
    events_.push_back(std::move(list.update));
    for (const auto& [uid, location] : list.locations) upstreams_.Apply(uid, location);
  }
  Pump();
}

Listener::OnGone Sidecar::Take(HttpRequest request, Listener::Reply reply) {
  const TimePoint now = Now();
  const auto bad = [&reply](const std::string& why) {
    reply(Unfit(why));
    return nullptr;
  };
  RemoveHopByHop(request);  // first: `Connection` may name what is checked below
  if (!Visible(request.target())) return bad("bad target");
  const auto cls = classes_.find(std::string(FirstPart(request.target())));
  if (cls == classes_.end()) return bad("unknown class");
  const auto& known = settings_.classes[static_cast<std::size_t>(cls->second)];
  if (!Fits(request, known.effect)) return bad("method or Idempotency-Key does not fit the class");
  const auto wire_id = Single(request, "X-Request-ID");
  if (!wire_id || !GoodId(*wire_id)) return bad("missing or bad X-Request-ID");
  const auto timeout_text = Single(request, "X-Timeout-Ms");
  const auto timeout = timeout_text ? Whole<std::uint32_t>(*timeout_text) : std::nullopt;
  if (!timeout || *timeout == 0 || milliseconds(*timeout) > kMostDeadlines * known.deadline) {
    return bad("missing or bad X-Timeout-Ms");
  }
  // Two requests of one id could not be told apart upstream.
  const std::string key(*wire_id);
  ForgetOldIds(now);
  if (!taken_ids_.insert(key).second) return bad("X-Request-ID is taken");

  kestrellb::RequestArrived event;
  event.request = RequestId{++last_request_};
  event.request_class = cls->second;
  event.deadline = now + std::max<Duration>(milliseconds(*timeout) - kTrip, milliseconds(1));
  if (const auto tenant = tenants_.find(std::string(request["X-Tenant-Id"])); tenant != tenants_.end()) {
    event.tenant = tenant->second;
  }
  if (const auto cost = Whole<std::uint32_t>(request["X-Cost"])) event.work = Duration(*cost);
  event.client_retry = request["X-Retried"] == "1";

  Pending pending;
  pending.wire_id = key;
  pending.message = std::make_shared<const HttpRequest>(std::move(request));
  pending.deadline = event.deadline;
  pending.reply = std::move(reply);
  const RequestId id = event.request;
  requests_.emplace(id, std::move(pending));
  Deliver(event);
  return [this, id] { Gone(id); };
}

void Sidecar::Gone(RequestId id) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || !it->second.reply) return;
  it->second.reply = nullptr;
  Deliver(kestrellb::RequestGone{id});
  ForgetIfDone(id);
}

void Sidecar::Ended(RequestId id, AttemptId attempt, ExchangeResult result) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  Pending& pending = it->second;
  --pending.out;
  if (result.outcome == Outcome::kServed && pending.reply) {
    HttpResponse response(http::status::ok, 11);
    response.base() = std::move(result.response.base());
    response.body() = std::move(result.response.body());
    response.version(11);
    RemoveHopByHop(response);
    Answer(pending, std::move(response));
  }
  Deliver(AttemptEnded{id, attempt, result.outcome, result.elapsed, !pending.reply, result.load});
  ForgetIfDone(id);
}

void Sidecar::Answer(Pending& pending, HttpResponse response) {
  const auto reply = std::exchange(pending.reply, nullptr);
  if (reply) reply(std::move(response));
}

// While events wait their attempts are still needed: their turn comes with the last of them.
void Sidecar::ForgetIfDone(RequestId id) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || it->second.reply || it->second.out > 0) return;
  ended_ids_.emplace_back(Now(), std::move(it->second.wire_id));
  requests_.erase(it);
}

void Sidecar::ForgetOldIds(TimePoint now) {
  while (!ended_ids_.empty() &&
         (ended_ids_.size() > kMostEndedIds || now - ended_ids_.front().first > kIdMemory)) {
    taken_ids_.erase(ended_ids_.front().second);
    ended_ids_.pop_front();
  }
}

void Sidecar::CarryOut(const kestrellb::SendAttempt& action) {
  const auto it = requests_.find(action.request);
  if (it == requests_.end()) return;
  Pending& pending = it->second;
  const AttemptId attempt{pending.attempts.size()};
  const Upstreams::ExchangeId exchange{++last_exchange_};
  pending.attempts.push_back(exchange);
  ++pending.out;
  const auto on_end = [this, id = action.request, attempt](ExchangeResult result) {
    Ended(id, attempt, std::move(result));
  };
  // The client left or has its answer: nothing more is sent for it.
  if (!pending.reply) return on_end({Outcome::kNotSent, Duration::zero(), {}, {}});
  upstreams_.Send(exchange, action.upstream.value, pending.message, action.timeout, on_end);
}

void Sidecar::CarryOut(const kestrellb::CancelAttempt& action) {
  const auto it = requests_.find(action.request);
  const auto attempt = static_cast<std::size_t>(action.attempt);
  if (it == requests_.end() || attempt >= it->second.attempts.size()) return;
  upstreams_.Cancel(it->second.attempts[attempt]);
}

void Sidecar::CarryOut(const kestrellb::Refuse& action) {
  const auto it = requests_.find(action.request);
  if (it == requests_.end()) return;
  auto response = Plain(http::status::service_unavailable, "refused: trying again is harmless");
  if (action.retry_after > Duration::zero()) {
    char seconds[32];
    std::snprintf(seconds, sizeof seconds, "%.3f", std::chrono::duration<double>(action.retry_after).count());
    response.set(http::field::retry_after, seconds);
  }
  Answer(it->second, std::move(response));
  ForgetIfDone(action.request);
}

void Sidecar::CarryOut(const kestrellb::Fail& action) {
  const auto it = requests_.find(action.request);
  if (it == requests_.end()) return;
  const bool late = Now() >= it->second.deadline;
  Answer(it->second, late ? Plain(http::status::gateway_timeout, "no answer in time")
                          : Plain(http::status::bad_gateway, "upstream failed"));
  ForgetIfDone(action.request);
}

void Sidecar::CarryOut(const kestrellb::SetTimer& action) { timers_.emplace(action.at, action.token); }

void Sidecar::CarryOut(const kestrellb::SendProbe& action) {
  upstreams_.Probe(Upstreams::ExchangeId{++last_exchange_}, action.upstream.value,
                   [this, upstream = action.upstream](ExchangeResult result) {
                     Deliver(kestrellb::ProbeEnded{upstream, result.outcome, result.elapsed, result.load});
                   });
}

void Sidecar::CarryOut(const kestrellb::CloseIdle& action) { upstreams_.CloseIdle(action.upstream.value); }

void Sidecar::CarryOut(const kestrellb::Subscribe&) { discovery_.Ask(); }

void Sidecar::CarryOut(const kestrellb::Log& action) { log_.Line(action.text); }

void Sidecar::ArmTimer() {
  const TimePoint next = timers_.empty() ? TimePoint::max() : timers_.top().first;
  if (next == armed_for_) return;
  armed_for_ = next;
  if (timers_.empty()) return;
  timer_.expires_at(ToSteady(next));
  timer_.async_wait([this](error_code error) {
    if (error) return;
    armed_for_ = TimePoint::max();
    const TimePoint now = Now();
    while (!timers_.empty() && timers_.top().first <= now) {
      const std::uint64_t token = timers_.top().second;
      timers_.pop();
      Deliver(kestrellb::TimerFired{token});
    }
    ArmTimer();
  });
}

}  // namespace mothrack
