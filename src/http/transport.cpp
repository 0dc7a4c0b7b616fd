#include "http/transport.h"

#include <utility>
#include <vector>

#include "http/load_report.h"
#include "http/messages.h"

namespace mothrack::http {
namespace {

using balancer::Outcome;

// Probe targets of the protocol. The second one answers with a load report.
constexpr const char* kAliveTarget = "/alive";
constexpr const char* kLoadTarget = "/metrics/load";

}  // namespace

HttpTransport::HttpTransport(boost::asio::io_context& io, const balancer::Limits& limits, bool load_by_probe,
                             runtime::Descriptors& descriptors, runtime::MemoryBudget budget)
    : connect_timeout_(limits.connect_timeout),
      probe_target_(load_by_probe ? kLoadTarget : kAliveTarget),
      budget_(std::move(budget)),
      pools_(io, limits.idle_close, descriptors, counters_) {}

HttpTransport::~HttpTransport() {
  for (const auto& [id, exchange] : open_exchanges_) exchange->Close();
}

void HttpTransport::Apply(const std::string& uid, const dispatch::Location& location) {
  // Requests that were submitted before the drain was reported must not reach the upstream either, so those
  // that wait for a connection are ended.
  if (const auto retired_pool = pools_.Apply(uid, location)) EndUnsent(retired_pool);
}

void HttpTransport::EndUnsent(const std::shared_ptr<UpstreamPool>& pool) {
  std::vector<std::shared_ptr<UpstreamExchange>> unsent;
  for (const auto& [id, exchange] : open_exchanges_) {
    if (exchange->unsent() && exchange->pool() == pool) unsent.push_back(exchange);
  }
  for (const auto& exchange : unsent) {
    exchange->End(ExchangeEnd::kNotSent, ExchangeFailure::kUpstreamGone);
  }
}

void HttpTransport::Send(dispatch::ExchangeId id, const std::string& uid,
                         std::shared_ptr<const dispatch::Message> message,
                         const dispatch::AttemptTimeouts& timeouts, dispatch::ExchangeHooks hooks) {
  auto http_message = std::static_pointer_cast<const HttpMessage>(message);
  auto memory = ExchangeMemory::Take(http_message, budget_);
  auto connection = memory ? pools_.Acquire(uid) : nullptr;
  // A body can only be sent (again) while its stream still holds it from the first byte on.
  if (connection && http_message->streamed_body && !http_message->streamed_body.stream->BeginConsuming()) {
    pools_.Release(std::exchange(connection, nullptr));
  }
  if (!connection) {
    memory.reset();  // first, so that a retry finds it
    return hooks.on_end({Outcome::kNotSent, runtime::Duration::zero(), {}, nullptr});
  }
  UpstreamExchange::Owner& owner = *this;
  const auto exchange = std::make_shared<UpstreamExchange>(
      owner, budget_, std::move(*memory), std::move(connection),
      UpstreamExchange::Request{id, std::move(http_message), connect_timeout_, timeouts}, std::move(hooks));
  open_exchanges_.emplace(id, exchange);
  exchange->Start();
}

void HttpTransport::Probe(dispatch::ExchangeId id, const std::string& uid, OnEnd on_end) {
  ++counters_.probes;
  HttpRequest request(beast_http::verb::get, probe_target_, 11);
  request.set(beast_http::field::host, uid);
  const bool load_in_body = probe_target_ == kLoadTarget;
  Send(id, uid, std::make_shared<HttpMessage>(std::move(request)), {connect_timeout_, connect_timeout_},
       {[] {}, nullptr,
        [load_in_body, on_end = std::move(on_end)](dispatch::ExchangeResult result) {
          if (load_in_body && result.outcome == Outcome::kServed) {
            result.load = ParseLoadReport(static_cast<const HttpReply&>(*result.reply).response.body());
          }
          on_end(std::move(result));
        }});
}

void HttpTransport::Cancel(dispatch::ExchangeId id) {
  const auto it = open_exchanges_.find(id);
  if (it == open_exchanges_.end()) return;
  const auto exchange = it->second;
  exchange->End(ExchangeEnd::kCancelled, ExchangeFailure::kCancelled);
}

void HttpTransport::Abandon(dispatch::ExchangeId id) {
  const auto it = open_exchanges_.find(id);
  if (it == open_exchanges_.end()) return;
  const auto exchange = it->second;
  exchange->Abandon();
}

}  // namespace mothrack::http
