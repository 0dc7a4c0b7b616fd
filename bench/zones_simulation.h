// A simulation in simulated time: members in three zones decide on zones with the code of src/zone_failover,
// around models of links, servers and balancer. Upstreams of a zone are one queue; a member spreads its calls
// by the shares that it is given, passes over a zone of which it found three attempts in a row unanswered (as
// the balancer does), and sends to cold upstreams only within its allowance. A run depends on its scenario
// and seed only.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "zone_failover/decision.h"
#include "zone_failover/observer.h"
#include "zone_failover/traffic_plan.h"

namespace mothrack::zone_failover::bench {

constexpr int kZones = 3;

// The events and settings of one run.
struct Scenario {
  const char* name = "calm";
  int members = 60;
  double utilization = 0.5;  // of the capacity of all zones
  int length_ms = 60'000;
  // Times in ms from the start; -1: never. Zone 0 is lost and returns, twice at most.
  int lost_at = -1, back_at = -1;
  int lost_again = -1, back_again = -1;
  int second_at = -1;              // zone 1 is lost as well, for good
  double lost_share = 1;           // of the lost zone's upstreams
  bool members_fail = false;       // the lost zone's members fail as well
  bool partitioned = false;        // members and upstreams of the zone live on, and reach nobody outside
  int false_reporters = 0;         // members that report zone 2 as unresponsive
  double false_reporter_rate = 1;  // calls of the first of them, in multiples of its usual rate
  bool fleet_decides = true;       // else each member decides alone
};

// The results of one run.
struct Result {
  double last_sent_ms = -1;        // from the loss until the last member stopped calling the zone
  double median_last_sent_ms = 0;  // the same of the median member
  double disagreed_ms = 0;  // in which not all members that hear each other had the same phase and step
  long sent_to_lost = 0, answered = 0, shed_calls = 0, failed = 0, calls = 0;
  double max_slow_start_load = 0;  // in any second, relative to the load that overloads the cold zone
  double max_allowance_used = 0;  // in any second, relative to the allowance of all members for the cold zone
  double fully_back_ms = -1;      // from the return until all members use all of it
  int false_drains = 0, drains = 0;
  long reported = 0, bytes = 0;  // evidence that was sent, once a report
};

// Simulates one run. Not thread-safe.
class ZoneSimulation {
 public:
  ZoneSimulation(const Scenario& scenario, std::uint64_t seed);

  // Call it once only. Prints the states during the run if the environment variable TRACE is set.
  Result Run();

 private:
  struct Member {
    MemberId id;
    int zone = 0;
    double rate = 0;
    std::unique_ptr<Observer> observer;
    ZoneStates state;
    TrafficPlan plan;
    std::vector<EvidenceReport> reports;
    std::vector<int> sent_at;  // when each of `reports` was sent
    std::vector<std::uint64_t> latest_sequence;
    // Calls that it may send to a cold zone, and probes, by now.
    double slow_start_budget[kZones] = {};
    double probe_budget[kZones] = {};
    int unanswered_run[kZones] = {};
    double shed = 0;     // share of calls that its own late answers make it shed
    int last_sent = -1;  // to zone 0 while it was lost
    std::uint64_t sequence = 0;
  };

  // An attempt that will end.
  struct PendingEnd {
    int member, zone, upstream, sent;
    Outcome outcome;
    bool in_time;
  };
  // Evidence in transit.
  struct Message {
    int to, from, sent_at;
    std::uint64_t sequence;
    std::shared_ptr<const Evidence> evidence;
  };

  static TimePoint At(int ms) { return TimePoint(Duration(100'000 + ms)); }
  double Uniform() { return std::uniform_real_distribution(0.0, 1.0)(random_); }
  bool IsLost(int zone) const;
  bool IsDead(const Member& m) const { return scenario_.members_fail && m.zone == 0 && IsLost(0); }
  bool IsPartitioned(int a, int b) const {
    return scenario_.partitioned && IsLost(0) && (a == 0) != (b == 0);
  }
  double SlowStartFactor(int zone) const;
  void Step();
  void DrainQueues();
  void EndAttempt(const PendingEnd& e);
  void Deliver(Message message);
  void RunMember(int i);
  const ZoneShare* ShareOf(const Member& m, int zone) const;
  // If members decide alone, each allows itself its own part of the total, with the balancer's safety factor.
  double SlowStartBudget(const Member& m, int z) const;
  double ProbeRate(const Member& m, int z) const;
  void Call(int i);
  void Send(int i, int zone);
  void DecideAt(int i);
  const MemberList& MemberListOf(const Member& member);
  void Trace() const;
  void Measure();

  const Scenario scenario_;
  const FailoverConfig config_{};
  std::mt19937_64 random_;
  std::vector<std::string> zones_;
  std::vector<Member> members_;
  double capacity_ = 0;
  double queue_[kZones] = {};
  std::vector<std::vector<PendingEnd>> pending_ends_;
  std::vector<std::vector<Message>> messages_;
  MemberList member_lists_[3];
  std::deque<long> window_;
  long slow_start_sent_ = 0;
  bool was_out_[kZones] = {};
  int now_ = 0;
  Result result_;
};

}  // namespace mothrack::zone_failover::bench
