// A whole night in made-up time: sidecars with the program's own dispatcher and decision module in them,
// servers, zones, discovery, clients, and trouble. One seed, one history.
#pragma once

#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/dispatcher.h"
#include "simulation/carrier.h"
#include "simulation/figures.h"
#include "simulation/rules.h"
#include "simulation/scenario.h"
#include "simulation/server.h"
#include "simulation/sim.h"

namespace mothrack::simulation {

// Faults put in on purpose, to see that the rules' checkers find them.
enum class Planted { kNone, kResend, kAfterDrain, kDroppedAnswer, kColdFlood };

struct Outcome {
  std::uint64_t digest = 0;  // of everything that happened, in its order
  std::uint64_t happenings = 0;
  std::uint64_t events = 0;
  std::uint64_t requests = 0;  // that sidecars took
  std::vector<Break> breaks;
  std::size_t broken = 0;
  std::size_t still_open = 0;  // requests whose time is over and that nobody answered: 0
};

class World : private Links {
 public:
  World(const Scenario& scenario, std::uint64_t seed, Planted planted = Planted::kNone);
  ~World() override;

  Outcome Run();
  const Figures& figures() const { return figures_; }

 private:
  struct Sidecar;
  struct Want;
  struct Machine {
    std::unique_ptr<Server> server;
    std::size_t zone = 0;
    balancer::UpstreamState state = balancer::UpstreamState::kServing;
    std::int64_t boot_ms = 0;
    std::optional<runtime::TimePoint> started;
    bool silent = false;  // its machine says nothing
    double speed = 1;
  };

  // Links.
  runtime::Duration Delay(std::size_t zone, std::size_t server) override;
  bool Passes(std::size_t zone, std::size_t server) const override;
  Server& At(std::size_t server) override { return *machines_[server].server; }
  void Tell(Happening h) override;
  std::uint64_t NextJob() override { return ++last_job_; }

  // Servers and lists.
  std::size_t AddServer(std::size_t zone, double speed);
  void KillServer(std::size_t server);
  void BootServer(std::size_t server);
  void Changed(std::size_t server);
  dispatch::MembershipList ListOf(const std::vector<std::size_t>& servers,
                                  balancer::MembershipUpdate::Kind kind) const;
  void Deliver(Sidecar& sidecar, std::size_t server);

  // Sidecars and clients.
  void Start(Sidecar& sidecar);
  void Stop(Sidecar& sidecar);
  void PlannedStop(Sidecar& sidecar);
  void AwaitEmpty(Sidecar& sidecar, std::weak_ptr<int> life, runtime::TimePoint most);
  void NextArrival(Sidecar& sidecar);
  void Ask(Sidecar& sidecar, std::shared_ptr<Want> want);
  void Heard(Sidecar& sidecar, const std::shared_ptr<Want>& want, std::uint64_t request,
             const dispatch::Final& final);
  void Close(const Want& want, Ending ending);
  double Load() const;

  // Trouble.
  void Plan(const Fault& fault);
  void Begin(const Fault& fault);
  void Flap(std::size_t server, double away_s, runtime::TimePoint end);
  std::vector<std::size_t> Share(std::size_t of, double part);
  void EachSecond();

  const Scenario scenario_;
  const Planted planted_;
  Simulator sim_;
  Random random_;
  Random arrivals_;
  Random network_;
  std::ostream nowhere_{nullptr};
  runtime::Logger log_{"lab", nowhere_};
  Figures figures_;
  Rules rules_;
  std::vector<Machine> machines_;
  std::vector<std::unique_ptr<Sidecar>> sidecars_;
  std::vector<bool> cut_;  // zones
  std::vector<bool> lost_;
  bool stale_ = false;
  double burst_ = 1;
  double impatient_ = 0;
  double rate_ = 0;  // wishes a second, over the fleet
  double warm_ = 0;  // what all first servers can do, when warm
  double work_ = 0;  // of a wish, in the mean
  std::uint64_t last_request_ = 0;
  std::uint64_t last_wish_ = 0;
  std::uint64_t last_job_ = 0;
  struct Hash;
  std::unique_ptr<Hash> hash_;
  std::uint64_t happenings_ = 0;
  std::uint64_t taken_ = 0;
};

}  // namespace mothrack::simulation
