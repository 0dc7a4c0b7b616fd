#include "simulation/simulation_run.h"

#include <xxhash.h>

#include <algorithm>
#include <numeric>

namespace mothrack::simulation {
namespace {

using balancer::UpstreamState;

// Moments of this world count from here: a time of zero means nothing to the program either.
constexpr runtime::Duration kEpoch = std::chrono::seconds(1000);
// Of what vanishes silently discovery hears after this long.
constexpr runtime::Duration kUnresponsiveNotice = std::chrono::seconds(5);
// A new server is there so long after the one that it replaces was told as leaving.
constexpr runtime::Duration kReplacement = std::chrono::seconds(1);
// A planned stop waits for what is open, but no longer than the longest deadline here and some.
constexpr runtime::Duration kStopTimeout = std::chrono::seconds(5);
constexpr double kMeanRateFloor = 0.02;  // of the mean: nobody sends nothing

RequestOutcome RequestOutcomeOf(const dispatch::Final& final) {
  switch (final.kind) {
    case dispatch::Final::Kind::kServed:
      return RequestOutcome::kServed;
    case dispatch::Final::Kind::kRejected:
      return RequestOutcome::kRefused;
    case dispatch::Final::Kind::kFailed:
      break;
  }
  return RequestOutcome::kFailed;
}

// Does now and then what a rule forbids.
class Saboteur : public dispatch::Transport {
 public:
  Saboteur(SimulatedTransport& inner, const Scenario& scenario, InjectedFault injected_fault, Random random,
           std::function<std::optional<std::size_t>(bool leaving)> find)
      : inner_(inner),
        scenario_(scenario),
        injected_fault_(injected_fault),
        random_(random),
        find_(std::move(find)) {}

  void Apply(const std::string& uid, const dispatch::Location& location) override {
    inner_.Apply(uid, location);
  }
  void Send(dispatch::ExchangeId id, const std::string& uid, std::shared_ptr<const dispatch::Message> message,
            runtime::Duration timeout, dispatch::ExchangeHooks hooks) override {
    const auto& client_request = static_cast<const ClientRequest&>(*message);
    const bool unsafe = scenario_.classes[client_request.cls].effect == balancer::Effect::kUnsafe;
    std::string to = uid;
    if (injected_fault_ == InjectedFault::kResend && unsafe && random_.Chance(0.02)) {
      inner_.Send(dispatch::ExchangeId{static_cast<std::uint64_t>(id) | 1ULL << 62}, uid, message, timeout,
                  {});
    }
    if (injected_fault_ == InjectedFault::kAfterDrain && random_.Chance(0.02)) {
      if (const auto leaving = find_(true)) to = SimulatedTransport::NameOf(*leaving);
    }
    if (injected_fault_ == InjectedFault::kOverloadWarmingUp) {
      if (const auto warming_up = find_(false)) to = SimulatedTransport::NameOf(*warming_up);
    }
    inner_.Send(id, to, std::move(message), timeout, std::move(hooks));
  }
  void Probe(dispatch::ExchangeId id, const std::string& uid, OnEnd on_end) override {
    inner_.Probe(id, uid, std::move(on_end));
  }
  void Cancel(dispatch::ExchangeId id) override { inner_.Cancel(id); }
  void Abandon(dispatch::ExchangeId id) override { inner_.Abandon(id); }
  void CloseIdle(const std::string& uid) override { inner_.CloseIdle(uid); }

