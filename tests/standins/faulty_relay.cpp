#include "standins/faulty_relay.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <sstream>
#include <stdexcept>

#include "support/loopback.h"

namespace mothrack::testing {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::size_t kMostBuffer = 65'536;  // of one read
constexpr std::size_t kHeaders = 28;  // that a datagram has on the wire: an empty one takes room as well
constexpr std::size_t kMostConnections = 4'096;  // beyond them, new ones are reset
constexpr std::uint32_t kOff = EPOLLERR;  // in place of events: the system is asked for nothing any more
constexpr int kMostAtOnce = 256;        // datagrams of one socket in one turn, so that none starves the rest
constexpr int kKernelBuffer = 1 << 20;  // what the system may hold while the thread is not scheduled

int Socket(int type, std::uint16_t& port) {
  const int fd = ::socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0 || !BindLoopback(fd, 0) || (port = LocalPort(fd)) == 0) {
    throw std::runtime_error("the relay gets no socket");
  }
  return fd;
}

// Its own for each link, and the same whatever the order in which links first carry something.
std::mt19937_64 RandomOf(std::uint64_t seed, const std::string& from, const std::string& to) {
  std::vector<std::uint32_t> words = {static_cast<std::uint32_t>(seed),
                                      static_cast<std::uint32_t>(seed >> 32)};
  for (const char c : from + '>' + to) words.push_back(static_cast<unsigned char>(c));
  std::seed_seq sequence(words.begin(), words.end());
  return std::mt19937_64(sequence);
}

// Not by a distribution of the library, whose draws differ from one library to the next.
double Share(std::mt19937_64& random) { return static_cast<double>(random() >> 11) * 0x1p-53; }

}  // namespace

FaultyRelay::Counts& FaultyRelay::Counts::operator+=(const Counts& other) {
  received += other.received, delivered += other.delivered, bytes += other.bytes;
  lost += other.lost, cut += other.cut, queue_full += other.queue_full, send_errors += other.send_errors;
  duplicated += other.duplicated, reordered += other.reordered;
  connections += other.connections, resets += other.resets, tcp_bytes += other.tcp_bytes;
  return *this;
}

FaultyRelay::FaultyRelay(std::uint64_t seed) : seed_(seed), buffer_(kMostBuffer) {
  epoll_ = ::epoll_create1(EPOLL_CLOEXEC);
  wake_ = ::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  epoll_event event{EPOLLIN, {.fd = wake_}};
  if (epoll_ < 0 || wake_ < 0 || ::epoll_ctl(epoll_, EPOLL_CTL_ADD, wake_, &event) != 0) {
    throw std::runtime_error("the relay can't wait");
  }
  thread_ = std::thread([this] { Loop(); });
}

FaultyRelay::~FaultyRelay() {
  stopping_ = true;
  Wake();
  thread_.join();
  while (!connections_.empty()) Close(connections_.begin()->first, false);
  for (const auto& [fd, entry] : tcp_ports_) ::close(fd);
  for (const auto& [name, end] : endpoints_) {
    if (end->fd >= 0) ::close(end->fd);
  }
  ::close(wake_);
  ::close(epoll_);
}

std::uint16_t FaultyRelay::AddEndpoint(const std::string& name, const std::vector<std::string>& groups,
                                       std::uint16_t udp_port) {
  const std::lock_guard lock(mutex_);
  auto& end = endpoints_[name];
  if (end != nullptr) throw std::logic_error("the relay has two ends " + name);
  end = std::make_unique<Endpoint>(Endpoint{name, groups, udp_port, 0, -1, 0});
  if (udp_port == 0) return 0;
  end->fd = Socket(SOCK_DGRAM, end->advertised);
  ::setsockopt(end->fd, SOL_SOCKET, SO_RCVBUF, &kKernelBuffer, sizeof kKernelBuffer);
  by_real_[udp_port] = by_fd_[end->fd] = end.get();
  epoll_event event{EPOLLIN, {.fd = end->fd}};
  ::epoll_ctl(epoll_, EPOLL_CTL_ADD, end->fd, &event);
  return end->advertised;
}

