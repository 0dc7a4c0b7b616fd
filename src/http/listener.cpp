#include "http/listener.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <set>
#include <utility>

#include "http/eviction_policy.h"
#include "runtime/system_calls.h"

namespace mothrack::http {
namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr runtime::Duration kSweepInterval = milliseconds(250);
// With shorter deadlines it sweeps this often within the shortest, for the sake of clients in the system's
// queue.
constexpr int kSweepsInDeadline = 3;
// While requests pass, that queue is polled this often: a system call in 20 ms is nothing beside them.
constexpr runtime::Duration kPollInterval = milliseconds(20);
constexpr runtime::Duration kDrainSweepInterval = milliseconds(10);
// A client that has left is found this soon where nothing is read from it: an attempt that begins 0.1 s after
// it left is one too many.
constexpr runtime::Duration kDisconnectCheckInterval = milliseconds(25);
// Clients go on opening connections for a moment after a planned stop began.
constexpr runtime::Duration kAcceptWhileDraining = milliseconds(800);
// SIGKILL may follow SIGTERM after the longest deadline, which counts as kMaxCountedDeadline at most, and
// kKillAfter.
constexpr runtime::Duration kMaxCountedDeadline = seconds(3);
constexpr runtime::Duration kKillAfter = milliseconds(700);
// By so much earlier all is over.
constexpr runtime::Duration kKillMargin = milliseconds(50);

// Until when a planned stop is to be over.
runtime::Duration StopWithin(runtime::Duration longest_deadline) {
  return std::min(longest_deadline, kMaxCountedDeadline) + kKillAfter - kKillMargin;
}

}  // namespace

Listener::Listener(boost::asio::io_context& io, const runtime::ListenOn& where,
                   runtime::Descriptors& descriptors, runtime::ByteBudget& budget, runtime::Logger& log,
                   const DeadlineRange& deadlines, RequestHandler handler)
    : descriptors_(descriptors),
      budget_(budget),
      handler_(std::move(handler)),
      acceptor_(io, where, "http", *this, log),
      sweep_every_(std::clamp(deadlines.shortest / kSweepsInDeadline, kPollInterval, kSweepInterval)),
      stop_within_(StopWithin(deadlines.longest)),
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

bool Listener::EvictOne() {
  using Rank = std::pair<EvictionRank, runtime::TimePoint>;
  const runtime::TimePoint now = runtime::Now();
  // Those of which more has come than was read are no candidates; there are few. What still arrives between
  // the check and the close gets a reset, which takes nothing along: whoever sends a request has its last
  // answer whole.
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
      candidate->CloseNow();
      return true;
    }
    busy.insert(candidate.get());
  }
}

RequestObserver Listener::HandleRequest(HttpRequest request, ComingBody coming, ReplyCallback reply) {
  return handler_(std::move(request), std::move(coming), std::move(reply));
}

void Listener::Quiesce(bool on) {
  if (on == quiescing_) return;
  quiescing_ = on;
  sweep_timer_.Cancel();
  Sweep();
  sweep_timer_.Restart();
}

void Listener::Drain(std::function<void()> done) {
  if (drained_) return;
  drained_ = std::move(done);
  drain_started_ = runtime::Now();
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
  runtime::Duration interval = sweep_every_;
  if (has_unread_connections_) interval = std::min(interval, kDisconnectCheckInterval);
  if (quiescing()) interval = std::min(interval, kDrainSweepInterval);
  return interval;
}

bool Listener::OnSweep() {
  if (ended_) return false;
  Sweep();
  if (!drained_ || acceptor_.is_open() || !connections_.empty()) return true;
  ended_ = true;  // a sweep that was due when another was asked for comes, too
  drained_();
  return false;
}

void Listener::Sweep() {
  const runtime::TimePoint now = runtime::Now();
  PollAcceptor(now);
  const auto connections = connections_.Snapshot();
  has_unread_connections_ = false;
  const runtime::Duration draining_for = drained_ ? now - drain_started_ : runtime::Duration::zero();
  for (const auto& connection : connections) SweepConnection(*connection, now, draining_for);
  StopAccepting(draining_for);
}

void Listener::SweepConnection(ClientConnection& connection, runtime::TimePoint now,
                               runtime::Duration draining_for) {
  if (draining_for >= stop_within_ && connection.AwaitsClose()) return connection.CloseNow();
  // Towards the end there is no time left to wait for what a new connection would bring.
  const bool spares_new = draining_for < stop_within_ - kLingerTimeout;
  const bool closes = quiescing() && connection.Idle() && !(spares_new && connection.IsNew(now));
  if (closes && !connection.HasUnreadBytes()) connection.HalfClose();
  connection.CloseIfOverdue(now);
  if (!connection.ReadsNothing()) return;
  if (connection.ClientDisconnected()) {
    connection.Close();
  } else {
    CheckForDisconnects();
  }
}

void Listener::StopAccepting(runtime::Duration draining_for) {
  if (draining_for <= std::min(kAcceptWhileDraining, stop_within_ - kLingerTimeout)) return;
  if (!acceptor_.is_open() || acceptor_.Close()) return;
  // Without room for those that wait they are asked in until the others have had their time.
  if (draining_for > kAcceptWhileDraining + kRequestTimeout) acceptor_.Release();
}

}  // namespace mothrack::http
