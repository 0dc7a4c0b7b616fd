#include "simulation/simulated_transport.h"

#include <algorithm>

namespace mothrack::simulation {

using balancer::Outcome;

namespace {

constexpr runtime::Duration kIdleTimeout = std::chrono::seconds(15);  // for idle connections
// Without a response, a connect or a probe fails after this time, as in Scenario::SettingsOf.
constexpr runtime::Duration kConnectTimeout = std::chrono::milliseconds(200);

}  // namespace

void SimulatedTransport::Apply(const std::string& uid, const dispatch::Location& location) {
  Pool& pool = At(uid);
  const bool same =
      location.state == balancer::UpstreamState::kServing && location.boot_ms == pool.location.boot_ms;
  pool.location = location;
  if (same) return;
  pool.idle.clear();
  std::vector<CallPtr> unsent;
  const std::size_t server = NumberOf(uid);
  for (const auto& [id, call] : calls_) {
    if (call->server == server && !call->connected) unsent.push_back(call);
  }
  std::sort(unsent.begin(), unsent.end(), [](const CallPtr& a, const CallPtr& b) { return a->id < b->id; });
  for (const CallPtr& call : unsent) End(call, Outcome::kNotSent, false);
}

void SimulatedTransport::Send(dispatch::ExchangeId id, const std::string& uid,
                              std::shared_ptr<const dispatch::Message> message,
                              const dispatch::AttemptTimeouts& timeouts, dispatch::ExchangeHooks hooks) {
  auto call = std::make_shared<Call>();
  call->id = id;
  call->server = NumberOf(uid);
  call->client_request = std::static_pointer_cast<const ClientRequest>(message);
  call->hooks = std::move(hooks);
  call->began = sim_.now();
  call->job = network_.NextJob();
  calls_.emplace(id, call);
  sim_.After(timeouts.until_begun,
             [this, weak = std::weak_ptr(call), incarnation = std::weak_ptr(incarnation_)] {
               const auto call = weak.lock();
               if (!incarnation.expired() && call) End(call, Outcome::kTimeout, false);
             });
  Pool& pool = At(uid);
  std::erase_if(pool.idle, [this](runtime::TimePoint since) { return sim_.now() - since >= kIdleTimeout; });
  if (pool.idle.empty()) return Connect(call);
  pool.idle.pop_back();
  Write(call);
}

void SimulatedTransport::Connect(const CallPtr& call) {
  ++connects_;
  const runtime::Duration delay = network_.Delay(zone_, call->server);
  const runtime::Duration connect_time = Milliseconds(scenario_.handshake_ms) + 2 * delay;
  const auto after = [this, call, incarnation = std::weak_ptr(incarnation_)](runtime::Duration wait,
                                                                             auto action) {
    sim_.After(wait, [call, incarnation, action] {
      if (!incarnation.expired() && !call->ended) action();
    });
  };
  if (!network_.IsReachable(zone_, call->server)) {
    return after(kConnectTimeout, [this, call] { End(call, Outcome::kConnectFailed, false); });
  }
  if (!network_.At(call->server).up()) {
    return after(2 * delay, [this, call] { End(call, Outcome::kConnectFailed, false); });
  }
  after(connect_time, [this, call] { Write(call); });
}

void SimulatedTransport::Write(const CallPtr& call) {
  if (call->abandoned) return End(call, Outcome::kNotSent, true);
  call->connected = true;
  SimulationEvent event;
  event.kind = SimulationEvent::Kind::kAttemptSent;
  event.sidecar = sidecar_;
  event.request = call->client_request->request;
  event.server = call->server;
  network_.Record(event);
  if (call->hooks.on_written) call->hooks.on_written();
  if (!network_.IsReachable(zone_, call->server)) return;  // no answer comes; the attempt times out
  sim_.After(network_.Delay(zone_, call->server), [this, call, incarnation = std::weak_ptr(incarnation_)] {
    if (!incarnation.expired()) Arrive(call);
  });
}

// Hands the request to the server at the time of its arrival.
void SimulatedTransport::Arrive(const CallPtr& call) {
  if (call->ended) return;  // the sidecar closed its connection meanwhile
  Server& server = network_.At(call->server);
  if (!network_.IsReachable(zone_, call->server)) return;
  if (!server.up()) return Answer(call, Outcome::kReset);
  SimulationEvent event;
  event.sidecar = sidecar_;
  event.request = call->client_request->request;
  event.server = call->server;
  event.cls = call->client_request->cls;
  event.work = call->client_request->work;
  Server::Job job;
  job.id = call->job;
  job.work = call->client_request->work;
  // The callbacks must not use `this` unchecked: the server may outlive this sidecar.
  job.on_started = [&network = network_, event]() mutable {
    event.kind = SimulationEvent::Kind::kCallStarted;
    network.Record(event);
  };
  job.on_ended = [this, call, incarnation = std::weak_ptr(incarnation_)](Server::End end) {
    if (incarnation.expired()) return;
    Answer(call, end == Server::End::kDone    ? Outcome::kServed
                 : end == Server::End::kError ? Outcome::kError
                                              : Outcome::kReset);
  };
  event.kind = SimulationEvent::Kind::kCallArrived;
  const bool accepted = server.Accept(std::move(job));
  if (!accepted) return Answer(call, Outcome::kFull);
  network_.Record(event);
}

void SimulatedTransport::Answer(const CallPtr& call, Outcome outcome) {
  if (!network_.IsReachable(zone_, call->server)) return;
  sim_.After(network_.Delay(zone_, call->server),
             [this, call, outcome, incarnation = std::weak_ptr(incarnation_)] {
               if (!incarnation.expired()) End(call, outcome, outcome != Outcome::kReset);
             });
}

void SimulatedTransport::End(const CallPtr& call, Outcome outcome, bool keep_connection) {
  if (call->ended) return;
  call->ended = true;
  calls_.erase(call->id);
  if (keep_connection) At(NameOf(call->server)).idle.push_back(sim_.now());
  const bool abandoned = outcome == Outcome::kTimeout || outcome == Outcome::kCancelled;
  if (abandoned && call->connected && network_.IsReachable(zone_, call->server)) {
    sim_.After(network_.Delay(zone_, call->server), [&network = network_, server = call->server,
                                                     job = call->job] { network.At(server).Cancel(job); });
  }
  // An attempt that ended before the first byte of its request was written cannot have run.
  const bool unsent = !call->connected && (outcome == Outcome::kTimeout || outcome == Outcome::kCancelled);
  const Outcome proven = !unsent                        ? outcome
                         : outcome == Outcome::kTimeout ? Outcome::kConnectFailed
                                                        : Outcome::kNotSent;
  if (call->connected) {
    SimulationEvent event;
    event.kind = SimulationEvent::Kind::kAttemptEnded;
    event.sidecar = sidecar_;
    event.request = call->client_request->request;
    event.server = call->server;
    event.outcome = proven;
    network_.Record(event);
  }
  dispatch::ExchangeResult result;
  result.outcome = proven;
  result.elapsed = sim_.now() - call->began;
  if (proven == Outcome::kServed) result.reply = std::make_unique<dispatch::Reply>();
  const auto on_end = std::move(call->hooks.on_end);
  if (on_end) on_end(std::move(result));
}

void SimulatedTransport::Probe(dispatch::ExchangeId, const std::string& uid, OnEnd on_end) {
  const std::size_t server = NumberOf(uid);
  const runtime::Duration delay = network_.Delay(zone_, server);
  const bool reachable = network_.IsReachable(zone_, server) && network_.At(server).up();
  sim_.After(reachable ? 2 * delay : kConnectTimeout,
             [on_end = std::move(on_end), reachable, delay, incarnation = std::weak_ptr(incarnation_)] {
               if (incarnation.expired()) return;
               dispatch::ExchangeResult result;
               result.outcome = reachable ? Outcome::kServed : Outcome::kTimeout;
               result.elapsed = 2 * delay;
               on_end(std::move(result));
             });
}

void SimulatedTransport::OnServerStopped(std::size_t server) { At(NameOf(server)).idle.clear(); }

void SimulatedTransport::Cancel(dispatch::ExchangeId id) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  // The end is reported from the event loop, as with sockets.
  sim_.After(runtime::Duration(0), [this, call = it->second, incarnation = std::weak_ptr(incarnation_)] {
    if (!incarnation.expired()) End(call, Outcome::kCancelled, false);
  });
}

void SimulatedTransport::Abandon(dispatch::ExchangeId id) {
  const auto it = calls_.find(id);
  if (it != calls_.end()) it->second->abandoned = true;
}

}  // namespace mothrack::simulation
