#include "http/frontend.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <memory>
#include <optional>
#include <utility>

#include "http/hop_by_hop.h"
#include "http/plain_response.h"

namespace mothrack::http {
namespace {

using boost::beast::string_view;
using std::chrono::milliseconds;

// Minimum time between the moment when the client sent the request, which is when its timeout started, and
// the moment when the request was read here.
constexpr runtime::Duration kClientLatency = milliseconds(2);
// A timeout of more than this many deadlines of the request's class is invalid.
constexpr int kMaxDeadlines = 2;

// The name of an error in the log.
std::string_view LogNameOf(ProtocolError error) {
  switch (error) {
    case ProtocolError::kClass:
      return "class";
    case ProtocolError::kMethod:
      return "method";
    case ProtocolError::kId:
      return "id";
    case ProtocolError::kTimeout:
      return "timeout";
    case ProtocolError::kRepeatedId:
      return "repeated_id";
  }
  return "unknown";
}

// The same for the client.
const char* TextOf(ProtocolError error) {
  switch (error) {
    case ProtocolError::kClass:
      return "unknown class";
    case ProtocolError::kMethod:
      return "method or Idempotency-Key does not fit the class";
    case ProtocolError::kId:
      return "missing or bad X-Request-ID";
    case ProtocolError::kTimeout:
      return "missing or bad X-Timeout-Ms";
    case ProtocolError::kRepeatedId:
      return "X-Request-ID is taken";
  }
  return "bad request";
}

// Returns the value of a header field, or nothing if the field is missing or repeated.
std::optional<string_view> SingleValue(const HttpRequest& request, string_view name) {
  const auto range = request.equal_range(name);
  if (range.first == range.second || std::next(range.first) != range.second) return std::nullopt;
  return range.first->value();
}

bool IsVisibleText(string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 127; });
}

bool IsValidId(string_view id) { return !id.empty() && id.size() <= kMaxRequestIdSize && IsVisibleText(id); }

// Whether the method agrees with the effect of the class. A request that contradicts its class might be
// retried although the class forbids it.
bool MethodFitsEffect(const HttpRequest& request, bool has_body, balancer::Effect effect) {
  if (effect == balancer::Effect::kSafe) {
    return request.method() == beast_http::verb::get && !has_body;
  }
  const auto key = SingleValue(request, "Idempotency-Key");
  const bool has_key = key && IsValidId(*key);
  return request.method() == beast_http::verb::post &&
         (effect == balancer::Effect::kKeyed ? has_key : request.count("Idempotency-Key") == 0);
}

template <typename T>
std::optional<T> ParseNumber(string_view text) {
  T value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

string_view FirstSegment(string_view target) {
  if (target.empty() || target.front() != '/') return {};
  target.remove_prefix(1);
  return target.substr(0, target.find_first_of("/?"));
}

HttpResponse ServedResponse(dispatch::FinalAnswer& final) {
  HttpResponse upstream_response = std::move(static_cast<HttpReply&>(*final.reply).response);
  HttpResponse response(beast_http::status::ok, 11);
  response.base() = std::move(upstream_response.base());
  response.body() = std::move(upstream_response.body());
  response.version(11);
  RemoveHopByHop(response);
  return response;
}

HttpResponse RejectedResponse(runtime::Duration retry_after) {
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
  for (const auto& class_settings : settings.classes) {
    range.shortest = std::min(range.shortest, class_settings.deadline);
    range.longest = std::max(range.longest, class_settings.deadline);
  }
  return range;
}

StreamedBody TakeStreamedBody(dispatch::FinalAnswer& final) {
  return final.streaming ? std::move(static_cast<HttpReply&>(*final.reply).streamed_body) : StreamedBody{};
}

HttpResponse ToResponse(dispatch::FinalAnswer& final) {
  switch (final.kind) {
    case dispatch::FinalAnswer::Kind::kServed:
      return ServedResponse(final);
    case dispatch::FinalAnswer::Kind::kRejected:
      return RejectedResponse(final.retry_after);
    case dispatch::FinalAnswer::Kind::kFailed:
      break;
  }
  return final.late ? PlainResponse(beast_http::status::gateway_timeout, "no answer in time")
                    : PlainResponse(beast_http::status::bad_gateway, "upstream failed");
}

}  // namespace

HttpFrontend::HttpFrontend(boost::asio::io_context& io, const runtime::ListenOptions& options,
                           runtime::Descriptors& descriptors, const runtime::MemoryBudget& budget,
                           runtime::Logger& log, dispatch::Dispatcher& dispatcher)
    : dispatcher_(dispatcher),
      listener_(io, options, descriptors, budget, log, DeadlinesOf(dispatcher.settings()),
                [this](HttpRequest&& request, StreamedBody streamed_body, RequestMemory memory,
                       const ReplyCallback& reply) {
                  return Accept(std::move(request), std::move(streamed_body), std::move(memory), reply);
                }) {
  const balancer::Settings& settings = dispatcher.settings();
  for (std::size_t i = 0; i < settings.classes.size(); ++i) {
    classes_.emplace(settings.classes[i].name, balancer::ClassId{i});
  }
  for (std::size_t i = 0; i < settings.tenants.size(); ++i) {
    tenants_.emplace(settings.tenants[i].name, balancer::TenantId{i});
  }
}

