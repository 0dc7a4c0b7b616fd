#include "dns/transport.h"

#include <algorithm>
#include <utility>

#include "dns/resolver_connection.h"
#include "dns/udp_port.h"

namespace mothrack::dns {
namespace {

using balancer::Outcome;
using balancer::UpstreamState;

constexpr auto kSweep = std::chrono::milliseconds(250);
// A port takes so many attempts, so that its number does not stay the same for long, at about a hundredth of
// the cost of a port for each.
constexpr unsigned kMostUses = 64;
// An attempt whose time ends with its request's is called off by the request's timer just before its own
// fires: it has timed out all the same, and its resolver must not be spared for that.
constexpr runtime::Duration kTimerSlack = std::chrono::milliseconds(1);
// A connection with so many queries open gets company, as long as there may be more.
constexpr std::size_t kCrowdedLink = 16;

std::unique_ptr<ResolverResponse> Keep(Bytes message, const Layout& layout) {
  auto answer = std::make_unique<ResolverResponse>();
  answer->wire.assign(message.begin(), message.end());
  answer->layout = layout;
  return answer;
}

}  // namespace

Outcome OutcomeOf(Bytes message, const Layout& layout) {
  const std::uint16_t rcode = layout.rcode();
  if (rcode == kRefused) return Outcome::kFull;
  if (rcode != kServFail) return Outcome::kServed;
  // Some failures are the name's, wherever it is asked (RFC 8914 sections 4.6 to 4.13, 4.23): no reason to
  // ask elsewhere, nor to think ill of the resolver.
  const auto why = FindExtendedError(message, layout);
  const bool of_name =
      why && ((*why >= kDnssecIndeterminate && *why <= kNsecMissing) || *why == kNoReachableAuthority);
  return of_name ? Outcome::kServed : Outcome::kError;
}

Transport::Transport(boost::asio::io_context& io, const Settings& settings, runtime::Descriptors& descriptors,
                     Counters& counters)
    : io_(io),
      settings_(settings),
      descriptors_(descriptors),
      counters_(counters),
      poll_(io),
      deadlines_(io, [this](std::uint64_t id) { Expired(dispatch::ExchangeId{id}); }),
      sweep_(io) {
  ScheduleSweep();
}

Transport::~Transport() {
  for (auto& [id, attempt] : attempts_) {
    if (attempt.port) attempt.port->Close();
    if (attempt.connection) attempt.connection->Close();
  }
  for (const auto& [uid, resolver] : resolvers_) {
    for (const auto& port : resolver->ports) port->Close();
    for (const auto& connection : resolver->connections) connection->Close();
  }
}

void Transport::Apply(const std::string& uid, const dispatch::Location& location) {
  auto& entry = resolvers_[uid];
  const bool is_new = !entry;
  if (is_new) entry = std::make_shared<Resolver>();
  const dispatch::Location before = std::exchange(entry->location, location);
  const bool moved = !is_new && before.endpoint != location.endpoint;
  const auto old = entry;
  if (moved) {
    entry = std::make_shared<Resolver>();
    entry->location = location;
    old->location.state = UpstreamState::kGone;
  }
  if (location.state == UpstreamState::kGone) resolvers_.erase(uid);
  if (old->location.state == UpstreamState::kServing) return;
  // Guards a drain against what was asked for before it was told: nothing queued or connecting goes there.
  for (const auto& port : std::exchange(old->ports, {})) port->Retire();
  const auto connections = std::exchange(old->connections, {});
  for (const auto& connection : connections) connection->Retire();
  for (const auto& connection : connections) {
    for (Attempt* attempt : connection->UnwrittenAttempts()) EndWithoutAnswer(*attempt, Outcome::kNotSent);
  }
}

void Transport::Send(dispatch::ExchangeId id, const std::string& uid,
                     std::shared_ptr<const dispatch::Message> message, runtime::Duration timeout,
                     dispatch::ExchangeHooks hooks) {
  const auto it = resolvers_.find(uid);
  if (it == resolvers_.end() || it->second->location.state != UpstreamState::kServing) {
    return hooks.on_end({Outcome::kNotSent, runtime::Duration::zero(), {}, nullptr});
  }
  Attempt& attempt = attempts_[id];
  attempt.id = id;
  attempt.resolver = it->second;
  attempt.query = std::static_pointer_cast<const Query>(message);
  attempt.hooks = std::move(hooks);
  attempt.sent = runtime::Now();
  attempt.deadline = attempt.sent + timeout;
  deadlines_.Set(attempt.deadline, static_cast<std::uint64_t>(id));
  // What must not be repeated can't be followed over TCP once it was truncated: it goes as it came.
  const Query& query = *attempt.query;
  const bool tcp = query.wire.size() > settings_.edns_size || (query.over_tcp && !query.repeatable);
  if (tcp) {
    SendOverTcp(attempt);
  } else {
    SendOverUdp(attempt);
  }
}

void Transport::SendOverUdp(Attempt& attempt) {
  attempt.port = PickPort(*attempt.resolver, !attempt.query->repeatable);
  if (!attempt.port) return End(attempt, Outcome::kNotSent, nullptr);
  const auto port = attempt.port;
  const auto sending = port->Send(attempt, random_);
  if (sending == UdpPort::SendResult::kSent) {
    ++counters_.udp_attempts;
    attempt.hooks.on_written();
    if (port->uses() >= kMostUses && !port->exclusive()) {
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
  attempt.connection = PickLink(*attempt.resolver);
  if (!attempt.connection) return EndWithoutAnswer(attempt, Outcome::kNotSent);
  ++counters_.tcp_attempts;
  attempt.connection->Send(attempt, random_);
}

// One of `udp_ports` places by chance, where a socket is opened for the first that falls there. Few queries
// get a port of their own each, many share and change them.
std::shared_ptr<UdpPort> Transport::PickPort(Resolver& resolver, bool exclusive) {
  const std::size_t place = exclusive ? 0 : random_.Below(settings_.udp_ports);
  if (!exclusive && place < resolver.ports.size()) return resolver.ports[place];
  if (descriptors_.Room(runtime::Descriptors::Side::kUpstream) ||
      ((exclusive || resolver.ports.empty()) && MakeRoom())) {
    auto port = std::make_shared<UdpPort>(io_, poll_, descriptors_, events(), counters_, exclusive);
    if (port->Open(resolver.location.endpoint)) {
      if (!exclusive) resolver.ports.push_back(port);
      return port;
    }
  }
  if (exclusive || resolver.ports.empty()) return nullptr;
  return resolver.ports[random_.Below(resolver.ports.size())];
}

std::shared_ptr<ResolverConnection> Transport::PickLink(Resolver& resolver) {
  if (resolver.location.state != UpstreamState::kServing) return nullptr;
  std::erase_if(resolver.connections, [](const auto& connection) { return !connection->CanAccept(); });
  std::shared_ptr<ResolverConnection> least;
  for (const auto& connection : resolver.connections) {
    if (!least || connection->open() < least->open()) least = connection;
  }
  const bool crowded = least && least->open() >= kCrowdedLink;
  if ((!least || (crowded && resolver.connections.size() < settings_.tcp_connections)) &&
      (descriptors_.Room(runtime::Descriptors::Side::kUpstream) || (!least && MakeRoom()))) {
    auto connection = std::make_shared<ResolverConnection>(io_, descriptors_, events(), counters_);
    if (connection->Open(resolver.location.endpoint, settings_.connect_timeout)) {
      resolver.connections.push_back(connection);
      return connection;
    }
  }
  return least && least->open() < settings_.max_open_per_connection ? least : nullptr;
}

// Closes what has been idle longest; false where nothing is.
bool Transport::MakeRoom() {
  while (!descriptors_.Room(runtime::Descriptors::Side::kUpstream)) {
    std::shared_ptr<UdpPort> port;
    std::shared_ptr<ResolverConnection> connection;
    Resolver* owner = nullptr;
    runtime::TimePoint longest = runtime::TimePoint::max();
    for (const auto& [uid, resolver] : resolvers_) {
      for (const auto& p : resolver->ports) {
        if (p->open() == 0 && p->idle_since() < longest) {
          port = p, connection = nullptr, owner = resolver.get(), longest = p->idle_since();
        }
      }
      for (const auto& l : resolver->connections) {
        if (l->open() == 0 && l->idle_since() < longest) {
          connection = l, port = nullptr, owner = resolver.get(), longest = l->idle_since();
        }
      }
    }
    if (owner == nullptr) return false;
    if (port) port->Close();
    if (connection) connection->Close();
    std::erase(owner->ports, port);
    std::erase(owner->connections, connection);
  }
  return true;
}

void Transport::OnResponse(Attempt& attempt, Bytes message, const Layout& layout) {
  if (!layout.truncated()) return End(attempt, OutcomeOf(message, layout), Keep(message, layout));
  // Over TCP there is no cause for it; and what must not be repeated has perhaps run.
  if (attempt.connection || !attempt.query->repeatable) {
    return End(attempt, Outcome::kError, attempt.query->repeatable ? Keep(message, layout) : nullptr);
  }
  ++counters_.moved_to_tcp;
  attempt.truncated = Keep(message, layout);
  Leave(attempt);
  SendOverTcp(attempt);
}

// A closed port refuses each datagram with an error of its own, but the system keeps only one: with several
// open on this socket nobody knows whose it was.
void Transport::OnUnreachable(UdpPort& port) {
  const auto attempts = port.attempts();
  const Outcome outcome = attempts.size() == 1 ? Outcome::kConnectFailed : Outcome::kReset;
  std::vector<dispatch::ExchangeId> ids;
  for (const Attempt* attempt : attempts) ids.push_back(attempt->id);
  for (const dispatch::ExchangeId id : ids) {
    const auto it = attempts_.find(id);
    if (it != attempts_.end()) End(it->second, outcome, nullptr);
  }
}

void Transport::OnConnectionLost(ResolverConnection& connection) {
  std::vector<dispatch::ExchangeId> ids;
  for (const Attempt* attempt : connection.attempts()) ids.push_back(attempt->id);
  if (!ids.empty()) {
    std::erase_if(attempts_.at(ids.front()).resolver->connections,
                  [&](const auto& l) { return l.get() == &connection; });
  }
  for (const dispatch::ExchangeId id : ids) {
    const auto it = attempts_.find(id);
    if (it == attempts_.end()) continue;
    EndWithoutAnswer(it->second, it->second.written ? Outcome::kReset : Outcome::kConnectFailed);
  }
}

void Transport::Expired(dispatch::ExchangeId id) {
  const auto it = attempts_.find(id);
  if (it == attempts_.end()) return;
  Attempt& attempt = it->second;
  const auto connection = attempt.connection;
  EndWithoutAnswer(attempt, connection && !attempt.written ? Outcome::kConnectFailed : Outcome::kTimeout);
  // A connection that is silent may be dead without a word: the next query takes another.
  if (connection) connection->Retire();
}

void Transport::EndWithoutAnswer(Attempt& attempt, Outcome outcome) {
  if (!attempt.truncated) return End(attempt, outcome, nullptr);
  // The resolver has had the query, whatever became of it over TCP; and half an answer is better than none.
  End(attempt, outcome == Outcome::kTimeout ? outcome : Outcome::kError, std::move(attempt.truncated));
}

void Transport::Leave(Attempt& attempt) {
  if (const auto port = std::exchange(attempt.port, nullptr)) port->Remove(attempt);
  if (const auto connection = std::exchange(attempt.connection, nullptr)) connection->Remove(attempt);
}

void Transport::End(Attempt& attempt, Outcome outcome, std::unique_ptr<dispatch::Reply> reply) {
  Leave(attempt);
  const dispatch::ExchangeId id = attempt.id;
  deadlines_.TakeBack(attempt.deadline, static_cast<std::uint64_t>(id));
  const auto on_end = std::move(attempt.hooks.on_end);
  const runtime::Duration elapsed = runtime::Now() - attempt.sent;
  attempts_.erase(id);
  on_end({outcome, elapsed, {}, std::move(reply)});
}

void Transport::Probe(dispatch::ExchangeId, const std::string&, OnEnd on_end) {
  // Not asked for: the settings allow none. Real queries try a resolver out.
  on_end({Outcome::kNotSent, runtime::Duration::zero(), {}, nullptr});
}

void Transport::Cancel(dispatch::ExchangeId id) {
  const auto it = attempts_.find(id);
  if (it == attempts_.end()) return;
  const bool over = runtime::Now() + kTimerSlack >= it->second.deadline;
  End(it->second, over ? Outcome::kTimeout : Outcome::kCancelled, nullptr);
}

// Over UDP a query is written at once. One that waits for its TCP connection has been had by its resolver
// where that answer was truncated, and ends by what that says.
void Transport::Abandon(dispatch::ExchangeId id) {
  const auto it = attempts_.find(id);
  if (it == attempts_.end() || !it->second.connection || it->second.written) return;
  EndWithoutAnswer(it->second, Outcome::kCancelled);
}

void Transport::CloseIdle(const std::string& uid) {
  const auto it = resolvers_.find(uid);
  if (it == resolvers_.end()) return;
  std::erase_if(it->second->connections, [](const auto& connection) {
    if (connection->open() > 0) return false;
    connection->Close();
    return true;
  });
}

void Transport::ScheduleSweep() {
  sweep_.expires_after(kSweep);
  sweep_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    Sweep();
    ScheduleSweep();
  });
}

void Transport::Sweep() {
  const runtime::TimePoint now = runtime::Now();
  const auto idle = [&](const auto& socket) {
    if (socket->open() > 0 || now - socket->idle_since() < settings_.resolver_idle) return false;
    socket->Close();
    return true;
  };
  for (const auto& [uid, resolver] : resolvers_) {
    std::erase_if(resolver->ports, idle);
    std::erase_if(resolver->connections, idle);
    std::erase_if(resolver->connections, [](const auto& connection) { return connection->closed(); });
  }
}

}  // namespace mothrack::dns
