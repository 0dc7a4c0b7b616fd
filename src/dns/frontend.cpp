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

// An UPDATE that can't be remembered is not taken: forgetting one early could make it run twice.
constexpr std::size_t kMostUpdates = 4096;
// Clients go on sending for a moment after a planned stop began.
constexpr runtime::Duration kTakeWhileDraining = std::chrono::milliseconds(800);
constexpr int kMostPortTries = 50;
constexpr auto kDrainCheck = std::chrono::milliseconds(10);

// Where a client's query and its retransmission are the same: the id and the question, for an UPDATE all but
// the additional section, where a new signature would stand. Two UPDATEs of one zone are not the same.
std::string Name(const Frontend::Client& client, Bytes message, const Layout& layout) {
  const std::size_t end = layout.opcode() == kUpdate ? layout.additional_at : layout.question_end;
  std::string name = client.name;
  name.reserve(name.size() + 3 + end - kHeaderSize);
  name.append(reinterpret_cast<const char*>(message.data()), 2);
  name.push_back(static_cast<char>(layout.opcode()));
  name.append(reinterpret_cast<const char*>(message.data()) + kHeaderSize, end - kHeaderSize);
  return name;
}

ExtendedErrorInfo WhyNot(const dispatch::Final& final, std::uint8_t opcode) {
  if (final.kind == dispatch::Final::Kind::kFailed && opcode == kUpdate) {
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
    : io_(io),
      settings_(settings),
      dispatcher_(dispatcher),
      counters_(counters),
      classifier_(settings.classes),
      drain_check_(io) {
  for (const runtime::Endpoint& endpoint : settings.listen) {
    for (int tries = endpoint.port() == 0 ? kMostPortTries : 1; tries > 0; --tries) {
      auto udp = std::make_unique<UdpServer>(io, endpoint, *this, counters, log);
      // Port 0 takes a free one, the same for both: what is free for UDP may be taken for TCP.
      const runtime::Endpoint same(endpoint.address(), udp->local().port());
      try {
        tcp_.push_back(std::make_unique<TcpServer>(io, same, settings, descriptors, *this, log));
      } catch (const boost::system::system_error&) {
        if (tries == 1) throw;
        continue;
      }
      udp_.push_back(std::move(udp));
      break;
    }
  }
}

Frontend::~Frontend() = default;

std::vector<runtime::Endpoint> Frontend::local() const {
  std::vector<runtime::Endpoint> all;
  for (const auto& server : udp_) all.push_back(server->local());
  return all;
}

Frontend::Handle Frontend::HandleMessage(Bytes message, const Client& client, Respond respond) {
  const bool tcp = client.address.empty();
  ++(tcp ? counters_.tcp_queries : counters_.udp_queries);
  Layout layout;
  const ParseStatus reading = ParseMessage(message, layout);
  // Answering an answer could go on for ever.
  if (reading == ParseStatus::kNoHeader || layout.response()) {
    ++counters_.dropped;
    return nullptr;
  }
  ClientQuery client_query{layout.id, layout.flags};
  const bool whole = reading == ParseStatus::kOk;
  if (whole && layout.edns) {
    client_query.edns = true;
    client_query.dnssec_ok = layout.edns->dnssec_ok;
    client_query.max_response_size =
        std::clamp<std::size_t>(layout.edns->payload, kMaxUdpWithoutEdns, settings_.edns_size);
  }
  if (tcp) client_query.max_response_size = kMaxMessageSize;
  const auto answer = [&](std::uint16_t rcode, const std::optional<ExtendedErrorInfo>& why) -> Handle {
    ++counters_.answers;
    const Bytes question = whole ? Question(message, layout) : Bytes();
    respond(MakeResponse(client_query, question, rcode, why, settings_.edns_size));
    return nullptr;
  };
  const std::uint8_t opcode = layout.opcode();
  if (opcode != kQuery && opcode != kNotify && opcode != kUpdate) return answer(kNotImp, {});
  const bool transfer = opcode == kQuery && (layout.qtype == kAxfr || layout.qtype == kIxfr);
  const bool odd = opcode == kQuery && !transfer && (layout.answers > 0 || layout.authorities > 0);
  if (!whole || layout.questions != 1 || odd) {
    ++counters_.malformed;
    return answer(kFormErr, {});
  }
  if (layout.edns && layout.edns->version > 0) return answer(kBadVers, {});
  if (transfer) return answer(kRefused, ExtendedErrorInfo{kNotSupported, "zone transfers are not passed on"});
  balancer::ClassId class_id{};
  const ClassSettings* known = classifier_.Find(opcode, layout.qtype, class_id);
  if (known == nullptr) return answer(kNotImp, ExtendedErrorInfo{kNotSupported, "no class is set for it"});

  std::string name = Name(client, message, layout);
  if (open_.contains(name)) {
    ++counters_.retransmissions;  // its one answer is on the way
    return nullptr;
  }
  if (opcode == kUpdate) {
    ForgetOldUpdates();
    if (const auto it = updates_.find(name); it != updates_.end()) {
      ++counters_.retransmissions;
      ++counters_.answers;
      respond(it->second);
      return nullptr;
    }
  }
  std::string_view bound;
  if (!MayOpen(client, opcode, bound)) {
    ++counters_.over_bound;
    return answer(kRefused, ExtendedErrorInfo{kNotReady, bound});
  }

  auto query = std::make_shared<Query>();
  query->wire = ToResolverQuery(message, layout, settings_.edns_size);
  query->question_end = static_cast<std::uint16_t>(layout.question_end);
  query->opcode = opcode;
  query->repeatable = known->effect == Effect::kSafe;
  query->over_tcp = tcp;
  const auto it =
      open_.emplace(name, Open{{}, client_query, query, std::move(respond), client.address}).first;
  if (!tcp) ++open_of_[client.address];
  if (opcode == kUpdate) ++open_updates_;

  dispatch::NewRequest taken;
  taken.request_class = class_id;
  taken.deadline = runtime::Now() + known->deadline;
  taken.message = std::move(query);
  taken.on_final = [this, handle = &it->first](dispatch::Final final) { Ended(handle, std::move(final)); };
  const auto id = dispatcher_.Submit(std::move(taken));
  const auto still = open_.find(name);  // it may have ended at once
  if (still == open_.end()) return nullptr;
  still->second.id = *id;
  return &still->first;
}

bool Frontend::MayOpen(const Client& client, std::uint8_t opcode, std::string_view& why) {
  if (open_.size() >= settings_.max_open_queries) {
    why = "too many queries are open";
    return false;
  }
  if (const auto it = open_of_.find(client.address);
      it != open_of_.end() && it->second >= settings_.max_open_per_client) {
    why = "too many queries of this client are open";
    return false;
  }
  if (opcode == kUpdate && updates_.size() + open_updates_ >= kMostUpdates) {
    why = "too many recent updates to remember";
    return false;
  }
  return true;
}

void Frontend::OnClientDisconnected(Handle handle) {
  const auto it = open_.find(*handle);
  if (it == open_.end()) return;
  const balancer::RequestId id = it->second.id;
  Close(handle);
  dispatcher_.OnClientDisconnected(id);
}

void Frontend::Close(Handle handle) {
  const auto it = open_.find(*handle);
  if (!it->second.address.empty()) {
    const auto count = open_of_.find(it->second.address);
    if (--count->second == 0) open_of_.erase(count);
  }
  if (it->second.query->opcode == kUpdate) --open_updates_;
  open_.erase(it);
}

void Frontend::Ended(Handle handle, dispatch::Final final) {
  const auto it = open_.find(*handle);
  const Open& open = it->second;
  Buffer answer = ToAnswer(open, final);
  if (open.query->opcode == kUpdate) Remember(it->first, answer);
  const Respond respond = std::move(it->second.respond);
  Close(handle);
  ++counters_.answers;
  respond(std::move(answer));
}

Buffer Frontend::ToAnswer(const Open& open, const dispatch::Final& final) const {
  if (const auto* reply = static_cast<const ResolverResponse*>(final.reply.get())) {
    return ToClientResponse(reply->wire, reply->layout, open.client_query, settings_.edns_size);
  }
  const Bytes question = Bytes(open.query->wire).subspan(kHeaderSize, open.query->question_end - kHeaderSize);
  // No attempt was made: whoever is told REFUSED asks elsewhere, and may well come back here.
  if (final.kind == dispatch::Final::Kind::kRejected && final.attempts == 0) {
    return MakeResponse(open.client_query, question, kRefused,
                        ExtendedErrorInfo{kNotReady, "no resolver can take it now"}, settings_.edns_size);
  }
  return MakeResponse(open.client_query, question, kServFail, WhyNot(final, open.query->opcode),
                      settings_.edns_size);
}

void Frontend::Remember(const std::string& name, const Buffer& answer) {
  updates_.emplace(name, answer);
  updates_by_age_.emplace_back(runtime::Now(), name);
}

void Frontend::ForgetOldUpdates() {
  const runtime::TimePoint now = runtime::Now();
  while (!updates_by_age_.empty() && now - updates_by_age_.front().first > settings_.update_memory) {
    updates_.erase(updates_by_age_.front().second);
    updates_by_age_.pop_front();
  }
}

void Frontend::Drain(std::function<void()> done) {
  if (drained_) return;
  drained_ = std::move(done);
  drain_started_ = runtime::Now();
  for (const auto& server : tcp_) server->Drain();
  CheckDrained();
}

void Frontend::CheckDrained() {
  const bool over = runtime::Now() - drain_started_ > kTakeWhileDraining;
  if (over) {
    for (const auto& server : udp_) server->StopReceiving();
    for (const auto& server : tcp_) server->StopAccepting();
  }
  const auto done = [](const auto& server) { return server->done(); };
  if (over && open_.empty() && std::all_of(udp_.begin(), udp_.end(), done) &&
      std::all_of(tcp_.begin(), tcp_.end(), done)) {
    return drained_();
  }
  drain_check_.expires_after(kDrainCheck);
  drain_check_.async_wait([this](boost::system::error_code error) {
    if (!error) CheckDrained();
  });
}

}  // namespace mothrack::dns
