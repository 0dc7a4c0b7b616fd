#include "dns/transport.h"

#include <utility>
#include <vector>

#include "dns/resolver_connection.h"
#include "dns/udp_port.h"

namespace mothrack::dns {
namespace {

using balancer::Outcome;

// Number of attempts after which a shared port is replaced, so that its number does not stay the same for
// long. This costs about a hundredth of one port per attempt.
constexpr unsigned kMaxPortUses = 64;
// If the deadlines of an attempt and its request coincide, the request's timer fires first and cancels the
// attempt just before its own timeout. Such an attempt has timed out all the same, and this must count
// against its resolver.
constexpr runtime::Duration kTimerSlack = std::chrono::milliseconds(1);

std::unique_ptr<ResolverResponse> CopyResponse(Bytes message, const Layout& layout) {
  auto answer = std::make_unique<ResolverResponse>();
  answer->wire.assign(message.begin(), message.end());
  answer->layout = layout;
  return answer;
}

}  // namespace

Transport::Transport(boost::asio::io_context& io, const Settings& settings, runtime::Descriptors& descriptors,
                     Counters& counters)
    : settings_(settings),
      counters_(counters),
      pool_(io, settings, descriptors, random_, events(), counters),
      deadlines_(io, [this](std::uint64_t id) { OnTimeout(dispatch::ExchangeId{id}); }) {}

Transport::~Transport() {
  for (auto& [id, attempt] : attempts_) {
    if (attempt.port) attempt.port->Close();
    if (attempt.connection) attempt.connection->Close();
  }
}

void Transport::Apply(const std::string& uid, const dispatch::Location& location) {
  // Queries that wait for a connection must not be sent after the drain was reported.
  for (const auto& connection : pool_.Apply(uid, location)) {
    for (Attempt* attempt : connection->UnwrittenAttempts()) EndWithoutResponse(*attempt, Outcome::kNotSent);
  }
}

void Transport::Send(dispatch::ExchangeId id, const std::string& uid,
                     std::shared_ptr<const dispatch::Message> message,
                     const dispatch::AttemptTimeouts& timeouts, dispatch::ExchangeHooks hooks) {
  const auto resolver = pool_.FindServing(uid);
  if (!resolver) {
    return hooks.on_end({Outcome::kNotSent, runtime::Duration::zero(), {}, nullptr});
  }
  Attempt& attempt = attempts_[id];
  attempt.id = id;
  attempt.resolver = resolver;
  attempt.query = std::static_pointer_cast<const Query>(message);
  attempt.hooks = std::move(hooks);
  attempt.sent = runtime::Now();
  attempt.deadline = attempt.sent + timeouts.until_begun;
  deadlines_.Set(attempt.deadline, static_cast<std::uint64_t>(id));
  // A query that must not be repeated cannot be sent again over TCP after a truncated response, so it uses
  // the protocol that the client used.
  const Query& query = *attempt.query;
  const bool tcp = query.wire.size() > settings_.edns_size || (query.over_tcp && !query.repeatable);
  if (tcp) {
    SendOverTcp(attempt);
  } else {
    SendOverUdp(attempt);
  }
}

void Transport::SendOverUdp(Attempt& attempt) {
  attempt.port = pool_.PickPort(*attempt.resolver, !attempt.query->repeatable);
  if (!attempt.port) return End(attempt, Outcome::kNotSent, nullptr);
  const auto port = attempt.port;
  const auto sending = port->Send(attempt, random_);
  if (sending == UdpPort::SendResult::kSent) {
    ++counters_.udp_attempts;
    attempt.hooks.on_written();
    if (port->uses() >= kMaxPortUses && !port->exclusive()) {
      std::erase(attempt.resolver->ports, port);
      port->Retire();
    }
    return;
  }
  attempt.port.reset();
  if (port->exclusive()) port->Close();
  End(attempt, sending == UdpPort::SendResult::kNotSent ? Outcome::kNotSent : Outcome::kConnectFailed,
      nullptr);
}

void Transport::SendOverTcp(Attempt& attempt) {
  attempt.connection = pool_.PickConnection(*attempt.resolver);
  if (!attempt.connection) return EndWithoutResponse(attempt, Outcome::kNotSent);
  ++counters_.tcp_attempts;
  attempt.connection->Send(attempt, random_);
}

void Transport::OnResponse(Attempt& attempt, Bytes message, const Layout& layout) {
  if (!layout.truncated()) return End(attempt, OutcomeOf(message, layout), CopyResponse(message, layout));
  // A truncated response over TCP makes no sense. And a query that must not be repeated may have run.
  if (attempt.connection || !attempt.query->repeatable) {
    return End(attempt, Outcome::kError, attempt.query->repeatable ? CopyResponse(message, layout) : nullptr);
  }
  ++counters_.moved_to_tcp;
  attempt.truncated = CopyResponse(message, layout);
  Detach(attempt);
  SendOverTcp(attempt);
}

// A closed port causes an ICMP error for each datagram, but the kernel keeps only one error per socket. If
// several attempts are open on this socket, it is unknown whose error it is.
void Transport::OnUnreachable(UdpPort& port) {
  const auto attempts = port.attempts();
  const Outcome outcome = attempts.size() == 1 ? Outcome::kConnectFailed : Outcome::kReset;
  std::vector<dispatch::ExchangeId> ids;
  ids.reserve(attempts.size());
  for (const Attempt* attempt : attempts) ids.push_back(attempt->id);
  for (const dispatch::ExchangeId id : ids) {
    const auto it = attempts_.find(id);
    if (it != attempts_.end()) End(it->second, outcome, nullptr);
  }
}

void Transport::OnConnectionLost(ResolverConnection& connection) {
  const auto attempts = connection.attempts();
  std::vector<dispatch::ExchangeId> ids;
  ids.reserve(attempts.size());
  for (const Attempt* attempt : attempts) ids.push_back(attempt->id);
  if (!ids.empty()) {
    std::erase_if(attempts_.at(ids.front()).resolver->connections,
                  [&](const auto& candidate) { return candidate.get() == &connection; });
  }
  for (const dispatch::ExchangeId id : ids) {
    const auto it = attempts_.find(id);
    if (it == attempts_.end()) continue;
    EndWithoutResponse(it->second, it->second.written ? Outcome::kReset : Outcome::kConnectFailed);
  }
}

void Transport::OnTimeout(dispatch::ExchangeId id) {
  const auto it = attempts_.find(id);
  if (it == attempts_.end()) return;
  Attempt& attempt = it->second;
  const auto connection = attempt.connection;
  EndWithoutResponse(attempt, connection && !attempt.written ? Outcome::kConnectFailed : Outcome::kTimeout);
  // A silent connection may be dead without notice, so the next query uses another one.
  if (connection) connection->Retire();
}

void Transport::EndWithoutResponse(Attempt& attempt, Outcome outcome) {
  if (!attempt.truncated) return End(attempt, outcome, nullptr);
  // A truncated response is better than none. The resolver has received the query over UDP, so a failure over
  // TCP is its error, unless nothing was sent there, for example because it is leaving.
  const bool is_error = outcome != Outcome::kTimeout && outcome != Outcome::kNotSent;
  End(attempt, is_error ? Outcome::kError : outcome, std::move(attempt.truncated));
}

void Transport::Detach(Attempt& attempt) {
  if (const auto port = std::exchange(attempt.port, nullptr)) port->Remove(attempt);
  if (const auto connection = std::exchange(attempt.connection, nullptr)) connection->Remove(attempt);
}

void Transport::End(Attempt& attempt, Outcome outcome, std::unique_ptr<dispatch::Reply> reply) {
  Detach(attempt);
  const dispatch::ExchangeId id = attempt.id;
  deadlines_.Cancel(attempt.deadline, static_cast<std::uint64_t>(id));
  const auto on_end = std::move(attempt.hooks.on_end);
  const runtime::Duration elapsed = runtime::Now() - attempt.sent;
  attempts_.erase(id);
  on_end({outcome, elapsed, {}, std::move(reply)});
}

void Transport::Probe(dispatch::ExchangeId, const std::string&, OnEnd on_end) {
  // Not used: the settings disable probes. Real queries serve as half-open probes.
  on_end({Outcome::kNotSent, runtime::Duration::zero(), {}, nullptr});
}

void Transport::Cancel(dispatch::ExchangeId id) {
  const auto it = attempts_.find(id);
  if (it == attempts_.end()) return;
  const bool over = runtime::Now() + kTimerSlack >= it->second.deadline;
  End(it->second, over ? Outcome::kTimeout : Outcome::kCancelled, nullptr);
}

// Over UDP a query is written at once. Over TCP, an attempt whose query is not fully written is ended. If a
// truncated UDP response came before, the resolver has received the query, and the outcome reflects that.
void Transport::Abandon(dispatch::ExchangeId id) {
  const auto it = attempts_.find(id);
  if (it == attempts_.end() || !it->second.connection || it->second.written) return;
  EndWithoutResponse(it->second, Outcome::kCancelled);
}

void Transport::CloseIdle(const std::string& uid) { pool_.CloseIdleConnections(uid); }

}  // namespace mothrack::dns
