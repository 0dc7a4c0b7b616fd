#include "standins/relay_connections.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <stdexcept>

#include "support/loopback.h"

namespace mothrack::testing::relay {
namespace {

constexpr std::size_t kMaxConnections = 4'096;

bool ConnectNonBlocking(int fd, std::uint16_t port) {
  const sockaddr_in to = LoopbackAddress(port);
  return ::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0 || errno == EINPROGRESS;
}

void SetNoDelay(int fd) {
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}  // namespace

ConnectionRelay::~ConnectionRelay() {
  while (!connections_.empty()) Close(connections_.begin()->first, false);
  for (const auto& [fd, listener] : listeners_) ::close(fd);
}

std::uint16_t ConnectionRelay::Listen(Link& forward, Link& backward, std::uint16_t real_port) {
  std::uint16_t port = 0;
  const int fd = OpenLoopbackSocket(SOCK_STREAM, port);
  if (::listen(fd, SOMAXCONN) != 0) throw std::runtime_error("the relay cannot listen on its TCP port");
  listeners_[fd] = {&forward, &backward, real_port};
  poller_.Add(fd, EPOLLIN);
  return port;
}

void ConnectionRelay::Accept(int listener_fd) {
  const Listener& listener = listeners_.at(listener_fd);
  for (int fd = 0; (fd = ::accept4(listener_fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;) {
    ++listener.forward->counts.connections;
    if (connections_.size() < kMaxConnections) {
      Add(fd, listener);
      continue;
    }
    ResetOnClose(fd);
    ::close(fd);
    ++listener.forward->counts.resets;
  }
}

void ConnectionRelay::Add(int client, const Listener& listener) {
  auto connection = std::make_unique<Connection>(listener);
  connection->client.fd = client;
  connection->client.events = EPOLLIN;
  connection->connect_at = Clock::now() + listener.forward->faults.delay;
  poller_.Add(client, EPOLLIN);
  by_socket_[client] = connection.get();
  connections_[client] = std::move(connection);
}

void ConnectionRelay::Connect(Connection& connection) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  connection.server.fd = fd;
  connection.connecting = true;
  if (fd < 0 || !ConnectNonBlocking(fd, connection.real_port)) {
    Close(connection.client.fd, true);
    return;
  }
  SetNoDelay(connection.client.fd);
  SetNoDelay(fd);
  connection.server.events = EPOLLOUT;
  poller_.Add(fd, EPOLLOUT);
  by_socket_[fd] = &connection;
}

bool ConnectionRelay::FinishConnecting(Connection& connection) {
  int error = 0;
  socklen_t size = sizeof error;
  ::getsockopt(connection.server.fd, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) return false;
  connection.connecting = false;
  return true;
}

void ConnectionRelay::HandleEvents(int fd, std::uint32_t events, Clock::time_point now) {
  const auto it = by_socket_.find(fd);
  if (it == by_socket_.end()) return;
  Connection& connection = *it->second;
  Side& side = fd == connection.client.fd ? connection.client : connection.server;
  const bool failed = (events & EPOLLERR) != 0;
  const bool hung_up = (events & EPOLLHUP) != 0;
  if (&side == &connection.server && connection.connecting &&
      (events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) != 0 && !FinishConnecting(connection)) {
    return Close(connection.client.fd, true);
  }
  if (failed) {
    // A reset does not cross a cut link either: the far end does not see it until the cut ends.
    if (!side.outgoing.link().IsCut()) return Close(connection.client.fd, true);
    side.was_reset = true;
    side.incoming.Abandon();
    side.outgoing.End();
  }
  if (failed || (hung_up && side.outgoing.ended())) return StopWatching(side);
  if ((events & EPOLLOUT) != 0) side.incoming.Unblock();
  if (((events & EPOLLIN) != 0 || hung_up) && !side.outgoing.ended() &&
      side.outgoing.Receive(fd, buffer_, now) == Stream::IoResult::kFailed) {
    Close(connection.client.fd, true);
  }
}

void ConnectionRelay::StopWatching(Side& side) const {
  poller_.Remove(side.fd);  // otherwise epoll would report the error or hang-up on every wait
  side.watched = false;
  side.incoming.Unblock();
}

void ConnectionRelay::Advance() {
  std::vector<int> clients;
  for (const auto& [fd, connection] : connections_) clients.push_back(fd);
  for (const int fd : clients) Advance(*connections_.at(fd), Clock::now());
}

void ConnectionRelay::Advance(Connection& connection, Clock::time_point now) {
  const Link& link = connection.forward.link();
  if (link.faults.reset_connections) return Close(connection.client.fd, true);
  if (connection.server.fd < 0 && !link.IsCut() && connection.connect_at <= now) return Connect(connection);
  const bool established = connection.server.fd >= 0 && !connection.connecting;
  if (established && !Exchange(connection, now)) return;
  UpdateInterest(connection);
}

bool ConnectionRelay::Exchange(Connection& connection, Clock::time_point now) {
  const auto close = [&](bool reset) {
    Close(connection.client.fd, reset);
    return false;
  };
  for (const Side* side : {&connection.client, &connection.server}) {
    // One side was reset while the link was cut: now the other side is reset as well.
    if (side->was_reset && !side->outgoing.link().IsCut()) return close(true);
  }
  for (const Side* side : {&connection.server, &connection.client}) {
    Stream& stream = side->incoming;
    if (stream.link().IsCut() || stream.done()) continue;
    if (stream.Deliver(side->fd, now) == Stream::IoResult::kFailed) return close(true);
  }
  const bool any_reset = connection.client.was_reset || connection.server.was_reset;
  return connection.forward.done() && connection.backward.done() && !any_reset ? close(false) : true;
}

Clock::time_point ConnectionRelay::NextDue() const {
  Clock::time_point next = Clock::time_point::max();
  for (const auto& [fd, connection] : connections_) next = std::min(next, NextDueOf(*connection));
  return next;
}

Clock::time_point ConnectionRelay::NextDueOf(const Connection& connection) {
  if (connection.server.fd < 0) {
    return connection.forward.link().IsCut() ? Clock::time_point::max() : connection.connect_at;
  }
  if (connection.connecting) return Clock::time_point::max();
  return std::min(connection.forward.NextDue(), connection.backward.NextDue());
}

void ConnectionRelay::Reschedule() {
  for (const auto& [fd, connection] : connections_) {
    for (Stream* stream : {&connection->forward, &connection->backward}) {
      if (stream->link().faults_changed) stream->Reschedule();
    }
  }
}

void ConnectionRelay::Reset(const std::string& from, const std::string& to) {
  std::vector<int> selected;
  for (const auto& [fd, connection] : connections_) {
    const Link& link = connection->forward.link();
    if (Selects(from, link.from()) && Selects(to, link.to())) selected.push_back(fd);
  }
  for (const int fd : selected) Close(fd, true);
}

void ConnectionRelay::UpdateInterest(Connection& connection) const {
  UpdateInterest(connection.client, false);
  UpdateInterest(connection.server, connection.connecting);
}

void ConnectionRelay::UpdateInterest(Side& side, bool connecting) const {
  if (side.fd < 0 || !side.watched) return;
  std::uint32_t events = 0;
  if (!side.outgoing.ended() && side.outgoing.HasRoom() && !connecting) events |= EPOLLIN;
  if (connecting || side.incoming.blocked()) events |= EPOLLOUT;
  if (events == side.events) return;
  side.events = events;
  poller_.Change(side.fd, events);
}

void ConnectionRelay::Close(int client, bool reset) {
  const auto it = connections_.find(client);
  if (it == connections_.end()) return;
  const Connection& connection = *it->second;
  if (reset) ++connection.forward.link().counts.resets;
  for (const int fd : {connection.client.fd, connection.server.fd}) {
    if (fd < 0) continue;
    if (reset) ResetOnClose(fd);
    by_socket_.erase(fd);
    ::close(fd);
  }
  connections_.erase(it);
}

}  // namespace mothrack::testing::relay
