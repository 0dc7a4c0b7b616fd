// A scenario is what a run simulates: a fleet, its load, the faults over time, and the expectations. It is
// read from a TOML file; every error in a file names table, key and remedy. Times are in milliseconds or
// seconds, as the names say; shares are from 0 to 1. docs/operators/simulator.md describes the keys of a
// file.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "balancer/balancer.h"

namespace mothrack::simulation {

// A scenario cannot be read; the text has path, place, cause and remedy.
class ScenarioError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

enum class FaultKind {
  kCutZone,       // a zone is cut off from the others; packets are dropped silently
  kLoseZone,      // a zone's servers vanish without notice, and later start again in slow start
  kUnresponsive,  // a share of the servers drops everything that it is sent
  kSlow,          // calls at a share of the servers take `size` times as long
  kErrors,        // a share of the servers fails the share `size` of its calls with an error
  kFlap,          // a share of the servers stops and starts again after `size` seconds, repeatedly
  kReplace,  // a share of the servers is replaced one after the other during the fault: listed as draining,
             // then removed
  kKill,     // a share of the sidecars is killed at the same time and started again
  kRestart,  // all sidecars have a planned restart, one after the other during the fault
  kBurst,    // the load is `size` times as high
  kHotSidecars,  // the load of a share of the sidecars is `size` times as high
  kStale,        // discovery sends no updates
  kImpatient,    // a share of the clients disconnects early and retries at once
};

// A fault: its kind, start and duration, and the part of the fleet that it affects.
struct Fault {
  FaultKind kind{};
  double at_s = 0;
  double len_s = 0;
  double part = 0;  // share of the fleet that is affected
  double size = 1;  // meaning depends on the kind
  std::string zone{};
};

// A request class and its share of the load.
struct ClassLoad {
  std::string name{};
  double share = 1;
  double work_ms = 60;  // mean, on a core of speed 1
  double work_cv = 0.5;
  double latency_objective_ms = 400;
  double deadline_ms = 1000;
  double priority_weight = 1;
  balancer::Effect effect = balancer::Effect::kSafe;
};

// A scenario. The initial values are the defaults for keys that its file leaves out.
struct Scenario {
  std::string name{};
  std::string about{};
  double length_s = 60;
  // Sidecars; `skew` is the coefficient of variation of their request rates.
  std::size_t sidecars = 20;
  double skew = 0.5;
  double start_ms = 300;  // from a stop until the sidecar accepts requests again
  // Servers, assigned to the zones in turn.
  std::size_t servers = 12;
  std::vector<std::string> zones = {"bole-hall", "kality-hall"};
  double cores = 3;
  double slowest = 1;  // speeds are spread evenly from slowest to fastest
  double fastest = 1.6;
  double queue_per_core = 25;
  double thrash = 0.3;  // slowdown, in proportion to how far calls per core exceed thrash_at
  double thrash_at = 6;
  double slow_start_initial_share = 0.2;
  double slow_start_s = 15;
  double pause_every_s = 8;
  double pause_ms = 40;
  double error_rate = 0.0005;
  // The network; latencies are one way.
  double same_ms = 0.25;
  double cross_ms = 2;
  double jitter = 0.25;
  double handshake_ms = 1.5;
  // The delay after which discovery notifies a sidecar, drawn once for each sidecar.
  double notice_from_s = 0.3;
  double notice_to_s = 1.5;
  double drain_s = 6;  // from the time a server is listed as draining until it stops
  // Load, as a share of the capacity of the servers when warm.
  double use = 0.6;
  double wave = 0;     // amplitude of a sine wave on top of the load, as a share of it
  double wave_s = 30;  // period of the wave
  std::vector<ClassLoad> classes;
  // Mean number of retries of a client before its deadline.
  double retries = 1;
  double backoff_ms = 80;
  std::size_t max_attempts = 4;
  bool hedging = true;
  std::vector<Fault> faults;
  // Expectations in addition to the four rules (src/simulation/invariants.h).
  std::optional<double> served_at_least;
  std::optional<double> recovers_within_s;

  // Returns the settings of the sidecar with the index `self`.
  balancer::Settings SettingsOf(std::size_t self) const;
  // Returns the time in seconds when the last fault has ended.
  double FaultsEnd() const;
};

// Read a scenario. `changes` are applied to the file first: "table.key=value" each. Throw ScenarioError.
Scenario LoadScenario(const std::string& path, const std::vector<std::string>& changes = {});
Scenario ParseScenario(const std::string& text, const std::string& path,
                       const std::vector<std::string>& changes = {});
// Returns the text of a file that reads as the same scenario.
std::string ToToml(const Scenario& scenario);
// Returns the name of the kind in scenario files.
const char* NameOf(FaultKind kind);

}  // namespace mothrack::simulation
