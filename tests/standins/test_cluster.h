// A cluster of real processes over several zones of this machine: sidecars and agents that are gossip peers,
// upstreams and discovery by zone, clients that record every outcome, and a FaultyRelay between all of them.
// A process is selected by its name, its machine, its zone, its kind ("sidecars", "agents") or "*". The
// destructor kills all processes by their pids.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "nlohmann/json.hpp"
#include "standins/faulty_relay.h"
#include "standins/peers.h"
#include "standins/traffic.h"
#include "standins/traffic_record.h"
#include "support/temporary_directory.h"

namespace mothrack::testing {

// Returns the first ten lines of a list, each with a line end, for a failure message.
std::string FirstLines(const std::vector<std::string>& lines);

class TestCluster {
 public:
  struct Options {
    std::vector<std::string> zones = {"bole-hall", "kality-hall", "adama-hall"};
    int sidecars = 6;                      // s0, s1, ..., assigned to the zones in rotation
    int agents = 3;                        // a0, a1, ..., assigned likewise
    int upstreams = 2;                     // in each zone, named "bole-hall-u0", ...
    std::chrono::milliseconds probe{200};  // the other intervals of [peers] are scaled with it
    std::chrono::milliseconds every{25};   // the pause between requests of each sidecar's client
    std::uint64_t seed = 1;
    bool with_peers = true;
    std::string peers = "";          // further lines of [peers]
    std::string operator_file = "";  // further sections of the sidecars' operator files
    std::string agent_file = "";     // further sections of the agents' files
  };
  // All processes listen when the constructor returns. Throws std::runtime_error with the log of a process
  // that does not start.
  explicit TestCluster(const Options& options);
  ~TestCluster();
  TestCluster(const TestCluster&) = delete;
  TestCluster& operator=(const TestCluster&) = delete;

  FaultyRelay& relay() { return *relay_; }
  std::vector<std::string> Names(const std::string& selector = "*") const;
  // The first machine of zone "bole-hall" is "bole-hall-0". The n-th sidecar and the n-th agent of a zone are
  // on its n-th machine.
  std::string MachineOf(const std::string& name) const;

  void Kill(const std::string& selector);      // SIGKILL
  void Pause(const std::string& selector);     // SIGSTOP
  void Continue(const std::string& selector);  // SIGCONT
  void Signal(const std::string& selector, int number);
  // Starts the selected processes that do not run, on the same ports as before if these are free.
  void Start(const std::string& selector);
  pid_t pid(const std::string& name) const;
  bool runs(const std::string& name) const;

  // The text of the key with this number, as in a key file. All processes begin with key 0. Each process has
  // its own key file, so that the keys may differ.
  static std::string Key(int number);
  void SetKeys(const std::string& selector, const std::vector<std::string>& keys);

  // The peers section of a process's status; null if the process does not answer.
  nlohmann::json Peers(const std::string& name) const;
  // The complete status of a process; null if it does not answer.
  nlohmann::json Status(const std::string& name) const;
  // The state of a member as the observer reports it: "alive", "suspect", "dead", "left", "unknown".
  std::string StateAt(const std::string& observer, const std::string& member) const;
  // Whether every observer reports every member other than itself in this state. Polls each observer once,
  // because the admin API limits the rate of calls.
  bool AllSee(const std::vector<std::string>& observers, const std::vector<std::string>& members,
              const std::string& state) const;
  bool AllSee(const std::string& observers, const std::string& members, const std::string& state) const {
    return AllSee(Names(observers), Names(members), state);
  }
  // Polls `condition` every 100 ms. Returns the time until it held, or nullopt if it did not within
  // `timeout`.
  std::optional<std::chrono::milliseconds> Await(const std::function<bool()>& condition,
                                                 std::chrono::milliseconds timeout) const;

  // BeginTraffic() starts traffic through all sidecars. StopTrafficAndCheck() ends it and returns the
  // violations of the simulator's rules (src/simulation/invariants.h) and of these: no request is lost,
  // except those in flight at a sidecar that was killed; none runs twice; none that was refused runs.
  void BeginTraffic();
  std::vector<std::string> StopTrafficAndCheck(
      std::chrono::milliseconds drain = std::chrono::milliseconds(1050));
  std::size_t count(Traffic::Outcome outcome) const { return traffic_ ? traffic_->count(outcome) : 0; }

  // Sets the state that discovery reports for an upstream: "active" or "leaving"; "gone" removes it from the
  // list.
  void SetUpstreamState(const std::string& upstream, const std::string& state);
  std::string AddressOf(const std::string& upstream) const;  // the real address, not the relay's
  // Makes discovery report a restart: the upstream is in slow start and handles `per_s` requests a second
  // after it.
  void AnnounceRestart(const std::string& upstream, double per_s);

  std::string path(const std::string& name) const { return directory_.File(name); }
  std::string Log(const std::string& name) const;

 private:
  struct Process {
    std::string name, zone, machine;
    bool agent = false;
    std::size_t number = 0;  // among the sidecars or among the agents
    std::uint16_t udp = 0, tcp = 0;
    pid_t pid = -1;
    std::size_t log_from = 0;  // offset in the log file at which the log of this run begins
    std::unique_ptr<Discovery> discovery;
    std::map<std::string, std::uint16_t> relay_ports;  // to the upstreams and discovery, by endpoint name
  };
  struct UpstreamEntry {
    std::string name, zone, state;
    std::int64_t boot_ms = 0;
    std::unique_ptr<Upstream> upstream;
  };

  struct NotStarted {};  // selects the constructor that starts no process
  TestCluster(const Options& options, NotStarted);
  std::vector<Process*> Select(const std::string& selector);
  const Process& ProcessNamed(const std::string& name) const;
  nlohmann::json ListFor(const Process& process) const;
  void WriteSharedFiles() const;
  void AddUpstream(const std::string& zone, const std::string& name);
  void AddProcess(bool agent, int number);
  void ConnectThroughRelay(Process& sidecar);
  std::string PeersSection(const Process& process) const;
  void WriteFile(const Process& process) const;  // the process's configuration
  std::vector<std::string> CommandOf(const Process& process) const;
  std::vector<std::string> EnvironmentOf(const Process& process) const;
  void Spawn(Process& process);
  bool WaitUntilListening(Process& process);  // false if the process has ended
  void StartAll(const std::vector<Process*>& processes);
  void EndInstance(const Process& agent) const;
  void RecordNotified(const Process& sidecar);  // records that it now knows the states of the upstreams

  const Options options_;
  const TemporaryDirectory directory_{"cluster"};
  std::unique_ptr<FaultyRelay> relay_;
  RunCounter runs_;
  TrafficRecord record_;
  std::vector<UpstreamEntry> upstreams_;
  std::map<std::string, Process> processes_;
  std::unique_ptr<Traffic> traffic_;
};

}  // namespace mothrack::testing
