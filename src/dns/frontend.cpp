#include "dns/frontend.h"

#include <algorithm>
#include <boost/system/system_error.hpp>
#include <utility>

#include "dns/tcp_server.h"
#include "dns/udp_server.h"

namespace mothrack::dns {
namespace {

using balancer::Effect;
using balancer::Outcome;

// Bound on UPDATEs that are open or cached. A further one is refused, because forgetting a cached one early
// could let it run twice.
constexpr std::size_t kMaxRecentUpdates = 4096;
// Clients keep sending for a moment after a planned stop began, so queries are accepted this long.
constexpr runtime::Duration kAcceptWhileDraining = std::chrono::milliseconds(800);
// Port 0 requests a free port, which must be the same for UDP and TCP. A port that is free for UDP may be in
// use for TCP, so several are tried.
constexpr int kMaxPortAttempts = 50;
constexpr auto kDrainCheckInterval = std::chrono::milliseconds(10);

// Content of a response that the front end generates itself.
struct Rejection {
  std::uint16_t rcode = kFormErr;
  std::optional<ExtendedErrorInfo> why;
};

// Key that is equal for a query and its retransmission. It consists of the client, the id, the opcode and the
// question. For an UPDATE it covers all sections except the additional one: two UPDATEs of one zone differ in
// the other sections, and the additional section may hold a new signature.
std::string QueryKey(const Frontend::Client& client, Bytes message, const Layout& layout) {
  const std::size_t end = layout.opcode() == kUpdate ? layout.additional_at : layout.question_end;
  std::string key = client.name;
  key.reserve(key.size() + 3 + end - kHeaderSize);
  key.append(reinterpret_cast<const char*>(message.data()), 2);
  key.push_back(static_cast<char>(layout.opcode()));
  key.append(reinterpret_cast<const char*>(message.data()) + kHeaderSize, end - kHeaderSize);
  return key;
}

// Returns nothing if the query can be forwarded.
std::optional<Rejection> Validate(const Layout& layout, bool well_formed) {
  const std::uint8_t opcode = layout.opcode();
  if (opcode != kQuery && opcode != kNotify && opcode != kUpdate) return Rejection{kNotImp, {}};
  const bool transfer = opcode == kQuery && (layout.qtype == kAxfr || layout.qtype == kIxfr);
  const bool has_records = opcode == kQuery && !transfer && (layout.answers > 0 || layout.authorities > 0);
  if (!well_formed || layout.questions != 1 || has_records) return Rejection{kFormErr, {}};
  if (layout.edns && layout.edns->version > 0) return Rejection{kBadVers, {}};
  if (transfer) {
    return Rejection{kRefused, ExtendedErrorInfo{kNotSupported, "zone transfers are not passed on"}};
  }
  return std::nullopt;
}

ExtendedErrorInfo ExplainFailure(const dispatch::FinalAnswer& final, std::uint8_t opcode) {
  if (final.kind == dispatch::FinalAnswer::Kind::kFailed && opcode == kUpdate) {
    return {kOtherError, "no answer from the resolver: the update may have been made"};
  }
  if (final.last == Outcome::kTimeout || final.late || !final.last) {
    return {kNoReachableAuthority, "no resolver answered in time"};
  }
  if (final.last == Outcome::kConnectFailed || final.last == Outcome::kNotSent) {
    return {kNetworkError, "no resolver could be reached, nothing was done"};
  }
  return {kNetworkError, "the resolvers gave no usable answer"};
}

}  // namespace

Frontend::Frontend(boost::asio::io_context& io, const Settings& settings, runtime::Descriptors& descriptors,
                   runtime::Logger& log, dispatch::Dispatcher& dispatcher, Counters& counters)
    : settings_(settings),
      dispatcher_(dispatcher),
      counters_(counters),
      classifier_(settings.classes),
      recent_updates_(settings.update_memory),
      drain_check_(io) {
  for (const runtime::Endpoint& endpoint : settings.listen) Listen(io, endpoint, descriptors, log);
}

Frontend::~Frontend() = default;

void Frontend::Listen(boost::asio::io_context& io, const runtime::Endpoint& endpoint,
                      runtime::Descriptors& descriptors, runtime::Logger& log) {
  for (int attempts = endpoint.port() == 0 ? kMaxPortAttempts : 1; attempts > 0; --attempts) {
    auto udp = std::make_unique<UdpServer>(io, endpoint, *this, counters_, log);
    const runtime::Endpoint same_port(endpoint.address(), udp->local().port());
    try {
      tcp_.push_back(std::make_unique<TcpServer>(io, same_port, settings_, descriptors, *this, log));
    } catch (const boost::system::system_error&) {
      if (attempts == 1) throw;
      continue;
    }
    udp_.push_back(std::move(udp));
    return;
  }
}

std::vector<runtime::Endpoint> Frontend::local() const {
  std::vector<runtime::Endpoint> all;
  all.reserve(udp_.size());
  for (const auto& server : udp_) all.push_back(server->local());
  return all;
}

Frontend::Handle Frontend::HandleMessage(Bytes message, const Client& client, Respond respond) {
  const bool tcp = client.address.empty();
  ++(tcp ? counters_.tcp_queries : counters_.udp_queries);
  Layout layout;
  const ParseStatus status = ParseMessage(message, layout);
  // A response is never answered, because that could loop forever.
  if (status == ParseStatus::kNoHeader || layout.response()) {
    ++counters_.dropped;
    return nullptr;
  }
  const bool well_formed = status == ParseStatus::kOk;
  const ClientQuery client_query = DescribeQuery(layout, well_formed, tcp);
  const auto reject = [&](const Rejection& rejection) -> Handle {
    ++counters_.answers;
    if (rejection.rcode == kFormErr) ++counters_.malformed;
    const Bytes question = well_formed ? Question(message, layout) : Bytes();
    respond(MakeResponse(client_query, question, rejection.rcode, rejection.why, settings_.edns_size));
    return nullptr;
  };
  if (const auto rejection = Validate(layout, well_formed)) return reject(*rejection);
  const std::uint8_t opcode = layout.opcode();
  balancer::ClassId class_id{};
  const ClassSettings* class_settings = classifier_.Find(opcode, layout.qtype, class_id);
  if (class_settings == nullptr) {
    return reject({kNotImp, ExtendedErrorInfo{kNotSupported, "no class is set for it"}});
  }
  const std::string key = QueryKey(client, message, layout);
  if (AnswerRetransmission(key, opcode, respond)) return nullptr;
  if (const auto limit = ReachedLimit(client, opcode)) {
    ++counters_.over_bound;
    return reject({kRefused, ExtendedErrorInfo{kNotReady, Describe(*limit)}});
  }

  auto query = std::make_shared<Query>();
  query->wire = ToResolverQuery(message, layout, settings_.edns_size);
  query->question_end = static_cast<std::uint16_t>(layout.question_end);
  query->opcode = opcode;
  query->repeatable = class_settings->effect == Effect::kSafe;
  query->over_tcp = tcp;
  return Forward(key, OpenQuery{{}, client_query, std::move(query), std::move(respond), client.address},
                 *class_settings, class_id);
}

ClientQuery Frontend::DescribeQuery(const Layout& layout, bool well_formed, bool tcp) const {
  ClientQuery client_query{layout.id, layout.flags};
  if (well_formed && layout.edns) {
    client_query.edns = true;
    client_query.dnssec_ok = layout.edns->dnssec_ok;
    client_query.max_response_size =
        std::clamp<std::size_t>(layout.edns->payload, kMaxUdpWithoutEdns, settings_.edns_size);
  }
  if (tcp) client_query.max_response_size = kMaxMessageSize;
  return client_query;
}

// Returns true if the query is already open, so that its one response is still to come, or if it repeats an
// UPDATE that was answered recently, which gets the cached response.
bool Frontend::AnswerRetransmission(const std::string& key, std::uint8_t opcode, const Respond& respond) {
  if (open_.Contains(key)) {
    ++counters_.retransmissions;
    return true;
  }
  if (opcode != kUpdate) return false;
  recent_updates_.Expire();
  const Buffer* response = recent_updates_.Find(key);
  if (response == nullptr) return false;
  ++counters_.retransmissions;
  ++counters_.answers;
  respond(*response);
  return true;
}

std::optional<Frontend::Limit> Frontend::ReachedLimit(const Client& client, std::uint8_t opcode) const {
  if (open_.size() >= settings_.max_open_queries) return Limit::kOpenQueries;
  const std::size_t of_client = open_.SizeOf(client.address);
  if (of_client > 0 && of_client >= settings_.max_open_per_client) return Limit::kOpenQueriesOfClient;
  if (opcode == kUpdate && recent_updates_.size() + open_.updates() >= kMaxRecentUpdates) {
    return Limit::kRecentUpdates;
  }
  return std::nullopt;
}

std::string_view Frontend::Describe(Limit limit) {
  switch (limit) {
    case Limit::kOpenQueries:
      return "too many queries are open";
    case Limit::kOpenQueriesOfClient:
      return "too many queries of this client are open";
    case Limit::kRecentUpdates:
      return "too many recent updates to remember";
  }
  return {};
}

Frontend::Handle Frontend::Forward(const std::string& key, OpenQuery query,
                                   const ClassSettings& class_settings, balancer::ClassId class_id) {
  dispatch::NewRequest request;
  request.request_class = class_id;
  request.message = query.query;
  const Handle handle = open_.Insert(key, std::move(query));
  request.deadline = runtime::Now() + class_settings.deadline;
  request.on_final = [this, handle](const dispatch::FinalAnswer& final) { OnFinal(handle, final); };
  const auto id = dispatcher_.Submit(std::move(request));
  OpenQuery* open = open_.Find(key);
  if (open == nullptr) return nullptr;  // it was answered before Submit() returned
  open->id = *id;
  return handle;
}

void Frontend::OnClientDisconnected(Handle handle) {
  const OpenQuery* open = open_.Find(*handle);
  if (open == nullptr) return;
  const balancer::RequestId id = open->id;
  open_.Remove(handle);
  dispatcher_.OnClientDisconnected(id);
}

void Frontend::OnFinal(Handle handle, const dispatch::FinalAnswer& final) {
  OpenQuery* open = open_.Find(*handle);
  Buffer response = ResponseFor(*open, final);
  if (open->query->opcode == kUpdate) recent_updates_.Insert(*handle, response);
  const Respond respond = std::move(open->respond);
  open_.Remove(handle);
  ++counters_.answers;
  respond(std::move(response));
}

Buffer Frontend::ResponseFor(const OpenQuery& open, const dispatch::FinalAnswer& final) const {
  if (const auto* reply = static_cast<const ResolverResponse*>(final.reply.get())) {
    return ToClientResponse(reply->wire, reply->layout, open.client_query, settings_.edns_size);
  }
  const Bytes question = Bytes(open.query->wire).subspan(kHeaderSize, open.query->question_end - kHeaderSize);
  // No attempt was made. REFUSED makes the client ask another server; it may well return here later.
  if (final.kind == dispatch::FinalAnswer::Kind::kRejected && final.attempts == 0) {
    return MakeResponse(open.client_query, question, kRefused,
                        ExtendedErrorInfo{kNotReady, "no resolver can take it now"}, settings_.edns_size);
  }
  return MakeResponse(open.client_query, question, kServFail, ExplainFailure(final, open.query->opcode),
                      settings_.edns_size);
}

void Frontend::Drain(std::function<void()> done) {
  if (drained_) return;
  drained_ = std::move(done);
  drain_started_ = runtime::Now();
  for (const auto& server : tcp_) server->Drain();
  CheckDrained();
}

void Frontend::CheckDrained() {
  const bool closed = runtime::Now() - drain_started_ > kAcceptWhileDraining;
  if (closed) {
    for (const auto& server : udp_) server->StopReceiving();
    for (const auto& server : tcp_) server->StopAccepting();
  }
  const auto done = [](const auto& server) { return server->done(); };
  if (closed && open_.size() == 0 && std::all_of(udp_.begin(), udp_.end(), done) &&
      std::all_of(tcp_.begin(), tcp_.end(), done)) {
    return drained_();
  }
  drain_check_.expires_after(kDrainCheckInterval);
  drain_check_.async_wait([this](boost::system::error_code error) {
    if (!error) CheckDrained();
  });
}

}  // namespace mothrack::dns