void FaultyRelay::MoveEndpoint(const std::string& name, std::uint16_t udp_port) {
  const std::lock_guard lock(mutex_);
  Endpoint& end = EndpointOf(name);
  by_real_.erase(end.real);
  end.real = udp_port;
  by_real_[udp_port] = &end;
}

std::uint16_t FaultyRelay::advertised_port(const std::string& name) const {
  const std::lock_guard lock(mutex_);
  return endpoints_.at(name)->advertised;
}

std::uint16_t FaultyRelay::AddTcpPort(const std::string& from, const std::string& to,
                                      std::uint16_t real_port) {
  const std::lock_guard lock(mutex_);
  Endpoint& a = EndpointOf(from);
  Endpoint& b = EndpointOf(to);
  std::uint16_t port = 0;
  const int fd = Socket(SOCK_STREAM, port);
  if (::listen(fd, SOMAXCONN) != 0) throw std::runtime_error("the relay can't listen");
  tcp_ports_[fd] = {&LinkOf(a, b), &LinkOf(b, a), real_port};
  epoll_event event{EPOLLIN, {.fd = fd}};
  ::epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event);
  return port;
}

bool FaultyRelay::Selects(const std::string& selector, const Endpoint& end) {
  return selector == "*" || selector == end.name ||
         std::ranges::find(end.groups, selector) != end.groups.end();
}

bool FaultyRelay::IsCut(const Link& link) { return link.faults.cut || link.from->side != link.to->side; }

FaultyRelay::Endpoint& FaultyRelay::EndpointOf(const std::string& name) {
  const auto it = endpoints_.find(name);
  if (it == endpoints_.end()) throw std::logic_error("the relay has no end " + name);
  return *it->second;
}

FaultyRelay::Link& FaultyRelay::LinkOf(Endpoint& from, Endpoint& to) {
  auto& link = links_[{from.name, to.name}];
  if (link == nullptr) {
    link = std::make_unique<Link>();
    link->from = &from;
    link->to = &to;
    link->random = RandomOf(seed_, from.name, to.name);
  }
  return *link;
}

void FaultyRelay::EachLink(const std::string& from, const std::string& to,
                           const std::function<void(Link&)>& call) {
  bool any = false;
  for (const auto& [a, from_end] : endpoints_) {
    for (const auto& [b, to_end] : endpoints_) {
      if (a == b || !Selects(from, *from_end) || !Selects(to, *to_end)) continue;
      call(LinkOf(*from_end, *to_end));
      any = true;
    }
  }
  // A fault that is set nowhere would prove what it is meant to test.
  if (!any) throw std::logic_error("the relay has no link from " + from + " to " + to);
}

void FaultyRelay::ChangeFaults(const std::string& from, const std::string& to,
                               const std::function<void(Faults&)>& change) {
  const std::lock_guard lock(mutex_);
  EachLink(from, to, [&](Link& link) { change(link.faults), link.changed = true; });
  RescheduleQueued();
  Wake();
}

void FaultyRelay::Cut(const std::string& from, const std::string& to) {
  ChangeFaults(from, to, [](Faults& faults) { faults.cut = true; });
}

void FaultyRelay::Restore(const std::string& from, const std::string& to) {
  ChangeFaults(from, to, [](Faults& faults) { faults.cut = false; });
}

void FaultyRelay::Partition(const std::vector<std::vector<std::string>>& sides) {
  const std::lock_guard lock(mutex_);
  for (const auto& [name, end] : endpoints_) {
    end->side = 0;
    for (std::size_t i = 0; i < sides.size(); ++i) {
      for (const std::string& selector : sides[i]) {
        if (Selects(selector, *end)) end->side = i + 1;
      }
    }
  }
  Wake();  // what is queued is looked at when it is due
}

void FaultyRelay::Heal() { Partition({}); }

void FaultyRelay::ClearFaults() {
  Heal();
  const std::lock_guard lock(mutex_);
  for (const auto& [pair, link] : links_) link->faults = {}, link->changed = true;
  RescheduleQueued();
  Wake();
}

void FaultyRelay::ResetConnections(const std::string& from, const std::string& to) {
  const std::lock_guard lock(mutex_);
  std::vector<int> over;
  for (const auto& [fd, connection] : connections_) {
    const Link& link = *connection->there.link;
    if (Selects(from, *link.from) && Selects(to, *link.to)) over.push_back(fd);
  }
  for (const int fd : over) Close(fd, true);
}

