// Scenarios: a scenario describes a fleet, its load, the faults over time, and the expectations of a run. It
// is read from a TOML file; every error in a file names table, key and remedy. Times are in milliseconds or
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

// Thrown if a scenario cannot be read. The text names path, place, cause and remedy.
class ScenarioError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The kinds of faults. `size` is Fault::size; "a share" is Fault::part.
enum class FaultKind {
  kCutZone,       // a zone is cut off from the others; packets are dropped silently
  kLoseZone,      // a zone's servers become unreachable without notice, and later start again in slow start
  kUnresponsive,  // a share of the servers drops all packets that it is sent
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
  // The speeds of the servers are spread evenly from slowest to fastest.
  double slowest = 1;
  double fastest = 1.6;
  double queue_per_core = 25;
  // Under overload, a call takes 1 + thrash * (calls per core / thrash_at - 1) times as long.
  double thrash = 0.3;
  double thrash_at = 6;
  double slow_start_initial_share = 0.2;
  double slow_start_s = 15;
  double pause_every_s = 8;  // mean time between the pauses of a server
  double pause_ms = 40;      // length of a pause
  double error_rate = 0.0005;
  // The network: mean one-way latencies within a zone and between zones, their coefficient of variation, and
  // the time that a new connection takes in addition to one round trip.
  double same_ms = 0.25;
  double cross_ms = 2;
  double jitter = 0.25;
  double handshake_ms = 1.5;
  // The range of the delay after which discovery notifies a sidecar; drawn once for each sidecar.
  double notice_from_s = 0.3;
  double notice_to_s = 1.5;
  double drain_s = 6;  // from the time a server is listed as draining until it stops
  double use = 0.6;    // load as a share of the capacity of all servers, without slow start
  double wave = 0;     // amplitude of a sine wave on top of the load, as a share of it
  double wave_s = 30;  // period of the wave
  std::vector<ClassLoad> classes;
  double retries = 1;      // mean number of retries of a client before its deadline
  double backoff_ms = 80;  // mean time before the first retry of a client
  // What the sidecars may do for each request that they accept.
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

// Read a scenario. `changes` ("table.key=value" each) are applied to the file first. Throw ScenarioError.
Scenario LoadScenario(const std::string& path, const std::vector<std::string>& changes = {});
Scenario ParseScenario(const std::string& text, const std::string& path,
                       const std::vector<std::string>& changes = {});
// Returns the text of a scenario file from which the same scenario is read.
std::string ToToml(const Scenario& scenario);
// Returns the name that the kind has in scenario files.
const char* NameOf(FaultKind kind);

}  // namespace mothrack::simulation