RequestObserver HttpFrontend::Accept(HttpRequest&& request, StreamedBody streamed_body, RequestMemory memory,
                                     const ReplyCallback& reply) {
  const runtime::TimePoint now = runtime::Now();
  RemoveHopByHop(request);  // first, because `Connection` may name fields that are checked below
  const bool has_body = streamed_body || !request.body().empty();
  auto parsed = Parse(request, has_body);
  if (const auto* error = std::get_if<ProtocolError>(&parsed)) {
    const string_view id = request["X-Request-ID"];
    Reject({id.data(), std::min(id.size(), kMaxRequestIdSize)}, *error, reply);
    return {};
  }
  auto& attributes = std::get<RequestAttributes>(parsed);
  const runtime::Duration timeout = attributes.timeout;

  dispatch::NewRequest accepted;
  accepted.request_class = attributes.request_class;
  accepted.deadline = now + timeout;
  accepted.arriving = static_cast<bool>(streamed_body);
  accepted.tenant = attributes.tenant;
  accepted.work = attributes.work;
  accepted.client_retry = attributes.client_retry;
  accepted.key = std::move(attributes.id);  // upstreams could not tell two requests with the same id apart
  accepted.message =
      std::make_shared<const HttpMessage>(std::move(request), std::move(streamed_body), std::move(memory));
  accepted.on_final = [reply](dispatch::FinalAnswer final) {
    StreamedBody body = TakeStreamedBody(final);
    reply(ToResponse(final), std::move(body));
  };
  const std::shared_ptr<const dispatch::Message> message = accepted.message;
  const auto id = dispatcher_.Submit(std::move(accepted));
  if (!id) {
    const auto& request_id = static_cast<const HttpMessage&>(*message).request["X-Request-ID"];
    Reject({request_id.data(), request_id.size()}, ProtocolError::kRepeatedId, reply);
    return {};
  }
  return {[this, id = *id] { dispatcher_.OnClientDisconnected(id); },
          [this, id = *id, timeout](runtime::TimePoint last_byte_at) {
            dispatcher_.OnRequestComplete(id, last_byte_at + timeout);
          },
          timeout};
}

// The connection is closed as well.
void HttpFrontend::Reject(std::string_view id, ProtocolError error, const ReplyCallback& reply) {
  listener_.client_log().RequestRejected(id, Rejection::kProtocol, LogNameOf(error), runtime::Now());
  auto response = PlainResponse(beast_http::status::bad_request, TextOf(error));
  response.keep_alive(false);
  reply(std::move(response), {});
}

std::variant<HttpFrontend::RequestAttributes, ProtocolError> HttpFrontend::Parse(const HttpRequest& request,
                                                                                 bool has_body) const {
  const auto named_class = classes_.find(std::string(FirstSegment(request.target())));
  if (named_class == classes_.end()) return ProtocolError::kClass;
  const auto& class_settings = dispatcher_.settings().classes[static_cast<std::size_t>(named_class->second)];
  if (!MethodFitsEffect(request, has_body, class_settings.effect)) {
    return ProtocolError::kMethod;
  }
  const auto id = SingleValue(request, "X-Request-ID");
  if (!id || !IsValidId(*id)) return ProtocolError::kId;
  const auto timeout_text = SingleValue(request, "X-Timeout-Ms");
  const auto timeout_ms = timeout_text ? ParseNumber<std::uint32_t>(*timeout_text) : std::nullopt;
  if (!timeout_ms || *timeout_ms == 0 ||
      milliseconds(*timeout_ms) > kMaxDeadlines * class_settings.deadline) {
    return ProtocolError::kTimeout;
  }

  RequestAttributes attributes;
  attributes.request_class = named_class->second;
  attributes.id = std::string(*id);
  attributes.timeout =
      std::max<runtime::Duration>(milliseconds(*timeout_ms) - kClientLatency, milliseconds(1));
  if (const auto tenant = tenants_.find(std::string(request["X-Tenant-Id"])); tenant != tenants_.end()) {
    attributes.tenant = tenant->second;
  }
  if (const auto cost = ParseNumber<std::uint32_t>(request["X-Cost"])) {
    attributes.work = runtime::Duration(*cost);
  }
  attributes.client_retry = request["X-Retried"] == "1";
  return attributes;
}

}  // namespace mothrack::http