FaultyRelay::Counts FaultyRelay::counts(const std::string& from, const std::string& to) const {
  const std::lock_guard lock(mutex_);
  Counts all;
  for (const auto& [pair, link] : links_) {
    if (Selects(from, *link->from) && Selects(to, *link->to)) all += link->counts;
  }
  return all;
}

std::uint64_t FaultyRelay::unknown_senders() const {
  const std::lock_guard lock(mutex_);
  return unknown_senders_;
}

std::size_t FaultyRelay::queued_bytes() const {
  const std::lock_guard lock(mutex_);
  std::size_t bytes = 0;
  for (const auto& [pair, link] : links_) bytes += link->queued_bytes;
  return bytes;
}

std::string FaultyRelay::Describe() const {
  const std::lock_guard lock(mutex_);
  std::ostringstream text;
  for (const auto& [pair, link] : links_) {
    const Counts& c = link->counts;
    if (c.lost + c.cut + c.queue_full + c.send_errors + c.duplicated + c.reordered + c.resets == 0) continue;
    text << pair.first << " > " << pair.second << ": " << c.received << " came, " << c.delivered
         << " delivered; dropped " << c.lost << " by chance, " << c.cut << " by a cut, " << c.queue_full
         << " for room, " << c.send_errors << " by the system; repeated " << c.duplicated << ", reordered "
         << c.reordered << "; TCP " << c.connections << " connections, " << c.resets << " reset\n";
  }
  if (unknown_senders_ > 0) text << unknown_senders_ << " datagrams of strangers\n";
  return text.str();
}

FaultyRelay::Clock::time_point FaultyRelay::Schedule(Link& link, Clock::time_point came, std::size_t size,
                                                     microseconds extra, bool ordered) {
  Clock::time_point sent = came;
  if (link.faults.bytes_per_s > 0) {
    const double seconds = static_cast<double>(size) / static_cast<double>(link.faults.bytes_per_s);
    sent = std::max(came, link.free) + microseconds(static_cast<std::int64_t>(seconds * 1e6));
    link.free = sent;
  }
  Clock::time_point due = sent + link.faults.delay + extra;
  if (ordered) due = link.last_due = std::max(due, link.last_due);
  return due;
}

// What is queued goes by the new settings, as if they had stood when it came.
void FaultyRelay::RescheduleQueued() {
  std::vector<Datagram> all;
  for (auto it = datagrams_.begin(); it != datagrams_.end();) {
    if (!it->second.link->changed) {
      ++it;
      continue;
    }
    all.push_back(std::move(it->second));
    it = datagrams_.erase(it);
  }
  for (const auto& [pair, link] : links_) {
    if (link->changed) link->last_due = link->free = {};
  }
  std::ranges::stable_sort(all, {}, &Datagram::came);
  for (Datagram& datagram : all) {
    const auto due = Schedule(*datagram.link, datagram.came, datagram.bytes.size() + kHeaders, datagram.extra,
                              datagram.ordered);
    datagrams_.emplace(due, std::move(datagram));
  }
  for (const auto& [fd, connection] : connections_) {
    for (Direction* direction : {&connection->there, &connection->back}) {
      if (!direction->link->changed) continue;
      for (Chunk& chunk : direction->chunks) {
        chunk.due = Schedule(*direction->link, chunk.came, chunk.bytes.size(), microseconds(0), true);
      }
    }
  }
  for (const auto& [pair, link] : links_) link->changed = false;
}

void FaultyRelay::Wake() {
  const std::uint64_t one = 1;
  [[maybe_unused]] const ssize_t written = ::write(wake_, &one, sizeof one);
}

int FaultyRelay::PollTimeoutMs() const {
  Clock::time_point next = Clock::time_point::max();
  if (!datagrams_.empty()) next = datagrams_.begin()->first;
  for (const auto& [fd, connection] : connections_) {
    if (connection->server < 0) {
      if (!IsCut(*connection->there.link)) next = std::min(next, connection->begin);
      continue;
    }
    for (const Direction* direction : {&connection->there, &connection->back}) {
      if (direction->chunks.empty() || direction->blocked || connection->connecting ||
          IsCut(*direction->link))
        continue;
      next = std::min(next, direction->chunks.front().due);
    }
  }
  if (next == Clock::time_point::max()) return -1;
  const auto left = std::chrono::ceil<milliseconds>(next - Clock::now()).count();
  return static_cast<int>(std::clamp<std::int64_t>(left, 0, 1000));
}

