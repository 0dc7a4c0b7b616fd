// What a run simulates: a fleet, its load, the faults over time, and what is expected. Read from TOML; every
// error of a file names table, key and remedy. Times are milliseconds or seconds, as the names say; shares
// are of 1. The keys of a file are operators' settings: docs/operators/simulator.md.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "balancer/balancer.h"

namespace mothrack::simulation {

// A scenario that can't be read: path, place, cause and remedy as text.
class ScenarioError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

enum class FaultKind {
  kCutZone,       // a zone is cut off from the others, silently
  kLoseZone,      // a zone's machines vanish silently, and come back cold
  kUnresponsive,  // a share of the servers swallows all it is sent
  kSlow,          // a share of the servers takes `size` times as long
  kErrors,        // a share of the servers answers `size` of its calls with an error
  kFlap,          // a share of the servers dies and is back after `size` seconds, again and again
  kReplace,      // a share of the servers is replaced, one after the other over the time: listed as draining,
                 // then removed
  kKill,         // a share of the sidecars is killed at once and started anew
  kRestart,      // all sidecars have a planned restart, one after the other over the time
  kBurst,        // `size` times the load
  kHotSidecars,  // `size` times the load of a share of the sidecars
  kStale,        // discovery sends no updates
  kImpatient,    // a share of the clients leaves early and comes again at once
};

// A fault: its kind, when and for how long, and what of the fleet it concerns.
struct Fault {
  FaultKind kind{};
  double at_s = 0;
  double len_s = 0;
  double part = 0;
  double size = 1;
  std::string zone{};
};

// A request class and its share of the load.
struct ClassLoad {
  std::string name{};
  double share = 1;
  double work_ms = 60;  // of a core of speed 1
  double work_cv = 0.5;
  double latency_objective_ms = 400;
  double deadline_ms = 1000;
  double priority_weight = 1;
  balancer::Effect effect = balancer::Effect::kSafe;
};

// A scenario with the defaults of what its file leaves out.
struct Scenario {
  std::string name{};
  std::string about{};
  double length_s = 60;
  // Sidecars, and how unevenly traffic is spread over them: the coefficient of variation of their rates.
  std::size_t sidecars = 20;
  double skew = 0.5;
  double start_ms = 300;  // from a kill until it listens again
  // Servers, dealt to the zones in turn.
  std::size_t servers = 12;
  std::vector<std::string> zones = {"bole-hall", "kality-hall"};
  double cores = 3;
  double slowest = 1;  // speeds are dealt evenly from here
  double fastest = 1.6;
  double queue_per_core = 25;
  double thrash = 0.3;  // loss of speed for each call a core beyond thrash_at
  double thrash_at = 6;
  double slow_start_initial_share = 0.2;
  double slow_start_s = 15;
  double pause_every_s = 8;
  double pause_ms = 40;
  double error_rate = 0.0005;
  // The network: one way.
  double same_ms = 0.25;
  double cross_ms = 2;
  double jitter = 0.25;
  double handshake_ms = 1.5;
  // Discovery notifies each sidecar this late, as drawn once for each.
  double notice_from_s = 0.3;
  double notice_to_s = 1.5;
  double drain_s = 6;  // from when a server is listed as draining until it ends
  // Load, as a share of what the warm servers can do.
  double use = 0.6;
  double wave = 0;  // its swing
  double wave_s = 30;
  std::vector<ClassLoad> classes;
  // Clients' retries, in the mean, while their deadline lasts.
  double retries = 1;
  double backoff_ms = 80;
  std::size_t max_attempts = 4;
  bool hedging = true;
  std::vector<Fault> faults;
  // What is expected beside the rules.
  std::optional<double> served_at_least;
  std::optional<double> recovers_within_s;

  // The settings of the sidecar with this number.
  balancer::Settings SettingsOf(std::size_t self) const;
  // When the last fault is over, seconds.
  double FaultsEnd() const;
};

// `changes`: "table.key=value" each, laid over the file. Throws ScenarioError.
Scenario LoadScenario(const std::string& path, const std::vector<std::string>& changes = {});
Scenario ParseScenario(const std::string& text, const std::string& path,
                       const std::vector<std::string>& changes = {});
// As a file that gives the same scenario.
std::string ToToml(const Scenario& scenario);
// As scenario files have it.
const char* NameOf(FaultKind kind);

}  // namespace mothrack::simulation
