#include "simulation/simulation_run.h"

#include <xxhash.h>

#include <algorithm>
#include <numeric>
#include <utility>

#include "simulation/simulation_run_state.h"

namespace mothrack::simulation {
namespace {

using balancer::UpstreamState;

// The longest time that a planned stop waits for open requests: the longest deadline of the scenarios plus a
// margin.
constexpr runtime::Duration kStopTimeout = std::chrono::seconds(5);
// The minimum rate of a sidecar as a share of the mean rate, so that every sidecar gets some requests.
constexpr double kMinRateShare = 0.02;

RuleChecker::Limits LimitsOf(const Scenario& scenario) {
  RuleChecker::Limits limits;
  for (const ClassLoad& class_load : scenario.classes)
    limits.unsafe.push_back(class_load.effect == balancer::Effect::kUnsafe);
  limits.slow_start_initial_share = scenario.slow_start_initial_share;
  limits.slow_start_duration = SecondsOf(scenario.slow_start_s);
  return limits;
}

}  // namespace

// Computes the digest of the run: a hash of the recorded events.
struct SimulationRun::Hash {
  Hash() { XXH64_reset(state.get(), 0); }
  void Add(const SimulationEvent& event) {
    const std::uint64_t words[] = {
        static_cast<std::uint64_t>(event.kind),
        static_cast<std::uint64_t>(event.at.time_since_epoch().count()),
        event.sidecar,
        event.request,
        event.server,
        static_cast<std::uint64_t>(event.request_outcome) << 8 | static_cast<std::uint64_t>(event.outcome)};
    XXH64_update(state.get(), words, sizeof words);
  }
  struct Free {
    void operator()(XXH64_state_t* hash_state) const { XXH64_freeState(hash_state); }
  };
  std::unique_ptr<XXH64_state_t, Free> state{XXH64_createState()};
};

SimulationRun::SimulationRun(const Scenario& scenario, std::uint64_t seed, InjectedFault injected_fault)
    : scenario_(scenario),
      injected_fault_(injected_fault),
      random_(seed),
      arrivals_(random_.Fork()),
      network_(random_.Fork()),
      figures_(scenario_),
      rule_checker_(LimitsOf(scenario_)),
      zone_cut_off_(scenario.zones.size()),
      zone_lost_(scenario.zones.size()),
      hash_(std::make_unique<Hash>()) {
  sim_.RunUntil(runtime::TimePoint(kEpoch));
  // Servers are assigned to the zones in turn; this is the index of a server within its zone.
  const auto place_in_zone = [&](std::size_t server) { return server / scenario_.zones.size(); };
  for (std::size_t i = 0; i < scenario_.servers; ++i) {
    // The position is 0 for the slowest server of a zone and 1 for the fastest.
    const double position = scenario_.servers > 1
                                ? static_cast<double>(place_in_zone(i)) /
                                      std::max(1.0, static_cast<double>(place_in_zone(scenario_.servers - 1)))
                                : 0;
    const double speed =
        scenario_.slowest + (scenario_.fastest - scenario_.slowest) * std::min(1.0, position);
    AddServer(i % scenario_.zones.size(), speed);
    warm_capacity_ += machines_.back().server->capacity();
  }
  double total_share = 0;
  for (const ClassLoad& class_load : scenario_.classes) total_share += class_load.share;
  for (const ClassLoad& class_load : scenario_.classes)
    mean_work_ += class_load.share / total_share * class_load.work_ms;
  request_rate_ = scenario_.use * warm_capacity_ * 1000 / mean_work_;

  std::vector<double> weights;
  Random skew = random_.Fork();
  for (std::size_t i = 0; i < scenario_.sidecars; ++i) {
    weights.push_back(std::max(kMinRateShare, skew.LogNormal(scenario_.skew)));
  }
  const double sum = std::accumulate(weights.begin(), weights.end(), 0.0);
  for (std::size_t i = 0; i < scenario_.sidecars; ++i) {
    auto sidecar = std::make_unique<Sidecar>();
    sidecar->number = i;
    sidecar->zone = i % scenario_.zones.size();
    sidecar->rate = request_rate_ * weights[i] / sum;
    sidecar->random = random_.Fork();
    sidecar->discovery_delay =
        SecondsOf(sidecar->random.Between(scenario_.notice_from_s, scenario_.notice_to_s));
    sidecars_.push_back(std::move(sidecar));
    Start(*sidecars_.back());
  }
  for (const Fault& fault : scenario_.faults) ScheduleFault(fault);
  SampleSecond();
}

SimulationRun::~SimulationRun() {
  for (const auto& sidecar : sidecars_) sidecar->dispatcher.reset();
}

RunOutcome SimulationRun::Run() {
  const runtime::TimePoint end = runtime::TimePoint(kEpoch) + SecondsOf(scenario_.length_s);
  sim_.RunUntil(end);
  // Sidecars accept no new requests; the open ones are run to their end.
  for (const auto& sidecar : sidecars_) sidecar->open = false;
  runtime::Duration longest{};  // deadline
  for (const ClassLoad& class_load : scenario_.classes)
    longest = std::max(longest, Milliseconds(class_load.deadline_ms));
  sim_.RunUntil(end + longest + std::chrono::seconds(1));
  rule_checker_.End(runtime::TimePoint(sim_.now() - kEpoch));
  figures_.Finish();
  RunOutcome outcome;
  outcome.digest = XXH64_digest(hash_->state.get());
  outcome.recorded_events = recorded_events_;
  outcome.events = sim_.events();
  outcome.requests = accepted_;
  outcome.breaches = rule_checker_.breaches();
  outcome.broken = rule_checker_.total();
  for (const auto& sidecar : sidecars_) {
    if (sidecar->dispatcher) outcome.still_open += sidecar->dispatcher->in_flight();
  }
  return outcome;
}

// ---- Network ----

runtime::Duration SimulationRun::Delay(std::size_t zone, std::size_t server) {
  const double mean = zone == machines_[server].zone ? scenario_.same_ms : scenario_.cross_ms;
  return Milliseconds(mean * network_.LogNormal(scenario_.jitter));
}

bool SimulationRun::IsReachable(std::size_t zone, std::size_t server) const {
  const Machine& machine = machines_[server];
  if (machine.unresponsive || zone_lost_[machine.zone]) return false;
  return zone == machine.zone || (!zone_cut_off_[zone] && !zone_cut_off_[machine.zone]);
}

void SimulationRun::Record(SimulationEvent event) {
  event.at = runtime::TimePoint(sim_.now() - kEpoch);
  if (event.until != runtime::TimePoint{}) event.until = runtime::TimePoint(event.until - kEpoch);
  ++recorded_events_;
  hash_->Add(event);
  rule_checker_.Record(event);
  figures_.Record(event);
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
    if (sidecar->transport && IsReachable(sidecar->zone, server)) sidecar->transport->OnServerStopped(server);
  }
}