void FaultyRelay::Loop() {
  std::vector<epoll_event> events(256);
  while (!stopping_) {
    int timeout_ms = 0;
    {
      const std::lock_guard lock(mutex_);
      timeout_ms = PollTimeoutMs();
    }
    // Whoever changes something between the two also wakes.
    const int ready = ::epoll_wait(epoll_, events.data(), static_cast<int>(events.size()), timeout_ms);
    const std::lock_guard lock(mutex_);
    const auto now = Clock::now();
    for (int i = 0; i < ready; ++i) {
      const int fd = events[static_cast<std::size_t>(i)].data.fd;
      if (fd == wake_) {
        std::uint64_t count = 0;
        [[maybe_unused]] const ssize_t size = ::read(wake_, &count, sizeof count);
      } else if (const auto end = by_fd_.find(fd); end != by_fd_.end()) {
        ReceiveDatagrams(*end->second);
      } else if (tcp_ports_.contains(fd)) {
        AcceptConnections(fd);
      } else {
        HandleEvents(fd, events[static_cast<std::size_t>(i)].events, now);
      }
    }
    DeliverDatagrams(Clock::now());
    std::vector<int> clients;
    for (const auto& [fd, connection] : connections_) clients.push_back(fd);
    for (const int fd : clients) Advance(*connections_.at(fd), Clock::now());
  }
}

void FaultyRelay::ReceiveDatagrams(Endpoint& to) {
  for (int i = 0; i < kMostAtOnce; ++i) {
    sockaddr_in from{};
    socklen_t size = sizeof from;
    const ssize_t got =
        ::recvfrom(to.fd, buffer_.data(), buffer_.size(), 0, reinterpret_cast<sockaddr*>(&from), &size);
    if (got < 0) return;
    const auto sender = by_real_.find(ntohs(from.sin_port));
    if (sender == by_real_.end() || sender->second == &to) {
      ++unknown_senders_;
      continue;
    }
    EnqueueDatagram(LinkOf(*sender->second, to), std::string(buffer_.data(), static_cast<std::size_t>(got)),
                    Clock::now());
  }
}

void FaultyRelay::EnqueueDatagram(Link& link, std::string bytes, Clock::time_point now) {
  // Always the same draws, so that one fault more does not change what another one hits.
  const bool lost = Share(link.random) < link.faults.loss;
  const bool repeated = Share(link.random) < link.faults.duplicate;
  const bool reordered = Share(link.random) < link.faults.reorder;
  const double jitter = Share(link.random);
  ++link.counts.received;
  if (IsCut(link)) {
    ++link.counts.cut;
    return;
  }
  if (lost) {
    ++link.counts.lost;
    return;
  }
  microseconds extra(
      static_cast<std::int64_t>(jitter * static_cast<double>(microseconds(link.faults.jitter).count())));
  if (reordered) extra += link.faults.reorder_delay;
  link.counts.reordered += reordered ? 1 : 0;
  for (int copy = 0; copy < (repeated ? 2 : 1); ++copy) {
    if (link.queued_bytes + bytes.size() + kHeaders > link.faults.queue_bytes) {
      ++link.counts.queue_full;
      continue;
    }
    link.counts.duplicated += copy;
    link.queued_bytes += bytes.size() + kHeaders;
    const auto due = Schedule(link, now, bytes.size() + kHeaders, extra, !reordered);
    datagrams_.emplace(due, Datagram{&link, now, extra, !reordered, bytes});
  }
}

