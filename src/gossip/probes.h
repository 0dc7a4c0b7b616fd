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

constexpr int kWorstHealth = 8;
// Pings on others' behalf at once: more is a flood.
constexpr std::size_t kMostErrands = 256;

// How a round ended, or what else tells this member of itself.
enum class Outcome {
  kAcked,       // by the one asked, or by another on its behalf, before the round was over
  kAllNacked,   // no ack, and every other that was asked answered so: this member hears well
  kNackMissed,  // no ack, and another that was asked said nothing
  kNobody,      // no ack, and there was no other to ask
  kDoubted,     // it had to refute
  kStopped,     // its own process did not run for a while
};
struct Verdict {
  int health = 0;        // added, within 0 and kWorstHealth
  bool suspect = false;  // the one asked
};
Verdict Judge(Outcome outcome);

class Probes {
 public:
  struct Errand {  // a ping on another's behalf
    std::string subject, address;
    std::uint64_t sequence = 0;  // the asker's
    TimePoint until;
  };
  struct Step {
    enum class What { kNone, kPing, kAskOthers, kOver } what = What::kNone;
    std::string name;
    std::uint64_t sequence = 0, born = 0, incarnation = 0;  // of what was asked, and of the one asked
    Outcome outcome = Outcome::kAcked;                      // kOver
  };

  Probes(const Terms& terms, TimePoint now, Random& random);

  // To be called until it says kNone.
  Step Next(TimePoint now, const Membership& membership, Random& random);
  void Asked(const std::vector<std::string>& others) {
    helpers_.insert(others.begin(), others.end());
    any_helper_ = !others.empty();
  }
  void Joined(const std::string& name, Random& random);
  // True where it is the answer that the round waited for.
  bool Acked(const std::string& by, std::uint64_t sequence);
  void Nacked(const std::string& by, std::uint64_t sequence);

  // Its sequence, or nothing where there are too many.
  std::optional<std::uint64_t> Run(Errand errand);
  std::optional<Errand> Done(const std::string& by, std::uint64_t sequence);
  std::vector<Errand> Overdue(TimePoint now);

  void Learn(Outcome outcome);
  // This process did not run: what is open is judged by nobody.
  void Restart(TimePoint now);
  std::uint64_t NewSequence() { return ++sequence_; }
  int health() const { return health_; }
  TimePoint next() const;

 private:
  struct Round {
    std::string name;
    std::uint64_t sequence = 0, born = 0, incarnation = 0;
    TimePoint patience, end;
    bool asked = false;
  };
  const Terms terms_;
  std::vector<std::string> order_;
  std::size_t at_ = 0;
  std::optional<Round> round_;
  std::set<std::string> helpers_;  // of the round, which have not said kNack
  bool any_helper_ = false;
  TimePoint next_;
  std::uint64_t sequence_ = 0;
  std::map<std::uint64_t, Errand> errands_;  // in the order of their ends: all have the same patience
  int health_ = 0;
};

}  // namespace mothrack::gossip
