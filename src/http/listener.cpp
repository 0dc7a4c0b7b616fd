#include "http/listener.h"

#include <poll.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "http/eviction_policy.h"
#include "runtime/system_calls.h"

namespace mothrack::http {
namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr runtime::Duration kSweepInterval = milliseconds(250);
// If the deadlines are short, this many sweeps run within the shortest one, so that clients in the listen
// backlog are found in time.
constexpr int kSweepsInDeadline = 3;
// While requests are served, the backlog is polled at this interval. One system call every 20 ms costs little
// compared with serving them.
constexpr runtime::Duration kPollInterval = milliseconds(20);
constexpr runtime::Duration kDrainSweepInterval = milliseconds(10);
// Interval at which connections from which nothing is read are checked for a disconnect. No attempt may start
// more than 0.1 s after the client has disconnected.
constexpr runtime::Duration kDisconnectCheckInterval = milliseconds(25);
}  // namespace

Listener::Listener(boost::asio::io_context& io, const runtime::ListenOptions& options,
                   runtime::Descriptors& descriptors, runtime::MemoryBudget budget, runtime::Logger& log,
                   const DeadlineRange& deadlines, RequestHandler handler)
    : descriptors_(descriptors),
      budget_(std::move(budget)),
      handler_(std::move(handler)),
      client_log_(log, runtime::Now()),
      acceptor_(io, options, "http", *this, log),
      sweep_interval_(std::clamp(deadlines.shortest / kSweepsInDeadline, kPollInterval, kSweepInterval)),
      longest_deadline_(deadlines.longest),
      sweep_timer_(
          io, [this] { return SweepInterval(); }, [this] { return OnSweep(); }) {
  sweep_timer_.Restart();
}

Listener::~Listener() {
  for (const auto& connection : connections_.TakeAll()) connection->Orphan();
}

void Listener::Admit(tcp::socket socket) {
  runtime::ConfigureAccepted(socket);
  ClientConnection::Owner& owner = *this;
  const auto connection = std::make_shared<ClientConnection>(owner, descriptors_, budget_, std::move(socket));
  connections_.Add(connection);
  connection->Start();
}

// Closes the connections whose clients have closed them already, which the event loop may not have reported
// yet. What they have sent and is not read needs no answer any more. Returns whether there was one.
bool Listener::CloseAbandoned() {
  std::vector<std::shared_ptr<ClientConnection>> connections;
  std::vector<pollfd> polled;
  for (auto& connection : connections_.Snapshot()) {
    if (!connection->ReadsRequest()) continue;
    polled.push_back({connection->native_handle(), POLLRDHUP, 0});
    connections.push_back(std::move(connection));
  }
  if (!runtime::PollNow(polled)) return false;
  bool closed = false;
  for (std::size_t i = 0; i < polled.size(); ++i) {
    if (polled[i].revents == 0) continue;
    connections[i]->Close(CloseReason::kClientLeft);
    closed = true;
  }
  return closed;
}

bool Listener::EvictOne() {
  if (CloseAbandoned()) return true;
  using Rank = std::pair<EvictionRank, runtime::TimePoint>;
  const runtime::TimePoint now = runtime::Now();
  // Connections with unread request bytes are not evicted; there are few of them. If bytes arrive between the
  // check and the close, the client gets an RST. That loses nothing else: a client that sends a new request
  // has received its previous response completely.
  std::set<const ClientConnection*> busy;
  while (true) {
    const auto candidate =
        connections_.Lowest([&](const ClientConnection& connection) -> std::optional<Rank> {
          const auto rank = RankForEviction(connection.Activity(now));
          if (!rank || busy.contains(&connection)) return std::nullopt;
          return Rank(*rank, connection.since());
        });
    if (!candidate) return false;
    if (!candidate->HasUnreadBytes()) {
      candidate->CloseNow(CloseReason::kEvicted);
      return true;
    }
    busy.insert(candidate.get());
  }
}

RequestObserver Listener::HandleRequest(HttpRequest&& request, StreamedBody streamed_body,
                                        RequestMemory memory, ReplyCallback reply) {
  return handler_(std::move(request), std::move(streamed_body), std::move(memory), std::move(reply));
}

void Listener::Quiesce(bool on) {
  if (on == quiescing_) return;
  quiescing_ = on;
  sweep_timer_.Cancel();
  Sweep();
  sweep_timer_.Restart();
}

void Listener::Drain(std::function<void()> done) {
  if (stop_) return;
  on_drained_ = std::move(done);
  stop_.emplace(runtime::Now(), longest_deadline_);
  has_successor_ = acceptor_.paused();
  if (has_successor_) acceptor_.Release();
  sweep_timer_.Cancel();
  Sweep();
  sweep_timer_.Restart();
}

void Listener::CheckForDisconnects() {
  if (!std::exchange(has_unread_connections_, true)) sweep_timer_.Restart();
}

void Listener::PollAcceptor(runtime::TimePoint now) {
  if (now - last_poll_ < kPollInterval) return;
  last_poll_ = now;
  acceptor_.PollForMissedClients();
}

// ---- Sweeps ----

runtime::Duration Listener::SweepInterval() const {
  runtime::Duration interval = sweep_interval_;
  if (has_unread_connections_) interval = std::min(interval, kDisconnectCheckInterval);
  if (quiescing()) interval = std::min(interval, kDrainSweepInterval);
  return interval;
}

bool Listener::OnSweep() {
  if (drain_complete_) return false;
  Sweep();
  if (!stop_ || acceptor_.is_open() || !connections_.empty()) return true;
  drain_complete_ = true;  // checked above: a sweep that was already due may run after this one
  on_drained_();
  return false;
}

void Listener::Sweep() {
  const runtime::TimePoint now = runtime::Now();
  PollAcceptor(now);
  const auto connections = connections_.Snapshot();
  has_unread_connections_ = false;
  for (const auto& connection : connections) SweepConnection(*connection, now);
  StopAccepting(now);
}

void Listener::SweepConnection(ClientConnection& connection, runtime::TimePoint now) {
  Execute(StepFor(connection, now), connection);
  connection.CheckUpload(now);
  connection.CloseIfOverdue(now);
  if (!connection.ReadsNothing()) return;
  if (connection.ClientDisconnected()) {
    connection.Close(CloseReason::kClientLeft);
  } else {
    CheckForDisconnects();
  }
}

StopStep Listener::StepFor(const ClientConnection& connection, runtime::TimePoint now) const {
  const ConnectionState state = connection.StateAt(now);
  if (stop_) return stop_->StepFor(state, now);
  return quiescing_ && state == ConnectionState::kIdle ? StopStep::kHalfClose : StopStep::kNone;
}

void Listener::Execute(StopStep step, ClientConnection& connection) {
  switch (step) {
    case StopStep::kNone:
      return;
    case StopStep::kHalfClose:
      if (!connection.HasUnreadBytes()) connection.HalfClose();
      return;
    case StopStep::kRefuse:
      return connection.RefuseRequest();
    case StopStep::kFail:
      return connection.FailRequest();
    case StopStep::kBreakOff:
      return connection.Close(CloseReason::kProcessEnds);
    case StopStep::kClose:
      return connection.CloseNow(CloseReason::kAnswered);
  }
}

void Listener::StopAccepting(runtime::TimePoint now) {
  if (!stop_ || stop_->AcceptsClients(now)) return;
  if (!acceptor_.is_open() || acceptor_.Close()) return;
  // If there is no capacity for the clients in the backlog, accepting continues until the existing
  // connections have had their time.
  if (stop_->GivesUpBacklog(now)) acceptor_.Release();
}

}  // namespace mothrack::http