void FaultyRelay::DeliverDatagrams(Clock::time_point now) {
  while (!datagrams_.empty() && datagrams_.begin()->first <= now) {
    const Datagram datagram = std::move(datagrams_.begin()->second);
    datagrams_.erase(datagrams_.begin());
    Link& link = *datagram.link;
    link.queued_bytes -= datagram.bytes.size() + kHeaders;
    if (IsCut(link)) {
      ++link.counts.cut;
      continue;
    }
    const sockaddr_in to = LoopbackAddress(link.to->real);
    const ssize_t sent = ::sendto(link.from->fd, datagram.bytes.data(), datagram.bytes.size(), MSG_NOSIGNAL,
                                  reinterpret_cast<const sockaddr*>(&to), sizeof to);
    if (sent < 0) {
      ++link.counts.send_errors;
      continue;
    }
    ++link.counts.delivered;
    link.counts.bytes += static_cast<std::uint64_t>(sent);
  }
}

void FaultyRelay::AcceptConnections(int listening) {
  const TcpPort& entry = tcp_ports_.at(listening);
  for (int fd = 0; (fd = ::accept4(listening, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;) {
    ++entry.there->counts.connections;
    if (connections_.size() >= kMostConnections) {
      const linger now{1, 0};
      ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
      ::close(fd);
      ++entry.there->counts.resets;
      continue;
    }
    auto connection = std::make_unique<Connection>();
    connection->client = fd;
    connection->real = entry.real;
    connection->begin = Clock::now() + entry.there->faults.delay;
    connection->there.link = entry.there;
    connection->back.link = entry.back;
    connection->client_events = EPOLLIN;
    epoll_event event{EPOLLIN, {.fd = fd}};
    ::epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event);
    sockets_[fd] = connection.get();
    connections_[fd] = std::move(connection);
  }
}

void FaultyRelay::ConnectToServer(Connection& connection) {
  connection.server = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in to = LoopbackAddress(connection.real);
  connection.connecting = true;
  if (connection.server < 0 ||
      (::connect(connection.server, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0 &&
       errno != EINPROGRESS)) {
    Close(connection.client, true);
    return;
  }
  const int at_once = 1;
  for (const int fd : {connection.client, connection.server}) {
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &at_once, sizeof at_once);
  }
  connection.server_events = EPOLLOUT;
  epoll_event event{EPOLLOUT, {.fd = connection.server}};
  ::epoll_ctl(epoll_, EPOLL_CTL_ADD, connection.server, &event);
  sockets_[connection.server] = &connection;
}

void FaultyRelay::HandleEvents(int fd, std::uint32_t events, Clock::time_point now) {
  const auto it = sockets_.find(fd);
  if (it == sockets_.end()) return;  // closed a moment ago
  Connection& connection = *it->second;
  const bool by_client = fd == connection.client;
  Direction& out = by_client ? connection.there : connection.back;
  Direction& in = by_client ? connection.back : connection.there;
  if (!by_client && connection.connecting && (events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) != 0) {
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) return Close(connection.client, true);
    connection.connecting = false;
  }
  if ((events & EPOLLERR) != 0) {
    // A reset crosses a cut as little as bytes do: the far end learns nothing until it heals.
    if (!IsCut(*out.link)) return Close(connection.client, true);
    (by_client ? connection.client_reset : connection.server_reset) = true;
    DiscardChunks(in);
    out.ended = in.done = true;
  }
  if ((events & EPOLLERR) != 0 || ((events & EPOLLHUP) != 0 && out.ended)) {
    // It would be reported again and again.
    ::epoll_ctl(epoll_, EPOLL_CTL_DEL, fd, nullptr);
    (by_client ? connection.client_events : connection.server_events) = kOff;
    in.blocked = false;
    return;
  }
  if ((events & EPOLLOUT) != 0) in.blocked = false;
  if ((events & (EPOLLIN | EPOLLHUP)) != 0 && !out.ended) Read(connection, out, fd, now);
}

void FaultyRelay::Read(Connection& connection, Direction& direction, int from, Clock::time_point now) {
  Link& link = *direction.link;
  while (!direction.ended && direction.held < link.faults.queue_bytes) {
    // A slow link passes on small pieces, or its rate would come in leaps.
    const std::size_t rate = link.faults.bytes_per_s;
    const std::size_t piece =
        rate == 0 ? buffer_.size() : std::clamp<std::size_t>(rate / 50, 256, buffer_.size());
    const ssize_t got =
        ::recv(from, buffer_.data(), std::min(piece, link.faults.queue_bytes - direction.held), 0);
    if (got < 0) {
      if (errno != EAGAIN && errno != EINTR) Close(connection.client, true);
      return;
    }
    Chunk chunk{now, {}, std::string(buffer_.data(), static_cast<std::size_t>(got)), got == 0};
    chunk.due = Schedule(link, now, chunk.bytes.size(), microseconds(0), true);
    direction.held += chunk.bytes.size();
    link.queued_bytes += chunk.bytes.size();
    direction.ended = chunk.end;
    direction.chunks.push_back(std::move(chunk));
  }
}

