// Which member is probed next, and what a missing ack means. One round at a time: a ping, then
// `indirect_probes` others are asked to ping, then it is over. The less a member receives, the higher is its
// health score, the longer it waits and the less often it probes. Pure.
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
// Relayed probes at once: more is a flood.
constexpr std::size_t kMaxRelayedProbes = 256;

// How a round ended, or what else this member learns about its own health.
enum class Outcome {
  kAcked,       // by the probed member, or by a helper on its behalf, before the round was over
  kAllNacked,   // no ack, and a nack of every helper: this member receives well
  kNackMissed,  // no ack, and no answer at all from a helper
  kNoHelper,    // no ack, and there was no helper
  kRefuted,     // this member had to refute its suspicion or death
  kPaused,      // this process did not run for a while
};
struct OutcomeEffect {
  int health = 0;        // added to the score, within 0 and kMaxHealthScore
  bool suspect = false;  // the probed member becomes suspected
};
OutcomeEffect EffectOf(Outcome outcome);

class ProbeScheduler {
 public:
  // A ping on behalf of another member.
  struct RelayedProbe {
    std::string subject;         // whom it pings
    std::string address;         // of the requesting member
    std::uint64_t sequence = 0;  // of its request
    TimePoint until;             // then it gets a nack
  };
  struct Step {
    enum class What { kNone, kPing, kPingIndirectly, kRoundOver } what = What::kNone;
    std::string name;
    std::uint64_t sequence = 0, boot_number = 0, incarnation = 0;  // of what was asked, and of the one asked
    Outcome outcome = Outcome::kAcked;                             // kRoundOver
  };

  ProbeScheduler(const ProtocolConfig& config, TimePoint now, Random& random);

  // What is due; to be called until it is kNone.
  Step Next(TimePoint now, const Membership& membership, Random& random);
  void SetHelpers(const std::vector<std::string>& others) {
    helpers_.insert(others.begin(), others.end());
    any_helper_ = !others.empty();
  }
  void AddMember(const std::string& name, Random& random);
  // True where it is the ack that the round waits for.
  bool OnAck(const std::string& by, std::uint64_t sequence);
  void OnNack(const std::string& by, std::uint64_t sequence);

  // The sequence of its ping, or nothing where kMaxRelayedProbes are running.
  std::optional<std::uint64_t> StartRelayed(RelayedProbe probe);
  std::optional<RelayedProbe> FinishRelayed(const std::string& by, std::uint64_t sequence);
  std::vector<RelayedProbe> TakeOverdueRelayed(TimePoint now);

  void RecordOutcome(Outcome outcome);
  // This process did not run: no open round or relayed probe is judged.
  void Restart(TimePoint now);
  std::uint64_t NewSequence() { return ++sequence_; }
  int health() const { return health_; }
  TimePoint next() const;

 private:
  struct Round {
    std::string name;
    std::uint64_t sequence = 0, boot_number = 0, incarnation = 0;
    TimePoint ack_deadline, end;
    bool asked_helpers = false;
  };
  const ProtocolConfig config_;
  std::vector<std::string> ring_;
  std::size_t ring_position_ = 0;
  std::optional<Round> round_;
  std::set<std::string> helpers_;  // of the round, which have not said kNack
  bool any_helper_ = false;
  TimePoint next_round_;
  std::uint64_t sequence_ = 0;
  std::map<std::uint64_t, RelayedProbe>
      relayed_probes_;  // in the order of their ends: all have the same patience
  int health_ = 0;
};

}  // namespace mothrack::gossip
