// Decides which member is probed next and what a missing ack means. There is one round at a time: a ping,
// then requests to `indirect_probes` other members to ping the same member, then the end of the round. A
// member that receives few answers gets a higher health score, and then waits longer and probes less often.
// Pure: no I/O, clock or thread.
//
// Source: SWIM, sections 3.1 and 4.3 (round-robin probing over a shuffled list); Lifeguard, section IV.A
// (local health multiplier); the table "Rules of probes" in docs/design/gossip.md.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gossip/membership.h"

namespace mothrack::gossip {

// Lifeguard's bound of the local health multiplier. 0 is healthy.
constexpr int kMaxHealthScore = 8;
// Maximum number of relayed probes in flight, so that a flood of requests causes neither unbounded memory nor
// an unbounded number of pings.
constexpr std::size_t kMaxRelayedProbes = 256;

// How a round ended, or other evidence of this member's own health.
enum class Outcome {
  kAcked,       // by the probed member, or by a helper on its behalf, within the round
  kAllNacked,   // no ack, but a nack from every helper: this member receives well
  kNackMissed,  // no ack, and at least one helper sent neither ack nor nack
  kNoHelper,    // no ack, and there was no helper
  kRefuted,     // this member had to refute its own suspicion or death
  kPaused,      // this process was paused for longer than a probe interval
};
// The consequences of an outcome.
struct OutcomeEffect {
  int health = 0;        // added to the score, which stays within [0, kMaxHealthScore]
  bool suspect = false;  // the probed member becomes suspected
};
OutcomeEffect EffectOf(Outcome outcome);

class ProbeScheduler {
 public:
  // A ping on behalf of another member.
  struct RelayedProbe {
    std::string subject;         // the member to ping
    std::string address;         // address of the requesting member
    std::uint64_t sequence = 0;  // sequence number of its request
    TimePoint until;             // when a nack is sent unless the subject has acked
  };
  // A step of the probe round for the caller to carry out.
  struct Step {
    enum class Action { kNone, kPing, kPingIndirectly, kRoundOver } action = Action::kNone;
    std::string name;                   // the probed member
    std::uint64_t sequence = 0;         // sequence number of the ping
    std::uint64_t boot_number = 0;      // boot number of the probed member
    std::uint64_t incarnation = 0;      // incarnation of the probed member
    Outcome outcome = Outcome::kAcked;  // result of the round, for kRoundOver
  };

  ProbeScheduler(const ProtocolConfig& config, TimePoint now, Random& random);

  // The next step that is due. Must be called until it returns kNone.
  Step Next(TimePoint now, const Membership& membership, Random& random);
  // Sets the helpers: the members that were requested to ping the probed member in this round.
  void SetHelpers(const std::vector<std::string>& helpers) {
    helpers_.insert(helpers.begin(), helpers.end());
    any_helper_ = !helpers.empty();
  }
  // Adds a new live member to the current pass over the list.
  void AddMember(const std::string& name, Random& random);
  // Returns true if this is the ack that the round waits for.
  bool OnAck(const std::string& by, std::uint64_t sequence);
  void OnNack(const std::string& by, std::uint64_t sequence);

  // Returns the sequence number of the ping, or nothing if kMaxRelayedProbes are in flight.
  std::optional<std::uint64_t> StartRelayed(RelayedProbe probe);
  // Returns and removes the relayed probe that this ack answers, or nothing if there is none.
  std::optional<RelayedProbe> FinishRelayed(const std::string& by, std::uint64_t sequence);
  // Returns and removes the relayed probes whose `until` has passed.
  std::vector<RelayedProbe> TakeOverdueRelayed(TimePoint now);

  void RecordOutcome(Outcome outcome);
  // Handles a pause of this process: drops the open round and the relayed probes without an outcome.
  void Restart(TimePoint now);
  std::uint64_t NewSequence() { return ++sequence_; }
  int health() const { return health_; }
  TimePoint next() const;  // when a step or the nack of a relayed probe is due

 private:
  struct Round {
    std::string name;
    std::uint64_t sequence = 0, boot_number = 0, incarnation = 0;
    TimePoint ack_deadline, end;
    bool helpers_requested = false;
  };
  const ProtocolConfig config_;
  std::vector<std::string> ring_;  // the names in the shuffled order of this pass
  std::size_t ring_position_ = 0;
  std::optional<Round> round_;
  std::set<std::string> helpers_;  // helpers of the round that have not sent kNack
  bool any_helper_ = false;
  TimePoint next_round_;
  std::uint64_t sequence_ = 0;
  // By sequence number, which is also the order of their ends, because all have the same timeout.
  std::map<std::uint64_t, RelayedProbe> relayed_probes_;
  int health_ = 0;
};

}  // namespace mothrack::gossip
