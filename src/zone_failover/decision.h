// Which zones the fleet sends to, decided by each member from what all of them tell: one function, whole
// numbers only, so that the same evidence gives the same state whatever machine it is and in whatever order
// it came. The rules stand as tables in docs/design/zones.md.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "zone_failover/evidence.h"
#include "zone_failover/types.h"

namespace mothrack::zone_failover {

// Shares are in thousandths. All members of a fleet must have the same.
struct Rules {
  // Evidence older than this is not used: told each second, it takes up to one and a half on its way.
  Duration fresh{3000};
  // Of the judges' weight: from here on a zone is lost, or in doubt, and the others stand while theirs is at
  // most that.
  int lost = 600, doubt = 333, stands = 250;
  // A judge's weight is what it sent, capped so that none has more than one part in so many, and all have the
  // same where they are fewer.
  int most_weight = 5;
  std::size_t observers = 3, observer_zones = 2;  // or all, where there are fewer
  // A zone is left by at least this much at first, whatever the others are known to bear: without trying
  // nobody knows.
  int least_move = 250;
  int move_step = 250;
  Duration move_every{500};  // a step of it: two buckets, so that the others' lateness has shown
  int late = 200;            // of the others' answers: no further step from here on
  // It stays left so long at least; from the third loss within `remember` on twice as long each time.
  Duration stay{5000}, longest_stay{60'000}, remember{300'000};
  std::size_t trialists = 3;  // members that try a zone that was left, a call a second each
  int steps = 4;              // of a return
  Duration step_every{2500};  // the window, and the most that two members are apart by
  Duration back_every{1000};  // a second step back while the first shows its effect
  std::uint32_t trial_proof = 4,
                step_proof = 20;  // answered well since the step began, 9 in 10 of all outcomes
  std::size_t proof_observers = 2;
  // Of what a zone bore at its best: what all members together may send it a second while it is as cold as
  // can be (slow_start_initial_share x overload_multiple x the module's own safety).
  int cold = 150;
  int ramp = 250;          // a second; only what answers nothing is left at once
  Duration careful{2000};  // without an answer from any peer a new member sends trials only, so long
};

enum class WordKind { kStay, kReturn, kLeave };
// What an operator wants of a zone. Its number is greater than that of any word its agent knew.
struct Word {
  std::string zone;
  WordKind kind = WordKind::kStay;
  std::uint64_t number = 0;
  std::string owner, why;
  TimePoint until;  // of this machine's clock
  bool operator==(const Word&) const = default;
};

struct Peer {
  std::string name, zone;
  auto operator<=>(const Peer&) const = default;
};
// What this member knows of the others; itself included in all of it.
struct Roster {
  Peer self;
  std::vector<Peer> live;
  std::set<std::string> zones;  // of all that are known, the dead that are remembered included
  std::size_t known = 0;        // how many those are
};
// One member's evidence, this one's own included.
struct Heard {
  Peer owner;
  Duration age{0};
  std::shared_ptr<const Evidence> evidence;
};

struct ZoneState {
  Phase phase = Phase::kIn;
  int step = 0;
  std::uint32_t generation = 0;
  TimePoint since;    // of phase and step
  TimePoint left_at;  // the last time
  int losses = 0;
  std::uint64_t obeyed = 0;  // number of the last word "return" that was carried out
  bool planned = false;      // left for an operator's sake: it answers, so what can't move still goes there
  bool spared = false;       // this member's own zone, that it reaches though the others don't
  int accept = 0;            // of its load, what the others take
  int share = 1000;          // of what is usual, what may be sent there
  TimePoint ramped;
  std::uint32_t load = 0;  // calls a second that it had while it was in
  // Answered in time in a thousand seconds, at its best, and when that was looked at last. Of all members
  // together: the bests of many members with a trickle each add up to more than the zone ever bore.
  std::uint64_t best = 0;
  TimePoint best_at;
};
using State = std::map<std::string, ZoneState>;

// What holds of a zone, the first that does; in the order of the page's table.
enum class Condition {
  kAlone,      // this member hears fewer than half of those that it knew
  kSaidLeave,  // an operator's word
  kSaidStay,
  kSaidReturn,  // not carried out yet
  kLast,        // a quorum finds it silent, or a word leaves it, and no other zone in use stands
  kLostLate,    // a quorum finds it silent, the others' answers come late
  kLost,        // a quorum finds it silent
  kDoubt,       // many do, or a quorum lacks observers
  kUnknown,     // nobody says anything of it
  kProved,      // it answered well enough, by enough observers, since the step began
  kWell,
};

// Judges of a zone: those outside it; where these are all of one zone, those inside as well.
struct Tally {
  std::uint64_t silent = 0, total = 0;  // weights
  std::size_t judges = 0, silent_judges = 0;
  std::size_t all = 0,
              all_silent = 0;  // those included that get a word of no zone: one with those stands no better
  bool enough = false;         // silent judges, of enough zones
  std::uint64_t good = 0, outcomes = 0;  // of the judges, uncapped
  std::size_t good_judges = 0;
};
Tally Count(const std::string& zone, const std::vector<Heard>& heard, const Roster& roster,
            const Rules& rules);
bool Alone(const Roster& roster);
bool Quorum(const Tally& tally, const Rules& rules);

// One row of the table "Rules of a zone".
enum class Act { kKeep, kWatch, kLeave, kMove, kTry, kReturn, kStepOn, kStepBack, kPutBack };
struct Move {
  Phase to = Phase::kIn;
  Act act = Act::kKeep;
};
Move RuleOf(Phase phase, Condition condition);

// The state after `previous`. `zones`: all that upstreams are listed of; a state of another is dropped. Call
// it each kTurn at least.
constexpr Duration kTurn{100};
State Decide(const State& previous, const std::vector<std::string>& zones, const std::vector<Heard>& heard,
             const std::vector<Word>& words, const Roster& roster, const Rules& rules, TimePoint now);

// A state to begin with: what most of the peers that answered tell; where none did, careful (see View).
State StartFrom(const std::vector<std::string>& zones, const std::vector<Heard>& heard, TimePoint now);

// The word that counts for a zone: of those whose time is not over the greatest number; of one number leave
// before return before stay, then the owner that comes first.
const Word* WordOn(const std::string& zone, const std::vector<Word>& words, TimePoint now);

// For the module. Times and rates are this member's.
struct ZoneShare {
  std::string zone;
  int share = 1000;  // of what it would send there
  std::uint32_t cold_per_1000s =
      0;  // calls to its cold upstreams in a thousand seconds, were they as cold as can be
  std::uint32_t trials_per_1000s = 0;
  std::uint32_t generation = 0;
};
struct View {
  std::vector<ZoneShare> zones;
  int refuse = 0;  // of all calls: what the zones that are left had and the others don't take
  Duration valid_for{0};
};
// `started`: since when this member runs, where no peer told it the state; else nothing.
View ViewOf(const State& state, const std::vector<Heard>& heard, const Roster& roster, const Rules& rules,
            TimePoint now, std::optional<TimePoint> started = std::nullopt);

Told TellOf(const ZoneState& state, TimePoint now);
// Are all names different by their ids as well? Else zones/ is not to be used.
bool NoTwoAlike(const std::vector<std::string>& zones);

// The greatest level c, so that with each weight cut down to it none is more than 1/parts of the sum; 0:
// there is none, they are too few. Exact, whatever the order.
std::uint64_t CapFor(const std::vector<std::uint64_t>& weights, std::uint64_t parts);
// The greatest level c, so that the sum of all needs, each cut down to it, is at most `all`: whoever needs
// less than its part lends the rest on.
std::uint64_t LevelFor(const std::vector<std::uint64_t>& needs, std::uint64_t all);

}  // namespace mothrack::zone_failover
