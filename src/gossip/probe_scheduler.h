// Whom to ask next, and what no answer means. One round at a time: a ping, then `indirect` others are asked,
// then it is over. Health is this member's doubt in itself: it waits longer, and asks less often, the less it
// hears. Pure.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gossip/membership.h"

namespace mothrack::gossip {

constexpr int kMaxHealthScore = 8;
// Pings on others' behalf at once: more is a flood.
constexpr std::size_t kMaxRelayedProbes = 256;

// How a round ended, or what else tells this member of itself.
enum class Outcome {
  kAcked,       // by the one asked, or by another on its behalf, before the round was over
  kAllNacked,   // no ack, and every other that was asked answered so: this member hears well
  kNackMissed,  // no ack, and another that was asked said nothing
  kNoHelper,    // no ack, and there was no other to ask
  kRefuted,     // it had to refute
  kPaused,      // its own process did not run for a while
};
struct OutcomeEffect {
  int health = 0;        // added, within 0 and kMaxHealthScore
  bool suspect = false;  // the one asked
};
OutcomeEffect EffectOf(Outcome outcome);

class ProbeScheduler {
 public:
  struct RelayedProbe {  // a ping on another's behalf
    std::string subject, address;
    std::uint64_t sequence = 0;  // the asker's
    TimePoint until;
  };
  struct Step {
    enum class What { kNone, kPing, kPingIndirectly, kRoundOver } what = What::kNone;
    std::string name;
    std::uint64_t sequence = 0, boot_number = 0, incarnation = 0;  // of what was asked, and of the one asked
    Outcome outcome = Outcome::kAcked;                             // kRoundOver
  };

  ProbeScheduler(const ProtocolConfig& config, TimePoint now, Random& random);

  // To be called until it says kNone.
  Step Next(TimePoint now, const Membership& membership, Random& random);
  void SetHelpers(const std::vector<std::string>& others) {
    helpers_.insert(others.begin(), others.end());
    any_helper_ = !others.empty();
  }
  void AddMember(const std::string& name, Random& random);
  // True where it is the answer that the round waited for.
  bool OnAck(const std::string& by, std::uint64_t sequence);
  void OnNack(const std::string& by, std::uint64_t sequence);

  // Its sequence, or nothing where there are too many.
  std::optional<std::uint64_t> StartRelayed(RelayedProbe probe);
  std::optional<RelayedProbe> FinishRelayed(const std::string& by, std::uint64_t sequence);
  std::vector<RelayedProbe> TakeOverdueRelayed(TimePoint now);

  void RecordOutcome(Outcome outcome);
  // This process did not run: what is open is judged by nobody.
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
