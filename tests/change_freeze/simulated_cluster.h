// The cluster that the histories of freeze_model.h run: machines with the program's own voter, permit service
// and agent's permits, and with a disk, a clock and a network of the model. One thread, made-up time,
// everything drawn from one seed: the order of the draws is part of what a seed means.
//
// simulated_cluster.cpp: machines, disks, messages. cluster_faults.cpp: what fails. cluster_clients.cpp:
// operators, tools, and the recovery at the end. cluster_rules.cpp: what must always hold.
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

// All times of the model are ms of true time, unless they are a machine's TimePoint.
inline constexpr int kFaultPeriod = 30'000;     // faults come until then
inline constexpr int kScriptedPeriod = 10'000;  // the same where a script names the faults
inline constexpr int kRecovery = 100'000;       // by then all must work again
inline constexpr int kPermitBound = 2000;       // from a freeze's commit until no agent acts against it

// Thrown through the program's own code: the machine's process dies there.
struct Crashed {};

// A machine with its disk, its clock and the process that runs on it.
struct Machine {
  std::string name;
  std::string site;
  double rate = 1;    // of its clock, against true time
  double offset = 0;  // of its clock, ms
  bool up = true;
  int process = 0;       // counts its starts
  int back_at = 0;       // while it is down
  int paused_until = 0;  // the whole machine
  bool disk_full = false;
  int partition = 0;  // machines of one number reach each other
  // On disk.
  std::optional<VoterRecord> file;
  std::optional<RecordPosition> position;
  std::vector<VoterRecord> writes_of_file;  // each earlier content of `file`
  PermitRecord permit_record;
  // In the process.
  std::unique_ptr<PermitService> service;
  std::unique_ptr<AgentPermits> agent_permits;
  Voter::Role role = Voter::Role::kFollower;
  int next_poll = 0;
  // What the rules compare `agent_permits` with: the confirmations that this process received, each with when
  // it was asked for; and the highest term of all times.
  std::vector<std::pair<PermitConfirmation, TimePoint>> confirmations;
  Term highest_term = 0;
};

// A change that a tool wants to run.
struct Change {
  std::string name;
  std::vector<ChangeKind> kinds;  // the last one is wanted
  Footprint footprint;
  std::set<std::uint64_t> remedies;
  std::uint32_t batch = 0;
  bool done = false;
  Machine* at = nullptr;  // where its last request went, in `process` there
  int process = 0;
  PermitService::Receipt receipt;
};

// An incident that an operator opened.
struct Freeze {
  std::uint64_t id = 0;
  Scope scope;
  Machine* at = nullptr;
  int process = 0;
  PermitService::Receipt receipt;
  int acked_at = -1;  // -1: not yet committed
  bool closing = false;
  std::map<std::pair<std::string, ChangeKind>, std::int64_t> limit;  // the last batch that could begin
};

// What is waited for once faults have stopped. The numbers are printed with a history that never ends.
enum class RecoveryStage {
  kDraining,    // incidents and permits of before go
  kPermitting,  // a new change gets its permit at every agent
  kFreezing,    // an incident is opened
  kConfirming,  // it is committed, and in force everywhere
};

// The rules are checked after each step; the first violation ends the run.
class SimulatedCluster : public RecordStore {
 public:
  SimulatedCluster(std::uint64_t seed, int voters, InjectedFault injected, const Script* script);
  History Run();
  bool Save(const VoterRecord& record) override;

 private:
  int UniformUpTo(int most);
  bool Chance(double p);
  TimePoint Clock(const Machine& m) const;
  void ReportViolation(const std::string& what);
  std::string DescribeMachines() const;

  // Faults.
  bool CrashesHere();
  void CrashPoint();
  void InjectFaults();
  // Faults that harm only together. Half of the followers are cut off while the leader and the others go on;
  // those others come back with what they had before, as the leader falls silent. Or: the leader is cut off,
  // and all followers start again at once.
  void InjectCombinedFault();
  void Pause(Machine& m);
  bool OthersCurrent(const Machine& m) const;
  void Crash(Machine& m, bool stale_file = false);
  void Start(Machine& m);
  void StopFaults();

  // Messages.
  void Send(const Machine& from, const Machine& to, std::function<void()> arrive);
  void Deliver();
  void Decide(Machine& m, const std::function<void(PermitService&, std::vector<VoterMessage>&)>& act);

  // The register: also a rule, checked as machines change their roles. Whoever wins has read what was
  // committed, or what was written after it.
  void CheckWinner(const Machine& m);
  void CheckCommitted(const Machine& m);

  // A machine.
  bool HoldsLease(const Machine& m) const;
  void RunMachine(Machine& m);
  void PollPermit(Machine& m, Machine& other, const std::string& change);
  bool SavePermits(Machine& m, const AgentPermits& agent_permits);
  void OnConfirmation(Machine& m, const PermitConfirmation& confirmation, TimePoint request_sent);
  void ReportBreakGlass(Machine& m);

  // Operators.
  Machine* Leader();
  void RunOperators();
  void Open(Machine& leader);
  // Has it been committed? Then it counts from now on.
  void PollFreeze(Freeze& freeze);
  void Close(Machine& leader, Freeze& freeze);

  // Tools.
  void RunTools();
  void RequestPermit(Machine& leader, Change& change);

  // Recovery. With no further fault: an incident and a change come through, and nobody acts against the last
  // freeze.
  void CheckRecovery();
  void AwaitDrained(Machine& leader);
  void AwaitPermit(Machine& leader);
  void AwaitFreeze(Machine& leader);

  // Rules.
  bool InForce(const Machine& m, const Change& change, ChangeKind kind, std::uint32_t batch) const;
  void Check();
  // There must be a confirmation of the highest term that this agent ever received, asked for not too long
  // ago.
  void CheckConfirmation(const Machine& m, const Change& change, ChangeKind kind);
  void CheckFreeze(const Machine& m, const Change& change, ChangeKind kind, const Freeze& freeze);

  std::mt19937_64 random_;
  const InjectedFault injected_fault_;
  const Script* script_;
  double fault_rate_ = 1;
  int now_ = 0;
  bool faults_stopped_ = false;
  bool finished_ = false;
  RecoveryStage stage_ = RecoveryStage::kDraining;
  std::string last_reason_;  // why the last request was refused, for the report
  std::set<std::string> names_;
  std::vector<std::unique_ptr<Machine>> machines_;
  Machine* saving_ = nullptr;  // whose record Save() writes
  std::multimap<int, std::pair<Machine*, std::function<void()>>> messages_;
  std::multimap<int, std::function<void()>> scheduled_faults_;
  std::vector<Change> changes_;
  std::vector<Freeze> freezes_;
  int since_ = 0;  // when the wait of `stage_` began
  std::map<Term, std::string> winners_;
  std::map<std::string, ValueVersion> written_;  // by value: the latest version that it was written as
  ValueVersion committed_;                       // the latest of all
  History history_;
};

}  // namespace mothrack::change_freeze::testing
