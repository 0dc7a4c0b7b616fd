// One run in simulated time: sidecars that use the dispatcher and the balancer of the real sidecar, and
// simulated servers, zones, discovery, clients and faults. The same seed gives the same history. Not
// thread-safe. The methods are in simulation_run.cpp (servers, lists, sidecars), simulation_clients.cpp and
// simulation_faults.cpp.
#pragma once

#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/dispatcher.h"
#include "simulation/fault_injector.h"
#include "simulation/figures.h"
#include "simulation/invariants.h"
#include "simulation/scenario.h"
#include "simulation/server.h"
#include "simulation/simulated_transport.h"
#include "simulation/simulator.h"

namespace mothrack::simulation {

// The results of a run in addition to its figures.
struct RunOutcome {
  std::uint64_t digest = 0;  // hash of all recorded events in their order
  std::uint64_t recorded_events = 0;
  std::uint64_t events = 0;    // events of the event queue (src/simulation/simulator.h) that were run
  std::uint64_t requests = 0;  // requests that sidecars accepted
  std::vector<Breach> breaches;
  std::size_t broken = 0;      // number of breaches of all rules
  std::size_t still_open = 0;  // requests past their deadline without an answer; 0 if the program is correct
};

// The constructor builds the fleet from the scenario. Call Run() once.
class SimulationRun : private SimulatedNetwork {
 public:
  SimulationRun(const Scenario& scenario, std::uint64_t seed,
                InjectedFault injected_fault = InjectedFault::kNone);
  ~SimulationRun() override;

  RunOutcome Run();
  const Figures& figures() const { return figures_; }

 private:
  struct Sidecar;
  struct PendingClientRequest;
  // A server and its state in discovery and on the network.
  struct Machine {
    std::unique_ptr<Server> server;
    std::size_t zone = 0;
    balancer::UpstreamState state = balancer::UpstreamState::kServing;
    std::int64_t boot_ms = 0;
    std::optional<runtime::TimePoint> started;
    bool unresponsive = false;  // drops everything that it is sent
    double speed = 1;
  };

  // Implement the simulated network.
  runtime::Duration Delay(std::size_t zone, std::size_t server) override;
  bool IsReachable(std::size_t zone, std::size_t server) const override;
  Server& At(std::size_t server) override { return *machines_[server].server; }
  void Record(SimulationEvent event) override;
  std::uint64_t NextJob() override { return ++last_job_; }

  // Servers and lists.
  std::size_t AddServer(std::size_t zone, double speed);
  // Ends the server process; the sidecars that reach it see their connections close.
  void KillServer(std::size_t server);
  void BootServer(std::size_t server);
  // Sends each sidecar the server's state, after the sidecar's discovery delay.
  void NotifySidecars(std::size_t server);
  dispatch::MembershipList ListOf(const std::vector<std::size_t>& servers,
                                  balancer::MembershipUpdate::Kind kind) const;
  void DeliverUpdate(Sidecar& sidecar, std::size_t server);

  // Sidecars and clients.
  void Start(Sidecar& sidecar);
  // Kills the sidecar and starts it again after Scenario::start_ms.
  void KillAndRestart(Sidecar& sidecar);
  // Accepts no more requests, waits for the open ones to end, and then restarts the sidecar.
  void PlannedRestart(Sidecar& sidecar);
  void AwaitQuiescence(Sidecar& sidecar, std::weak_ptr<int> incarnation, runtime::TimePoint deadline);
  void ScheduleNextArrival(Sidecar& sidecar);
  std::size_t DrawClass();
  void BeginClientRequest(Sidecar& sidecar);
  void SendRequest(Sidecar& sidecar, std::shared_ptr<PendingClientRequest> pending);
  void OnFinalAnswer(Sidecar& sidecar, const std::shared_ptr<PendingClientRequest>& pending,
                     std::uint64_t request, const dispatch::FinalAnswer& final);
  void RecordResolved(const PendingClientRequest& pending, RequestOutcome request_outcome);
  // The load at this time relative to the scenario's mean load: its wave times the bursts.
  double LoadFactor() const;

  // Faults.
  void ScheduleFault(const Fault& fault);
  void BeginFault(const Fault& fault);
  std::size_t ZoneOf(const Fault& fault) const;
  std::vector<std::size_t> ServingServers() const;
  // Draws the share `part` of the serving servers at random.
  std::vector<std::size_t> ChooseServers(double part);
  void LoseZone(std::size_t zone, runtime::Duration length);
  void ImpairServers(const Fault& fault);
  void SetImpaired(std::size_t server, const Fault& fault, bool impaired);
  void ReplaceServers(const Fault& fault);
  void ReplaceServer(std::size_t server);
  void RestartSidecars(const Fault& fault);
  void RaiseRates(const Fault& fault);
  // Stops the server and starts it after `down_s` seconds; does so again every 2 * `down_s` until `end`.
  void Flap(std::size_t server, double down_s, runtime::TimePoint end);
  // Draws the share `part` of the indices below `count` at random.
  std::vector<std::size_t> ChooseIndices(std::size_t count, double part);
  // Adds the actual state of the fleet, rather than what the sidecars know of it, to the figures once a
  // second.
  void SampleSecond();

  const Scenario scenario_;
  const InjectedFault injected_fault_;
  Simulator sim_;
  Random random_;
  Random arrivals_;
  Random network_;
  std::ostream null_stream_{nullptr};
  runtime::Logger log_{"lab", null_stream_};
  Figures figures_;
  RuleChecker rule_checker_;
  std::vector<Machine> machines_;
  std::vector<std::unique_ptr<Sidecar>> sidecars_;
  std::vector<bool> zone_cut_off_;  // by zone
  std::vector<bool> zone_lost_;     // by zone
  bool stale_ = false;
  double burst_factor_ = 1;
  double impatient_share_ = 0;
  double request_rate_ = 0;  // client requests per second, over all sidecars
  // Capacity of the initial servers without slow start, in milliseconds of work per millisecond.
  double warm_capacity_ = 0;
  double mean_work_ = 0;  // mean work of a client request, milliseconds
  std::uint64_t last_request_ = 0;
  std::uint64_t last_client_request_ = 0;
  std::uint64_t last_job_ = 0;
  struct Hash;
  std::unique_ptr<Hash> hash_;
  std::uint64_t recorded_events_ = 0;
  std::uint64_t accepted_ = 0;
};

}  // namespace mothrack::simulation