 private:
  SimulatedTransport& inner_;
  const Scenario& scenario_;
  const InjectedFault injected_fault_;
  Random random_;
  const std::function<std::optional<std::size_t>(bool)> find_;
};

Rules::Limits LimitsOf(const Scenario& scenario) {
  Rules::Limits limits;
  for (const ClassLoad& c : scenario.classes) limits.unsafe.push_back(c.effect == balancer::Effect::kUnsafe);
  limits.slow_start_initial_share = scenario.slow_start_initial_share;
  limits.slow_start_duration = SecondsOf(scenario.slow_start_s);
  return limits;
}

}  // namespace

struct SimulationRun::Hash {
  Hash() { XXH64_reset(state.get(), 0); }
  void Add(const SimulationEvent& h) {
    const std::uint64_t words[] = {
        static_cast<std::uint64_t>(h.kind),
        static_cast<std::uint64_t>(h.at.time_since_epoch().count()),
        h.sidecar,
        h.request,
        h.server,
        static_cast<std::uint64_t>(h.request_outcome) << 8 | static_cast<std::uint64_t>(h.outcome)};
    XXH64_update(state.get(), words, sizeof words);
  }
  struct Free {
    void operator()(XXH64_state_t* s) const { XXH64_freeState(s); }
  };
  std::unique_ptr<XXH64_state_t, Free> state{XXH64_createState()};
};

// What a client wants, over all of its tries.
struct SimulationRun::PendingClientRequest {
  std::uint64_t client_request = 0;
  std::size_t cls = 0;
  runtime::TimePoint options;
  runtime::TimePoint until;
  double work = 0;
  int client_attempts = 0;
  int most_tries = 1;
  bool impatient = false;
};

struct SimulationRun::Sidecar {
  std::size_t number = 0;
  std::uint64_t id = 0;  // of this life
  std::uint32_t lives = 0;
  std::size_t zone = 0;
  double rate = 0;   // wishes a second
  double times = 1;  // in a crowd
  runtime::Duration notice{};
  Random random{0};
  bool open = false;  // its application sends
  std::unique_ptr<SimulatedTransport> transport;
  std::unique_ptr<Saboteur> saboteur;
  std::unique_ptr<dispatch::Dispatcher> dispatcher;
  std::shared_ptr<int> incarnation;
  std::map<std::uint64_t, std::shared_ptr<PendingClientRequest>> wants;  // by wish
  balancer::Counts last_counts;                                          // at the last second
  std::uint64_t connects = 0;
};

SimulationRun::SimulationRun(const Scenario& scenario, std::uint64_t seed, InjectedFault injected_fault)
    : scenario_(scenario),
      injected_fault_(injected_fault),
      random_(seed),
      arrivals_(random_.Fork()),
      network_(random_.Fork()),
      figures_(scenario_),
      rules_(LimitsOf(scenario_)),
      cut_(scenario.zones.size()),
      lost_(scenario.zones.size()),
      hash_(std::make_unique<Hash>()) {
  sim_.RunUntil(runtime::TimePoint(kEpoch));
  for (std::size_t i = 0; i < scenario_.servers; ++i) {
    const double along =
        scenario_.servers > 1
            ? static_cast<double>(i / scenario_.zones.size()) /
                  std::max(1.0, static_cast<double>((scenario_.servers - 1) / scenario_.zones.size()))
            : 0;
    const double speed = scenario_.slowest + (scenario_.fastest - scenario_.slowest) * std::min(1.0, along);
    AddServer(i % scenario_.zones.size(), speed);
    warm_ += machines_.back().server->capacity();
  }
  double share = 0;
  for (const ClassLoad& c : scenario_.classes) share += c.share;
  for (const ClassLoad& c : scenario_.classes) work_ += c.share / share * c.work_ms;
  rate_ = scenario_.use * warm_ * 1000 / work_;

  std::vector<double> weights;
  Random skew = random_.Fork();
  for (std::size_t i = 0; i < scenario_.sidecars; ++i) {
    weights.push_back(std::max(kMeanRateFloor, skew.LogNormal(scenario_.skew)));
  }
  const double sum = std::accumulate(weights.begin(), weights.end(), 0.0);
  for (std::size_t i = 0; i < scenario_.sidecars; ++i) {
    auto sidecar = std::make_unique<Sidecar>();
    sidecar->number = i;
    sidecar->zone = i % scenario_.zones.size();
    sidecar->rate = rate_ * weights[i] / sum;
    sidecar->random = random_.Fork();
    sidecar->notice = SecondsOf(sidecar->random.Between(scenario_.notice_from_s, scenario_.notice_to_s));
    sidecars_.push_back(std::move(sidecar));
    Start(*sidecars_.back());
  }
  for (const Fault& fault : scenario_.faults) Plan(fault);
  EachSecond();
}

SimulationRun::~SimulationRun() {
  for (const auto& sidecar : sidecars_) sidecar->dispatcher.reset();
}

Outcome SimulationRun::Run() {
  const runtime::TimePoint end = runtime::TimePoint(kEpoch) + SecondsOf(scenario_.length_s);
  sim_.RunUntil(end);
  // Nobody asks any more, and what was asked comes to its end.
  for (const auto& sidecar : sidecars_) sidecar->open = false;
  runtime::Duration longest{};
  for (const ClassLoad& c : scenario_.classes) longest = std::max(longest, Milliseconds(c.deadline_ms));
  sim_.RunUntil(end + longest + std::chrono::seconds(1));
  rules_.End(runtime::TimePoint(sim_.now() - kEpoch));
  figures_.Finish();
  Outcome outcome;
  outcome.digest = XXH64_digest(hash_->state.get());
  outcome.recorded_events = recorded_events_;
  outcome.events = sim_.events();
  outcome.requests = accepted_;
  outcome.breaches = rules_.breaches();
  outcome.broken = rules_.total();
  for (const auto& sidecar : sidecars_) {
    if (sidecar->dispatcher) outcome.still_open += sidecar->dispatcher->in_flight();
  }
  return outcome;
}

// ---- Links ----

runtime::Duration SimulationRun::Delay(std::size_t zone, std::size_t server) {
  const double mean = zone == machines_[server].zone ? scenario_.same_ms : scenario_.cross_ms;
  return Milliseconds(mean * network_.LogNormal(scenario_.jitter));
}

bool SimulationRun::Passes(std::size_t zone, std::size_t server) const {
  const Machine& machine = machines_[server];
  if (machine.unresponsive || lost_[machine.zone]) return false;
  return zone == machine.zone || (!cut_[zone] && !cut_[machine.zone]);
}

void SimulationRun::Record(SimulationEvent h) {
  h.at = runtime::TimePoint(sim_.now() - kEpoch);
  if (h.until != runtime::TimePoint{}) h.until = runtime::TimePoint(h.until - kEpoch);
  ++recorded_events_;
  hash_->Add(h);
  rules_.Record(h);
  figures_.Record(h);
}

// ---- Servers and lists ----

std::size_t SimulationRun::AddServer(std::size_t zone, double speed) {
  Machine machine;
  machine.zone = zone;
  machine.speed = speed;
  machine.server = std::make_unique<Server>(sim_, scenario_, random_.Fork(), speed);
  machines_.push_back(std::move(machine));
  return machines_.size() - 1;
}

void SimulationRun::KillServer(std::size_t server) {
  machines_[server].server->Kill();
  for (const auto& sidecar : sidecars_) {
    if (sidecar->transport && Passes(sidecar->zone, server)) sidecar->transport->Broke(server);
  }
}

void SimulationRun::BootServer(std::size_t server) {
  Machine& machine = machines_[server];
  machine.server->Boot();
  machine.started = sim_.now();
  machine.boot_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(sim_.now().time_since_epoch()).count();
  machine.state = UpstreamState::kServing;
  SimulationEvent h;
  h.kind = SimulationEvent::Kind::kServerStarted;
  h.server = server;
  h.work = machine.server->capacity();
  Record(h);
  Changed(server);
}

void SimulationRun::Changed(std::size_t server) {
  for (const auto& sidecar : sidecars_) {
    sim_.After(sidecar->notice, [this, &sidecar = *sidecar, server] { Deliver(sidecar, server); });
  }
}

dispatch::MembershipList SimulationRun::ListOf(const std::vector<std::size_t>& servers,
                                               balancer::MembershipUpdate::Kind kind) const {
  dispatch::MembershipList list;
  list.update.kind = kind;
  for (const std::size_t server : servers) {
    const Machine& machine = machines_[server];
    balancer::UpstreamInfo info;
    info.id.value = SimulatedTransport::NameOf(server);
    info.zone = scenario_.zones[machine.zone];
    info.kind = machine.speed > (scenario_.slowest + scenario_.fastest) / 2 ? "fast" : "slow";
    info.state = machine.state;
    info.started = machine.started;
    list.update.upstreams.push_back(info);
    list.locations[info.id.value] = {machine.state, {}, machine.boot_ms};
  }
  return list;
}

void SimulationRun::Deliver(Sidecar& sidecar, std::size_t server) {
  if (stale_) {
    sim_.After(std::chrono::milliseconds(500), [this, &sidecar, server] { Deliver(sidecar, server); });
    return;
  }
  if (!sidecar.dispatcher) return;  // it hears of all when it starts
  SimulationEvent h;
  h.kind = SimulationEvent::Kind::kSidecarNotified;
  h.sidecar = sidecar.id;
  h.server = server;
  h.leaving = machines_[server].state != UpstreamState::kServing;
  Record(h);
  sidecar.dispatcher->Apply(ListOf({server}, balancer::MembershipUpdate::Kind::kChanges));
}

// ---- Sidecars and clients ----

void SimulationRun::Start(Sidecar& sidecar) {
  ++sidecar.lives;
  sidecar.id = static_cast<std::uint64_t>(sidecar.lives) << 32 | sidecar.number;
  sidecar.incarnation = std::make_shared<int>(0);
  sidecar.last_counts = {};
  sidecar.connects = 0;
  sidecar.transport =
      std::make_unique<SimulatedTransport>(sim_, static_cast<SimulatedNetwork&>(*this), scenario_, sidecar.id,
                                           sidecar.zone, sidecar.random.Fork());
  dispatch::Transport* transport = sidecar.transport.get();
  if (injected_fault_ != InjectedFault::kNone) {
    sidecar.saboteur = std::make_unique<Saboteur>(
        *sidecar.transport, scenario_, injected_fault_, sidecar.random.Fork(),
        [this](bool leaving) -> std::optional<std::size_t> {
          for (std::size_t i = machines_.size(); i-- > 0;) {
            const Machine& m = machines_[i];
            if (leaving ? m.state == UpstreamState::kDraining
                        : m.started && m.server->up() && m.server->slow_start_factor() < 1 &&
                              m.state == UpstreamState::kServing) {
              return i;
            }
          }
          return std::nullopt;
        });
    transport = sidecar.saboteur.get();
  }
  sidecar.dispatcher = std::make_unique<dispatch::Dispatcher>(std::make_unique<SimulatedTimer>(sim_),
                                                              scenario_.SettingsOf(sidecar.number),
                                                              sidecar.random.Next(), *transport, log_);
  std::vector<std::size_t> all;
  for (std::size_t i = 0; i < machines_.size(); ++i) {
    if (machines_[i].state != UpstreamState::kGone) all.push_back(i);
  }
  sidecar.dispatcher->Apply(ListOf(all, balancer::MembershipUpdate::Kind::kRestored));
  sidecar.open = true;
  NextArrival(sidecar);
}

void SimulationRun::Stop(Sidecar& sidecar) {
  if (!sidecar.dispatcher) return;
  SimulationEvent h;
  h.kind = SimulationEvent::Kind::kSidecarKilled;
  h.sidecar = sidecar.id;
  Record(h);
  sidecar.open = false;
  sidecar.dispatcher.reset();
  sidecar.saboteur.reset();
  sidecar.transport.reset();
  sidecar.incarnation.reset();
  const auto wants = std::exchange(sidecar.wants, {});
  for (const auto& [client_request, pending] : wants) Close(*pending, RequestOutcome::kFailed);
  sim_.After(Milliseconds(scenario_.start_ms), [this, &sidecar] {
    if (!sidecar.dispatcher) Start(sidecar);
  });
}

void SimulationRun::PlannedStop(Sidecar& sidecar) {
  if (!sidecar.dispatcher || !sidecar.open) return;
  sidecar.open = false;
  AwaitEmpty(sidecar, sidecar.incarnation, sim_.now() + kStopTimeout);
}

void SimulationRun::AwaitEmpty(Sidecar& sidecar, std::weak_ptr<int> incarnation, runtime::TimePoint most) {
  if (incarnation.expired()) return;
  if (sidecar.dispatcher->open() == 0 || sim_.now() >= most) return Stop(sidecar);
  sim_.After(std::chrono::milliseconds(100),
             [this, &sidecar, incarnation, most] { AwaitEmpty(sidecar, incarnation, most); });
}

double SimulationRun::Load() const {
  const double s = InSeconds(runtime::TimePoint(sim_.now() - kEpoch));
  return burst_ * (1 + scenario_.wave * std::sin(6.283185307179586 * s / scenario_.wave_s));
}

void SimulationRun::NextArrival(Sidecar& sidecar) {
  const double rate = sidecar.rate * sidecar.times * Load();
  // Looked at again where the rate may have risen meanwhile.
  const double wait = sidecar.random.Exponential(1 / std::max(rate, 1e-9));
  constexpr double kMostWait = 0.25;
  sim_.After(SecondsOf(std::min(wait, kMostWait)),
             [this, &sidecar, wait, incarnation = std::weak_ptr(sidecar.incarnation)] {
               if (incarnation.expired() || !sidecar.open) return;
               if (wait <= kMostWait) {
                 double draw = 0;
                 for (const ClassLoad& c : scenario_.classes) draw += c.share;
                 draw *= arrivals_.Uniform();
                 std::size_t cls = 0;
                 while (cls + 1 < scenario_.classes.size() && draw >= scenario_.classes[cls].share) {
                   draw -= scenario_.classes[cls++].share;
                 }
                 const ClassLoad& c = scenario_.classes[cls];
                 auto pending = std::make_shared<PendingClientRequest>();
                 pending->client_request = ++last_client_request_;
                 pending->cls = cls;
                 pending->options = sim_.now();
                 pending->until = sim_.now() + Milliseconds(c.deadline_ms);
                 pending->work = c.work_ms * arrivals_.LogNormal(c.work_cv);
                 pending->impatient = impatient_ > 0 && arrivals_.Chance(impatient_);
                 const double retries = scenario_.retries;
                 pending->most_tries = 1 + static_cast<int>(retries) +
                                       (arrivals_.Chance(retries - std::floor(retries)) ? 1 : 0);
                 if (pending->impatient) pending->most_tries += 2;
                 sidecar.wants[pending->client_request] = pending;
                 SimulationEvent h;
                 h.kind = SimulationEvent::Kind::kRequested;
                 h.request = pending->client_request;
                 h.cls = cls;
                 Record(h);
                 SendRequest(sidecar, pending);
               }
               NextArrival(sidecar);
             });
}

void SimulationRun::SendRequest(Sidecar& sidecar, std::shared_ptr<PendingClientRequest> pending) {
  ++pending->client_attempts;
  const std::uint64_t request = ++last_request_;
  ++accepted_;
  auto client_request = std::make_shared<ClientRequest>();
  client_request->request = request;
  client_request->cls = pending->cls;
  client_request->work = pending->work;
  SimulationEvent h;
  h.kind = SimulationEvent::Kind::kAccepted;
  h.sidecar = sidecar.id;
  h.request = request;
  h.cls = pending->cls;
  h.until = pending->until;
  Record(h);
  dispatch::NewRequest taken;
  taken.request_class = balancer::ClassId{pending->cls};
  taken.deadline = pending->until;
  taken.message = client_request;
  taken.on_final = [this, &sidecar, pending, request](dispatch::Final final) {
    OnFinalAnswer(sidecar, pending, request, final);
  };
  const auto id = sidecar.dispatcher->Submit(std::move(taken));
  if (!pending->impatient || !id) return;
  // Leaves at a third of its aim, and comes again at once.
  sim_.After(Milliseconds(scenario_.classes[pending->cls].latency_objective_ms / 3),
             [this, &sidecar, pending, request, id, client_attempts = pending->client_attempts,
              incarnation = std::weak_ptr(sidecar.incarnation)] {
               if (incarnation.expired() || !sidecar.wants.contains(pending->client_request) ||
                   pending->client_attempts != client_attempts)
                 return;
               if (pending->client_attempts >= pending->most_tries) return;
               SimulationEvent left;
               left.kind = SimulationEvent::Kind::kClientLeft;
               left.sidecar = sidecar.id;
               left.request = request;
               Record(left);
               sidecar.dispatcher->OnClientDisconnected(*id);
               SendRequest(sidecar, pending);
             });
}

void SimulationRun::OnFinalAnswer(Sidecar& sidecar, const std::shared_ptr<PendingClientRequest>& pending,
                                  std::uint64_t request, const dispatch::Final& final) {
  if (injected_fault_ == InjectedFault::kDroppedAnswer && request % 997 == 0) return;
  SimulationEvent h;
  h.kind = SimulationEvent::Kind::kAnswered;
  h.sidecar = sidecar.id;
  h.request = request;
  h.cls = pending->cls;
  h.request_outcome = RequestOutcomeOf(final);
  Record(h);
  const bool again = h.request_outcome != RequestOutcome::kServed &&
                     pending->client_attempts < pending->most_tries &&
                     (h.request_outcome == RequestOutcome::kRefused ||
                      scenario_.classes[pending->cls].effect == balancer::Effect::kSafe);
  runtime::Duration wait =
      Milliseconds(scenario_.backoff_ms * (0.5 + sidecar.random.Uniform()) * pending->client_attempts);
  wait = std::max(wait, final.retry_after);
  if (!again || sim_.now() + wait >= pending->until) {
    Close(*pending, h.request_outcome);
    sidecar.wants.erase(pending->client_request);
    return;
  }
  sim_.After(wait, [this, &sidecar, pending, incarnation = std::weak_ptr(sidecar.incarnation)] {
    if (!incarnation.expired()) SendRequest(sidecar, pending);
  });
}

void SimulationRun::Close(const PendingClientRequest& pending, RequestOutcome request_outcome) {
  SimulationEvent h;
  h.kind = SimulationEvent::Kind::kResolved;
  h.request = pending.client_request;
  h.cls = pending.cls;
  h.request_outcome = request_outcome;
  h.late = sim_.now() > pending.options + Milliseconds(scenario_.classes[pending.cls].latency_objective_ms);
  Record(h);
}

// ---- Trouble ----

std::vector<std::size_t> SimulationRun::Share(std::size_t of, double part) {
  std::vector<std::size_t> all(of);
  std::iota(all.begin(), all.end(), std::size_t{0});
  for (std::size_t i = of; i > 1; --i) std::swap(all[i - 1], all[random_.Below(i)]);
  all.resize(static_cast<std::size_t>(std::llround(part * static_cast<double>(of))));
  return all;
}

void SimulationRun::Plan(const Fault& fault) {
  const auto at = runtime::TimePoint(kEpoch) + SecondsOf(fault.at_s);
  sim_.At(at, [this, &fault] { BeginFault(fault); });
}

void SimulationRun::BeginFault(const Fault& fault) {
  const runtime::Duration length = SecondsOf(fault.len_s);
  const auto zone = static_cast<std::size_t>(
      std::find(scenario_.zones.begin(), scenario_.zones.end(), fault.zone) - scenario_.zones.begin());
  const auto later = [this, length](auto act) { sim_.After(length, act); };
  std::vector<std::size_t> serving;
  for (std::size_t i = 0; i < machines_.size(); ++i) {
    if (machines_[i].state == UpstreamState::kServing) serving.push_back(i);
  }
  const auto some = [&] {
    std::vector<std::size_t> chosen;
    for (const std::size_t i : Share(serving.size(), fault.part)) chosen.push_back(serving[i]);
    return chosen;
  };
  switch (fault.kind) {
    case FaultKind::kCutZone:
      cut_[zone] = true;
      later([this, zone] { cut_[zone] = false; });
      break;
    case FaultKind::kLoseZone: {
      lost_[zone] = true;
      std::vector<std::size_t> gone;
      for (const std::size_t i : serving) {
        if (machines_[i].zone == zone) gone.push_back(i);
      }
      sim_.After(kUnresponsiveNotice, [this, zone, gone] {
        if (!lost_[zone]) return;
        for (const std::size_t i : gone) machines_[i].state = UpstreamState::kGone, Changed(i);
      });
      later([this, zone, gone] {
        lost_[zone] = false;
        for (const std::size_t i : gone) KillServer(i), BootServer(i);
      });
      break;
    }
    case FaultKind::kUnresponsive:
      for (const std::size_t i : some()) {
        machines_[i].unresponsive = true;
        later([this, i] { machines_[i].unresponsive = false; });
      }
      break;
    case FaultKind::kSlow:
      for (const std::size_t i : some()) {
        machines_[i].server->Slow(std::max(1.0, fault.size));
        later([this, i] { machines_[i].server->Slow(1); });
      }
      break;
    case FaultKind::kErrors:
      for (const std::size_t i : some()) {
        machines_[i].server->Fail(std::min(1.0, fault.size));
        later([this, i] { machines_[i].server->Fail(0); });
      }
      break;
    case FaultKind::kFlap:
      for (const std::size_t i : some()) Flap(i, fault.size, sim_.now() + length);
      break;
    case FaultKind::kReplace: {
      const auto chosen = some();
      for (std::size_t n = 0; n < chosen.size(); ++n) {
        const std::size_t i = chosen[n];
        const double along =
            static_cast<double>(n) / static_cast<double>(std::max<std::size_t>(1, chosen.size()));
        sim_.After(SecondsOf(fault.len_s * along), [this, i] {
          machines_[i].state = UpstreamState::kDraining;
          Changed(i);
          sim_.After(kReplacement,
                     [this, i] { BootServer(AddServer(machines_[i].zone, machines_[i].speed)); });
          sim_.After(SecondsOf(scenario_.drain_s), [this, i] {
            machines_[i].state = UpstreamState::kGone;
            KillServer(i);
            Changed(i);
          });
        });
      }
      break;
    }
    case FaultKind::kKill:
      for (const std::size_t i : Share(sidecars_.size(), fault.part)) Stop(*sidecars_[i]);
      break;
    case FaultKind::kRestart:
      for (const auto& sidecar : sidecars_) {
        const double along = static_cast<double>(sidecar->number) / static_cast<double>(sidecars_.size());
        sim_.After(SecondsOf(fault.len_s * along), [this, &sidecar = *sidecar] { PlannedStop(sidecar); });
      }
      break;
    case FaultKind::kBurst:
      burst_ *= fault.size;
      later([this, &fault] { burst_ /= fault.size; });
      break;
    case FaultKind::kHotSidecars:
      for (const std::size_t i : Share(sidecars_.size(), fault.part)) {
        sidecars_[i]->times *= fault.size;
        later([this, i, &fault] { sidecars_[i]->times /= fault.size; });
      }
      break;
    case FaultKind::kStale:
      stale_ = true;
      later([this] { stale_ = false; });
      break;
    case FaultKind::kImpatient:
      impatient_ = fault.part;
      later([this] { impatient_ = 0; });
      break;
  }
}

void SimulationRun::Flap(std::size_t server, double away_s, runtime::TimePoint end) {
  if (sim_.now() >= end) return;
  KillServer(server);
  sim_.After(SecondsOf(away_s), [this, server] { BootServer(server); });
  sim_.After(SecondsOf(2 * away_s), [this, server, away_s, end] { Flap(server, away_s, end); });
}

// Looks at the world as it is, as people would.
void SimulationRun::EachSecond() {
  const double s = InSeconds(runtime::TimePoint(sim_.now() - kEpoch));
  if (s >= scenario_.length_s) return;
  Second& second = figures_.At(s);
  double able = 0;
  double demand = 0;
  for (const Machine& machine : machines_) {
    const bool listed = machine.state == UpstreamState::kServing;
    const bool there = machine.server->up() && !machine.unresponsive && !lost_[machine.zone];
    if (listed && there) able += machine.server->able();
    if (listed && there && machine.server->slow_start_factor() < 1) ++second.warming_up;
    if (listed && !there) ++second.down;
    second.in_flight += static_cast<double>(machine.server->in_flight());
  }
  for (const auto& sidecar : sidecars_) {
    if (!sidecar->dispatcher) continue;
    if (sidecar->open) demand += sidecar->rate * sidecar->times;
    const balancer::Counts counts = sidecar->dispatcher->counts();
    second.overload += counts.overload - sidecar->last_counts.overload;
    second.nobody += counts.nobody - sidecar->last_counts.nobody;
    second.given_up += counts.given_up - sidecar->last_counts.given_up;
    second.retries += counts.retries - sidecar->last_counts.retries;
    second.hedges += counts.hedges - sidecar->last_counts.hedges;
    second.half_open_probes += counts.half_open_probes - sidecar->last_counts.half_open_probes;
    second.shed += counts.shed / static_cast<double>(sidecars_.size());
    second.ejected += counts.ejected - sidecar->last_counts.ejected;
    second.returned += counts.returned - sidecar->last_counts.returned;
    second.connects += sidecar->transport->connects() - sidecar->connects;
    sidecar->last_counts = counts;
    sidecar->connects = sidecar->transport->connects();
  }
  second.able = able / warm_;
  second.demand = demand * Load() * work_ / 1000 / warm_;
  sim_.After(std::chrono::seconds(1), [this] { EachSecond(); });
}

}  // namespace mothrack::simulation
