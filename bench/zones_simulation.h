// Simulates members in three zones. They decide on zones with the code of src/zone_failover; links, servers
// and the balancer are models. The upstreams of a zone share one queue. A member spreads its calls by the
// shares of its traffic plan. It avoids a zone in which three of its attempts in a row were unanswered, as
// the balancer does, and it sends to upstreams in slow start only within its allowance. A run depends only on
// its scenario and seed.
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
  // Times in ms from the start; -1 means never. Zone 0 is lost and returns, at most twice.
  int lost_at = -1, back_at = -1;
  int lost_again = -1, back_again = -1;
  int second_at = -1;              // zone 1 is lost as well, for good
  double lost_share = 1;           // of the lost zone's upstreams
  bool members_fail = false;       // the lost zone's members fail as well
  bool partitioned = false;        // the lost zone keeps running, but is cut off from the others
  int false_reporters = 0;         // members that report zone 2 as unresponsive
  double false_reporter_rate = 1;  // calls of the first of them, in multiples of its usual rate
  bool fleet_decides = true;       // if false, each member decides by its own observations
};

// The results of one run.
struct Result {
  double last_sent_ms = -1;        // from the loss until the last member stopped sending to the zone
  double median_last_sent_ms = 0;  // the same of the median member
  // The time in which not all members that reach each other had the same phase and step of each zone.
  double disagreed_ms = 0;
  long sent_to_lost = 0, answered = 0, shed_calls = 0, failed = 0, calls = 0;
  // The maximum over all seconds of the load on the zone in slow start, relative to the load that overloads
  // it and to the allowance of all members for it.
  double max_slow_start_load = 0;
  double max_allowance_used = 0;
  double fully_back_ms = -1;  // from the return of the zone until all members give it its full share
  int false_drains = 0, drains = 0;
  long reported = 0, bytes = 0;  // evidence reports that members made, and their size, each counted once
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
    // The number of calls that it may now send to a zone in slow start, and of probes.
    double slow_start_budget[kZones] = {};
    double probe_budget[kZones] = {};
    int unanswered_run[kZones] = {};
    double shed = 0;             // share of calls that it sheds because answers to it were late
    int last_sent = -1;          // time of its last call to zone 0 while that was lost
    std::uint64_t sequence = 0;  // of its own reports
  };

  // An attempt in flight, and how it will end.
  struct PendingEnd {
    int member, zone, upstream, sent_at;
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
  bool IsDead(const Member& member) const { return scenario_.members_fail && member.zone == 0 && IsLost(0); }
  bool IsPartitioned(int from_zone, int to_zone) const {
    return scenario_.partitioned && IsLost(0) && (from_zone == 0) != (to_zone == 0);
  }
  double SlowStartFactor(int zone) const;
  void Step();
  void DrainQueues();
  void EndAttempt(const PendingEnd& end);
  void Deliver(Message message);
  void RunMember(int index);
  const ZoneShare* ShareOf(const Member& member, int zone) const;
  // Returns the calls per second that the member may send to a zone in slow start. If the fleet does not
  // decide, each member allows itself its part of the total, with the safety factor of the balancer.
  double SlowStartAllowance(const Member& member, int zone) const;
  // Returns the probes per second that the member sends to the zone.
  double ProbeRate(const Member& member, int zone) const;
  // Makes one call of the member: sheds it, or chooses a zone and sends an attempt.
  void Call(int index);
  void SendAttempt(int index, int zone);
  // Sends the member's evidence to the others and decides on the zones by the evidence that it has.
  void RunDecision(int index);
  const MemberList& MemberListOf(const Member& member);
  void Trace() const;
  void Measure();

  const Scenario scenario_;
  const FailoverConfig config_{};
  std::mt19937_64 random_;
  std::vector<std::string> zones_;
  std::vector<Member> members_;
  double capacity_ = 0;
  double queue_[kZones] = {};  // calls that wait at the upstreams of each zone
  std::vector<std::vector<PendingEnd>> pending_ends_;
  std::vector<std::vector<Message>> messages_;
  // The members as gossip lists them: before a loss is detected, and after that outside and inside zone 0.
  MemberList member_lists_[3];
  // Calls to zone 0 in slow start: in each of the last ten measurement intervals, and in the present one.
  std::deque<long> slow_start_window_;
  long slow_start_sent_ = 0;
  bool was_drained_[kZones] = {};  // by any member, at the last measurement
  int now_ = 0;
  Result result_;
};

}  // namespace mothrack::zone_failover::bench
