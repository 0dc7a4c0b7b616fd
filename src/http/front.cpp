#include "http/front.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <memory>
#include <optional>
#include <utility>

#include "http/framing.h"
#include "http/plain_response.h"

namespace mothrack::http {
namespace {

using boost::beast::string_view;
using std::chrono::milliseconds;

// The client's clock started when it sent the request: so much earlier, at least, than it was read here.
constexpr runtime::Duration kTrip = milliseconds(2);
constexpr std::size_t kLongestId = 128;
// A client that says it waits longer than this many of its class's deadlines has no idea what it says.
constexpr int kMostDeadlines = 2;

// For what is no request of this protocol: its connection is closed, too.
HttpResponse Unfit(const std::string& why) {
  auto response = PlainResponse(beast_http::status::bad_request, why);
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
bool Fits(const HttpRequest& request, bool body, balancer::Effect effect) {
  if (effect == balancer::Effect::kSafe) {
    return request.method() == beast_http::verb::get && !body;
  }
  const auto key = Single(request, "Idempotency-Key");
  const bool keyed = key && GoodId(*key);
  return request.method() == beast_http::verb::post &&
         (effect == balancer::Effect::kKeyed ? keyed : request.count("Idempotency-Key") == 0);
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

HttpResponse Served(dispatch::Final& final) {
  HttpResponse own = std::move(static_cast<HttpReply&>(*final.reply).response);
  HttpResponse response(beast_http::status::ok, 11);
  response.base() = std::move(own.base());
  response.body() = std::move(own.body());
  response.version(11);
  RemoveHopByHop(response);
  return response;
}

HttpResponse Refused(runtime::Duration retry_after) {
  auto response = PlainResponse(beast_http::status::service_unavailable, "refused: trying again is harmless");
  if (retry_after > runtime::Duration::zero()) {
    char seconds[32];
    std::snprintf(seconds, sizeof seconds, "%.3f", std::chrono::duration<double>(retry_after).count());
    response.set(beast_http::field::retry_after, seconds);
  }
  return response;
}

DeadlineRange DeadlinesOf(const balancer::Settings& settings) {
  DeadlineRange range{runtime::Duration::max(), runtime::Duration::zero()};
  for (const auto& known : settings.classes) {
    range.shortest = std::min(range.shortest, known.deadline);
    range.longest = std::max(range.longest, known.deadline);
  }
  return range;
}

ComingBody Coming(dispatch::Final& final) {
  return final.streaming ? std::move(static_cast<HttpReply&>(*final.reply).coming) : ComingBody{};
}

HttpResponse ToResponse(dispatch::Final& final) {
  switch (final.kind) {
    case dispatch::Final::Kind::kServed:
      return Served(final);
    case dispatch::Final::Kind::kRejected:
      return Refused(final.retry_after);
    case dispatch::Final::Kind::kFailed:
      break;
  }
  return final.late ? PlainResponse(beast_http::status::gateway_timeout, "no answer in time")
                    : PlainResponse(beast_http::status::bad_gateway, "upstream failed");
}

}  // namespace

HttpFront::HttpFront(boost::asio::io_context& io, const runtime::ListenOn& where,
                     runtime::Descriptors& descriptors, runtime::ByteBudget& budget, runtime::Logger& log,
                     dispatch::Dispatcher& dispatcher)
    : dispatcher_(dispatcher),
      listener_(io, where, descriptors, budget, log, DeadlinesOf(dispatcher.settings()),
                [this](HttpRequest request, ComingBody coming, ReplyCallback reply) {
                  return Take(std::move(request), std::move(coming), std::move(reply));
                }) {
  const balancer::Settings& settings = dispatcher.settings();
  for (std::size_t i = 0; i < settings.classes.size(); ++i) {
    classes_.emplace(settings.classes[i].name, balancer::ClassId{i});
  }
  for (std::size_t i = 0; i < settings.tenants.size(); ++i) {
    tenants_.emplace(settings.tenants[i].name, balancer::TenantId{i});
  }
}

RequestObserver HttpFront::Take(HttpRequest request, ComingBody coming, ReplyCallback reply) {
  const runtime::TimePoint now = runtime::Now();
  const auto bad = [&reply](const std::string& why) {
    reply(Unfit(why), {});
    return RequestObserver{};
  };
  RemoveHopByHop(request);  // first: `Connection` may name what is checked below
  if (!Visible(request.target())) return bad("bad target");
  const auto cls = classes_.find(std::string(FirstPart(request.target())));
  if (cls == classes_.end()) return bad("unknown class");
  const auto& known = dispatcher_.settings().classes[static_cast<std::size_t>(cls->second)];
  const bool body = coming || !request.body().empty();
  if (!Fits(request, body, known.effect)) return bad("method or Idempotency-Key does not fit the class");
  const auto wire_id = Single(request, "X-Request-ID");
  if (!wire_id || !GoodId(*wire_id)) return bad("missing or bad X-Request-ID");
  const auto timeout_text = Single(request, "X-Timeout-Ms");
  const auto timeout = timeout_text ? Whole<std::uint32_t>(*timeout_text) : std::nullopt;
  if (!timeout || *timeout == 0 || milliseconds(*timeout) > kMostDeadlines * known.deadline) {
    return bad("missing or bad X-Timeout-Ms");
  }

  dispatch::NewRequest taken;
  taken.request_class = cls->second;
  const runtime::Duration patience =
      std::max<runtime::Duration>(milliseconds(*timeout) - kTrip, milliseconds(1));
  taken.deadline = now + patience;
  taken.arriving = static_cast<bool>(coming);
  if (const auto tenant = tenants_.find(std::string(request["X-Tenant-Id"])); tenant != tenants_.end()) {
    taken.tenant = tenant->second;
  }
  if (const auto cost = Whole<std::uint32_t>(request["X-Cost"])) taken.work = runtime::Duration(*cost);
  taken.client_retry = request["X-Retried"] == "1";
  taken.key = std::string(*wire_id);  // two requests of one id could not be told apart upstream
  taken.message = std::make_shared<const HttpMessage>(std::move(request), std::move(coming));
  taken.on_final = [reply](dispatch::Final final) {
    ComingBody answer = Coming(final);
    reply(ToResponse(final), std::move(answer));
  };
  const auto id = dispatcher_.Submit(std::move(taken));
  if (!id) return bad("X-Request-ID is taken");
  return {[this, id = *id] { dispatcher_.OnClientDisconnected(id); },
          [this, id = *id, patience] { dispatcher_.OnRequestComplete(id, runtime::Now() + patience); }};
}

}  // namespace mothrack::http