bool FaultyRelay::Deliver(Connection& connection, Direction& direction, int to, Clock::time_point now) {
  while (!direction.chunks.empty() && direction.chunks.front().due <= now && !direction.blocked) {
    Chunk& chunk = direction.chunks.front();
    if (chunk.end) {
      ::shutdown(to, SHUT_WR);
      direction.done = true;
      direction.chunks.pop_front();
      continue;
    }
    const ssize_t sent = ::send(to, chunk.bytes.data(), chunk.bytes.size(), MSG_NOSIGNAL);
    if (sent < 0) {
      if (errno == EAGAIN || errno == EINTR) {
        direction.blocked = errno == EAGAIN;
        continue;
      }
      Close(connection.client, true);
      return false;
    }
    const auto size = static_cast<std::size_t>(sent);
    direction.held -= size;
    direction.link->queued_bytes -= size;
    direction.link->counts.tcp_bytes += size;
    chunk.bytes.erase(0, size);
    if (chunk.bytes.empty()) direction.chunks.pop_front();
  }
  return true;
}

void FaultyRelay::Advance(Connection& connection, Clock::time_point now) {
  const bool cut = IsCut(*connection.there.link);
  if (connection.there.link->faults.reset_connections) return Close(connection.client, true);
  if (connection.server < 0) {
    if (!cut && connection.begin <= now) {
      ConnectToServer(connection);
    } else {
      UpdateInterest(connection);
    }
    return;
  }
  if (!connection.connecting) {
    // One side was reset, and a cut delayed the reset of the other.
    if (connection.client_reset && !cut) return Close(connection.client, true);
    if (connection.server_reset && !IsCut(*connection.back.link)) return Close(connection.client, true);
    if (!cut && !connection.there.done && !Deliver(connection, connection.there, connection.server, now))
      return;
    if (!IsCut(*connection.back.link) && !connection.back.done &&
        !Deliver(connection, connection.back, connection.client, now)) {
      return;
    }
    if (connection.there.done && connection.back.done && !connection.client_reset &&
        !connection.server_reset) {
      return Close(connection.client, false);
    }
  }
  UpdateInterest(connection);
}

// Asks the system only for what can be used now; a side that waits for room is not read.
void FaultyRelay::UpdateInterest(Connection& connection) {
  const auto set = [&](int fd, std::uint32_t& had, const Direction& out, const Direction& in,
                       bool connecting) {
    if (fd < 0 || had == kOff) return;
    std::uint32_t want = 0;
    if (!out.ended && out.held < out.link->faults.queue_bytes && !connecting) want |= EPOLLIN;
    if (connecting || in.blocked) want |= EPOLLOUT;
    if (want == had) return;
    had = want;
    epoll_event event{want, {.fd = fd}};
    ::epoll_ctl(epoll_, EPOLL_CTL_MOD, fd, &event);
  };
  set(connection.client, connection.client_events, connection.there, connection.back, false);
  set(connection.server, connection.server_events, connection.back, connection.there, connection.connecting);
}

void FaultyRelay::DiscardChunks(Direction& direction) {
  direction.link->queued_bytes -= direction.held;
  direction.held = 0;
  direction.chunks.clear();
}

void FaultyRelay::Close(int client, bool reset) {
  const auto it = connections_.find(client);
  if (it == connections_.end()) return;
  Connection& connection = *it->second;
  if (reset) ++connection.there.link->counts.resets;
  DiscardChunks(connection.there), DiscardChunks(connection.back);
  for (const int fd : {connection.client, connection.server}) {
    if (fd < 0) continue;
    const linger now{1, 0};
    if (reset) ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    sockets_.erase(fd);
    ::close(fd);
  }
  connections_.erase(it);
}

}  // namespace mothrack::testing
