// The cluster of the histories of freeze_model.h: machines with a real voter, permit service and agent's
// permits, and with a simulated disk, clock and network. It runs in one thread and in simulated time.
// Everything is drawn from one seed, so a change in the order of the draws changes the history of each seed.
//
// simulated_cluster.cpp: machines, disks, messages. cluster_faults.cpp: faults. cluster_clients.cpp:
// operators, tools, and the recovery at the end. cluster_rules.cpp: the rules that must always hold.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "change_freeze/change_freeze.h"
#include "change_freeze/freeze_model.h"

namespace mothrack::change_freeze::testing {

// All times of the model are in ms of true time, except the TimePoints of a machine's clock.
inline constexpr int kFaultPeriod = 30'000;        // faults are injected until then
inline constexpr int kScriptedPeriod = 10'000;     // the same, if a script names the faults
inline constexpr int kRecoveryDeadline = 100'000;  // the cluster must have recovered by then
inline constexpr int kPermitBound = 2000;          // from a freeze's commit until no agent acts against it

// Thrown through the tested code to crash the machine's process at that point.
struct Crashed {};

// A machine with its disk, its clock and the process that runs on it.
struct Machine {
  std::string name;
  std::string site;
  double rate = 1;    // of its clock, against true time
  double offset = 0;  // of its clock, ms
  bool up = true;
  int process = 0;       // counts its starts
  int restart_at = 0;    // while it is down
  int paused_until = 0;  // the machine with all of its processes
  bool disk_full = false;
  int partition = 0;  // machines with the same number reach each other
  // Data on disk.
  std::optional<VoterRecord> file;
  std::optional<RecordPosition> position;
  std::vector<VoterRecord> writes_of_file;  // all earlier contents of `file`
  PermitRecord permit_record;
  // State of the running process.
  std::unique_ptr<PermitService> service;
  std::unique_ptr<AgentPermits> agent_permits;
  Voter::Role role = Voter::Role::kFollower;
  int next_poll = 0;
  // Data against which the rules check `agent_permits`: the latest confirmations that this process received,
  // each with the time of its request, and the highest term that this machine ever received.
  std::vector<std::pair<PermitConfirmation, TimePoint>> confirmations;
  Term highest_term = 0;
};

// A change that a tool wants to run.
struct Change {
  std::string name;
  std::vector<ChangeKind> kinds;  // all that were requested; the last one is the current one
  Footprint footprint;
  std::set<std::uint64_t> remedies;
  std::uint32_t batch = 0;
  bool done = false;
  Machine* sent_to = nullptr;  // the receiver of the last request
  int process = 0;             // the receiver's Machine::process at that time
  PermitService::Receipt receipt;
};

// An incident that an operator opened.
struct Freeze {
  std::uint64_t id = 0;
  Scope scope;
  Machine* sent_to = nullptr;  // the leader that received the request
  int process = 0;             // its Machine::process at that time
  PermitService::Receipt receipt;
  int committed_at = -1;  // -1: not yet committed
  bool closing = false;
  // By change: the last batch that its permit covered when the freeze was committed.
  std::map<std::pair<std::string, ChangeKind>, std::int64_t> last_batches;
};

// The stages of the recovery once faults have stopped. The stage's number is printed for a history that does
// not finish in time.
enum class RecoveryStage {
  kDraining,    // wait until the earlier incidents and permits have ended
  kPermitting,  // wait until a new change has its permit at every agent
  kFreezing,    // open an incident
  kConfirming,  // wait until it is committed and in force at every agent
};

// Checks the rules after each step of simulated time. The first violation ends the run.
class SimulatedCluster : public RecordStore {
 public:
  SimulatedCluster(std::uint64_t seed, int voters, InjectedFault injected, const Script* script);
  History Run();
  bool Save(const VoterRecord& record) override;

 private:
  int UniformUpTo(int maximum);
  bool Chance(double probability);
  TimePoint Clock(const Machine& machine) const;
  void ReportViolation(const std::string& what);
  std::string DescribeMachines() const;

  // Faults.
  bool CrashesHere();
  void CrashPoint();
  void InjectFaults();
  // Injects one of two combinations of faults that do harm only together. In the first, half of the followers
  // are cut off while the leader and the other followers continue; then those other followers restart with a
  // stale file while the leader is paused. In the second, the leader is cut off, and all followers restart at
  // once.
  void InjectCombinedFault();
  void Pause(Machine& machine);
  bool OthersCurrent(const Machine& machine) const;
  void Crash(Machine& machine, bool stale_file = false);
  void Start(Machine& machine);
  void StopFaults();

  // Messages.
  void Send(const Machine& from, const Machine& to, std::function<void()> arrive);
  void Deliver();
  void Decide(Machine& machine, const std::function<void(PermitService&, std::vector<VoterMessage>&)>& act);

  // Rules of the register, checked when machines change their roles: a winner has read the latest committed
  // value or a later one.
  void CheckWinner(const Machine& machine);
  void CheckCommitted(const Machine& machine);

  // A machine.
  bool HoldsLease(const Machine& machine) const;
  void RunMachine(Machine& machine);
  void PollPermit(Machine& machine, Machine& other, const std::string& change);
  bool SavePermits(Machine& machine, const AgentPermits& agent_permits);
  void OnConfirmation(Machine& machine, const PermitConfirmation& confirmation, TimePoint request_sent);
  void ReportBreakGlass(Machine& machine);

  // Operators.
  Machine* Leader();
  void RunOperators();
  void Open(Machine& leader);
  // If the freeze has been committed, it must be respected from now on.
  void PollFreeze(Freeze& freeze);
  void Close(Machine& leader, Freeze& freeze);

  // Tools.
  void RunTools();
  void RequestPermit(Machine& leader, Change& change);

  // Recovery. Without further faults, a change must get its permit, an incident must be committed, and no
  // agent may act against that last freeze.
  void CheckRecovery();
  void AwaitDrained(Machine& leader);
  void AwaitPermit(Machine& leader);
  void AwaitFreeze(Machine& leader);

  // Rules.
  bool InForce(const Machine& machine, const Change& change, ChangeKind kind, std::uint32_t batch) const;
  void CheckRules();
  // Checks that the agent has a confirmation of the highest term that it ever received, whose request was
  // sent less than kPermitValidity ago.
  void CheckConfirmation(const Machine& machine, const Change& change, ChangeKind kind);
  void CheckFreeze(const Machine& machine, const Change& change, ChangeKind kind, const Freeze& freeze);

  std::mt19937_64 random_;
  const InjectedFault injected_fault_;
  const Script* script_;
  double fault_rate_ = 1;
  int now_ = 0;
  bool faults_stopped_ = false;
  bool finished_ = false;
  RecoveryStage stage_ = RecoveryStage::kDraining;
  std::string last_reason_;  // why the last request was refused; reported if the history does not finish
  std::set<std::string> names_;
  std::vector<std::unique_ptr<Machine>> machines_;
  Machine* saving_ = nullptr;  // the machine whose record Save() writes
  std::multimap<int, std::pair<Machine*, std::function<void()>>> messages_;
  std::multimap<int, std::function<void()>> scheduled_faults_;
  std::vector<Change> changes_;
  std::vector<Freeze> freezes_;
  int stage_since_ = 0;  // when the wait of `stage_` began
  std::map<Term, std::string> winners_;
  // By value: the latest version under which it was written.
  std::map<std::string, ValueVersion> last_written_;
  ValueVersion committed_;  // the highest committed version
  History history_;
};

}  // namespace mothrack::change_freeze::testing
