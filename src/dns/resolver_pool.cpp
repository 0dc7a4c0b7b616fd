#include "dns/resolver_pool.h"

#include <chrono>
#include <utility>

#include "dns/resolver_connection.h"
#include "dns/udp_port.h"

namespace mothrack::dns {
namespace {

using balancer::UpstreamState;

// Resolution of the idle timeout.
constexpr auto kSweepInterval = std::chrono::milliseconds(250);
// A further connection is opened if each existing one has at least this many open queries and the bound
// allows it.
constexpr std::size_t kBusyConnection = 16;

}  // namespace

ResolverPool::ResolverPool(boost::asio::io_context& io, const Settings& settings,
                           runtime::Descriptors& descriptors, runtime::SecureRandom& random,
                           AttemptEvents& events, Counters& counters)
    : io_(io),
      settings_(settings),
      descriptors_(descriptors),
      random_(random),
      events_(events),
      counters_(counters),
      poller_(io),
      sweep_timer_(io) {
  ScheduleSweep();
}

ResolverPool::~ResolverPool() {
  for (const auto& [uid, resolver] : resolvers_) {
    for (const auto& port : resolver->ports) port->Close();
    for (const auto& connection : resolver->connections) connection->Close();
  }
}

std::shared_ptr<Resolver> ResolverPool::FindServing(const std::string& uid) const {
  const auto it = resolvers_.find(uid);
  if (it == resolvers_.end() || it->second->location.state != UpstreamState::kServing) return nullptr;
  return it->second;
}

std::vector<std::shared_ptr<ResolverConnection>> ResolverPool::Apply(const std::string& uid,
                                                                     const dispatch::Location& location) {
  auto& entry = resolvers_[uid];
  const bool is_new = !entry;
  if (is_new) entry = std::make_shared<Resolver>();
  const dispatch::Location before = std::exchange(entry->location, location);
  const bool address_changed = !is_new && before.endpoint != location.endpoint;
  const auto old = entry;
  if (address_changed) {
    entry = std::make_shared<Resolver>();
    entry->location = location;
    old->location.state = UpstreamState::kGone;
  }
  if (location.state == UpstreamState::kGone) resolvers_.erase(uid);
  if (old->location.state == UpstreamState::kServing) return {};
  for (const auto& port : std::exchange(old->ports, {})) port->Retire();
  auto connections = std::exchange(old->connections, {});
  for (const auto& connection : connections) connection->Retire();
  return connections;
}

// Picks one of `udp_ports` places at random and opens a socket for a place that has none yet. So a few
// queries each get a port of their own, while many queries share the ports and the ports are replaced over
// time.
std::shared_ptr<UdpPort> ResolverPool::PickPort(Resolver& resolver, bool exclusive) {
  const std::size_t place = exclusive ? 0 : random_.Below(settings_.udp_ports);
  if (!exclusive && place < resolver.ports.size()) return resolver.ports[place];
  const bool needed = exclusive || resolver.ports.empty();
  if (HasDescriptor() || (needed && FreeDescriptor())) {
    auto port = std::make_shared<UdpPort>(io_, poller_, descriptors_, events_, counters_, exclusive);
    if (port->Open(resolver.location.endpoint)) {
      if (!exclusive) resolver.ports.push_back(port);
      return port;
    }
  }
  if (exclusive || resolver.ports.empty()) return nullptr;
  return resolver.ports[random_.Below(resolver.ports.size())];
}

// Picks the connection with the fewest open queries.
std::shared_ptr<ResolverConnection> ResolverPool::PickConnection(Resolver& resolver) {
  if (resolver.location.state != UpstreamState::kServing) return nullptr;
  std::erase_if(resolver.connections, [](const auto& connection) { return !connection->CanAccept(); });
  std::shared_ptr<ResolverConnection> least;
  for (const auto& connection : resolver.connections) {
    if (!least || connection->open() < least->open()) least = connection;
  }
  const bool busy = least && least->open() >= kBusyConnection;
  const bool may_open = !least || (busy && resolver.connections.size() < settings_.tcp_connections);
  if (may_open && (HasDescriptor() || (!least && FreeDescriptor()))) {
    auto connection = std::make_shared<ResolverConnection>(io_, descriptors_, events_, counters_);
    if (connection->Open(resolver.location.endpoint, settings_.connect_timeout)) {
      resolver.connections.push_back(connection);
      return connection;
    }
  }
  return least && least->open() < settings_.max_open_per_connection ? least : nullptr;
}

bool ResolverPool::FreeDescriptor() {
  while (!HasDescriptor()) {
    const IdleSocket idle = LongestIdle();
    if (idle.resolver == nullptr) return false;
    if (idle.port) idle.port->Close();
    if (idle.connection) idle.connection->Close();
    std::erase(idle.resolver->ports, idle.port);
    std::erase(idle.resolver->connections, idle.connection);
  }
  return true;
}

ResolverPool::IdleSocket ResolverPool::LongestIdle() const {
  IdleSocket idle;
  runtime::TimePoint since = runtime::TimePoint::max();
  for (const auto& [uid, resolver] : resolvers_) {
    for (const auto& port : resolver->ports) {
      if (port->open() > 0 || port->idle_since() >= since) continue;
      idle = {resolver.get(), port, nullptr};
      since = port->idle_since();
    }
    for (const auto& connection : resolver->connections) {
      if (connection->open() > 0 || connection->idle_since() >= since) continue;
      idle = {resolver.get(), nullptr, connection};
      since = connection->idle_since();
    }
  }
  return idle;
}

void ResolverPool::CloseIdleConnections(const std::string& uid) {
  const auto it = resolvers_.find(uid);
  if (it == resolvers_.end()) return;
  std::erase_if(it->second->connections, [](const auto& connection) {
    if (connection->open() > 0) return false;
    connection->Close();
    return true;
  });
}

void ResolverPool::ScheduleSweep() {
  sweep_timer_.expires_after(kSweepInterval);
  sweep_timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    CloseIdle();
    ScheduleSweep();
  });
}

void ResolverPool::CloseIdle() {
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