void SimulationRun::BootServer(std::size_t server) {
  Machine& machine = machines_[server];
  machine.server->Boot();
  machine.started = sim_.now();
  machine.boot_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(sim_.now().time_since_epoch()).count();
  machine.state = UpstreamState::kServing;
  SimulationEvent event;
  event.kind = SimulationEvent::Kind::kServerStarted;
  event.server = server;
  event.work = machine.server->capacity();
  Record(event);
  NotifySidecars(server);
}

void SimulationRun::NotifySidecars(std::size_t server) {
  for (const auto& sidecar : sidecars_) {
    sim_.After(sidecar->discovery_delay,
               [this, &sidecar = *sidecar, server] { DeliverUpdate(sidecar, server); });
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

void SimulationRun::DeliverUpdate(Sidecar& sidecar, std::size_t server) {
  if (stale_) {
    sim_.After(std::chrono::milliseconds(500), [this, &sidecar, server] { DeliverUpdate(sidecar, server); });
    return;
  }
  if (!sidecar.dispatcher) return;  // a sidecar gets the full list when it starts
  SimulationEvent event;
  event.kind = SimulationEvent::Kind::kSidecarNotified;
  event.sidecar = sidecar.id;
  event.server = server;
  event.leaving = machines_[server].state != UpstreamState::kServing;
  Record(event);
  sidecar.dispatcher->Apply(ListOf({server}, balancer::MembershipUpdate::Kind::kChanges));
}

// ---- Sidecars and clients ----

void SimulationRun::Start(Sidecar& sidecar) {
  ++sidecar.starts;
  sidecar.id = static_cast<std::uint64_t>(sidecar.starts) << 32 | sidecar.number;
  sidecar.incarnation = std::make_shared<int>(0);
  sidecar.last_counts = {};
  sidecar.last_connects = 0;
  sidecar.transport =
      std::make_unique<SimulatedTransport>(sim_, static_cast<SimulatedNetwork&>(*this), scenario_, sidecar.id,
                                           sidecar.zone, sidecar.random.Fork());
  dispatch::Transport* transport = sidecar.transport.get();
  if (injected_fault_ != InjectedFault::kNone) {
    sidecar.fault_injector =
        std::make_unique<FaultInjector>(*sidecar.transport, scenario_, injected_fault_, sidecar.random.Fork(),
                                        [this](bool leaving) -> std::optional<std::size_t> {
                                          for (std::size_t i = machines_.size(); i-- > 0;) {
                                            const Machine& machine = machines_[i];
                                            if (leaving ? machine.state == UpstreamState::kDraining
                                                        : machine.started && machine.server->up() &&
                                                              machine.server->slow_start_factor() < 1 &&
                                                              machine.state == UpstreamState::kServing) {
                                              return i;
                                            }
                                          }
                                          return std::nullopt;
                                        });
    transport = sidecar.fault_injector.get();
  }
  sidecar.dispatcher = std::make_unique<dispatch::Dispatcher>(std::make_unique<SimulatedTimer>(sim_),
                                                              scenario_.SettingsOf(sidecar.number),
                                                              sidecar.random.Next(), *transport, log_);
  std::vector<std::size_t> listed;
  for (std::size_t i = 0; i < machines_.size(); ++i) {
    if (machines_[i].state != UpstreamState::kGone) listed.push_back(i);
  }
  sidecar.dispatcher->Apply(ListOf(listed, balancer::MembershipUpdate::Kind::kRestored));
  sidecar.open = true;
  ScheduleNextArrival(sidecar);
}

void SimulationRun::KillAndRestart(Sidecar& sidecar) {
  if (!sidecar.dispatcher) return;
  SimulationEvent event;
  event.kind = SimulationEvent::Kind::kSidecarKilled;
  event.sidecar = sidecar.id;
  Record(event);
  sidecar.open = false;
  sidecar.dispatcher.reset();
  sidecar.fault_injector.reset();
  sidecar.transport.reset();
  sidecar.incarnation.reset();
  const auto pending_requests = std::exchange(sidecar.pending_requests, {});
  for (const auto& [number, pending] : pending_requests) RecordResolved(*pending, RequestOutcome::kFailed);
  sim_.After(Milliseconds(scenario_.start_ms), [this, &sidecar] {
    if (!sidecar.dispatcher) Start(sidecar);
  });
}

void SimulationRun::PlannedRestart(Sidecar& sidecar) {
  if (!sidecar.dispatcher || !sidecar.open) return;
  sidecar.open = false;
  AwaitQuiescence(sidecar, sidecar.incarnation, sim_.now() + kStopTimeout);
}

void SimulationRun::AwaitQuiescence(Sidecar& sidecar, std::weak_ptr<int> incarnation,
                                    runtime::TimePoint deadline) {
  if (incarnation.expired()) return;
  if (sidecar.dispatcher->open() == 0 || sim_.now() >= deadline) return KillAndRestart(sidecar);
  sim_.After(std::chrono::milliseconds(100), [this, &sidecar, incarnation = std::move(incarnation),
                                              deadline] { AwaitQuiescence(sidecar, incarnation, deadline); });
}

void SimulationRun::SampleSecond() {
  const double now_s = InSeconds(runtime::TimePoint(sim_.now() - kEpoch));
  if (now_s >= scenario_.length_s) return;
  Second& second = figures_.At(now_s);
  double available_capacity = 0;
  double demand = 0;
  for (const Machine& machine : machines_) {
    const bool listed = machine.state == UpstreamState::kServing;
    const bool reachable = machine.server->up() && !machine.unresponsive && !zone_lost_[machine.zone];
    if (listed && reachable) available_capacity += machine.server->available_capacity();
    if (listed && reachable && machine.server->slow_start_factor() < 1) ++second.warming_up;
    if (listed && !reachable) ++second.down;
    second.in_flight += static_cast<double>(machine.server->in_flight());
  }
  for (const auto& sidecar : sidecars_) {
    if (!sidecar->dispatcher) continue;
    if (sidecar->open) demand += sidecar->rate * sidecar->rate_factor;
    const balancer::Counts counts = sidecar->dispatcher->counts();
    second.overload += counts.overload - sidecar->last_counts.overload;
    second.no_upstream += counts.no_upstream - sidecar->last_counts.no_upstream;
    second.given_up += counts.given_up - sidecar->last_counts.given_up;
    second.retries += counts.retries - sidecar->last_counts.retries;
    second.hedges += counts.hedges - sidecar->last_counts.hedges;
    second.half_open_probes += counts.half_open_probes - sidecar->last_counts.half_open_probes;
    second.shed += counts.shed / static_cast<double>(sidecars_.size());
    second.ejected += counts.ejected - sidecar->last_counts.ejected;
    second.returned += counts.returned - sidecar->last_counts.returned;
    second.connects += sidecar->transport->connects() - sidecar->last_connects;
    sidecar->last_counts = counts;
    sidecar->last_connects = sidecar->transport->connects();
  }
  second.available_capacity = available_capacity / warm_capacity_;
  second.demand = demand * LoadFactor() * mean_work_ / 1000 / warm_capacity_;
  sim_.After(std::chrono::seconds(1), [this] { SampleSecond(); });
}

}  // namespace mothrack::simulation
