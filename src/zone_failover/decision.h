// Which zones the fleet sends to, decided by each member from what all of them tell: one function, whole
// numbers only, so that the same evidence gives the same state whatever machine it is and in whatever order
// it came. The config stand as tables in docs/design/zones.md.
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
struct FailoverConfig {
  // Evidence older than this is not used: told each second, it takes up to one and a half on its way.
  Duration max_evidence_age{3000};
  // Of the judges' weight: from here on a zone is lost, or in doubt, and the others stand while theirs is at
  // most that.
  int unavailable_threshold = 600, doubt_threshold = 333, alternative_threshold = 250;
  // A judge's weight is what it sent, capped so that none has more than one part in so many, and all have the
  // same where they are fewer.
  int judge_weight_divisor = 5;
  std::size_t min_judges = 3, min_judge_zones = 2;  // or all, where there are fewer
  // A zone is left by at least this much at first, whatever the others are known to bear: without trying
  // nobody knows.
  int initial_shift = 250;
  int shift_step = 250;
  Duration shift_interval{500};  // a step of it: two buckets, so that the others' lateness has shown
  int late_threshold = 200;      // of the others' answers: no further step from here on
  // It stays left so long at least; from the third loss within `remember` on twice as long each time.
  Duration min_drain_time{5000}, max_drain_time{60'000}, loss_memory{300'000};
  std::size_t probing_members = 3;        // members that try a zone that was left, a call a second each
  int recovery_steps = 4;                 // of a return
  Duration recovery_step_interval{2500};  // the window, and the most that two members are apart by
  Duration step_down_interval{1000};      // a second step back while the first shows its effect
  std::uint32_t probe_successes = 4,
                step_successes = 20;  // answered well since the step began, 9 in 10 of all outcomes
  std::size_t min_success_judges = 2;
  // Of what a zone bore at its best: what all members together may send it a second while it is as cold as
  // can be (slow_start_initial_share x overload_multiple x the module's own safety).
  int slow_start_share = 150;
  int share_ramp = 250;           // a second; only what answers nothing is left at once
  Duration cautious_start{2000};  // without an answer from any peer a new member sends trials only, so long
};

enum class OverrideKind { kHold, kRecover, kDrain };
// What an operator wants of a zone. Its number is greater than that of any word its agent knew.
struct OperatorOverride {
  std::string zone;
  OverrideKind kind = OverrideKind::kHold;
  std::uint64_t number = 0;
  std::string owner, why;
  TimePoint until;  // of this machine's clock
  bool operator==(const OperatorOverride&) const = default;
};

struct MemberId {
  std::string name, zone;
  auto operator<=>(const MemberId&) const = default;
};
// What this member knows of the others; itself included in all of it.
struct MemberList {
  MemberId local;
  std::vector<MemberId> live;
  std::set<std::string> zones;    // of all that are known, the dead that are remembered included
  std::size_t known_members = 0;  // how many those are
};
// One member's evidence, this one's own included.
struct EvidenceReport {
  MemberId owner;
  Duration age{0};
  std::shared_ptr<const Evidence> evidence;
};

struct ZoneState {
  Phase phase = Phase::kActive;
  int step = 0;
  std::uint32_t generation = 0;
  TimePoint since;          // of phase and step
  TimePoint drain_started;  // the last time
  int losses = 0;
  std::uint64_t applied_override = 0;  // number of the last word "return" that was carried out
  bool by_operator = false;  // left for an operator's sake: it answers, so what can't move still goes there
  bool retained = false;     // this member's own zone, that it reaches though the others don't
  int shifted = 0;           // of its load, what the others take
  int share = 1000;          // of what is usual, what may be sent there
  TimePoint share_updated;
  std::uint32_t baseline_load = 0;  // calls a second that it had while it was in
  // Answered in time in a thousand seconds, at its best, and when that was looked at last. Of all members
  // together: the bests of many members with a trickle each add up to more than the zone ever bore.
  std::uint64_t peak_rate = 0;
  TimePoint peak_updated;
};
using State = std::map<std::string, ZoneState>;

// What holds of a zone, the first that does; in the order of the page's table.
enum class Condition {
  kIsolated,       // this member hears fewer than half of those that it knew
  kOverrideDrain,  // an operator's word
  kOverrideHold,
  kOverrideRecover,  // not carried out yet
  kNoAlternative,    // a quorum finds it silent, or a word leaves it, and no other zone in use stands
  kOverload,         // a quorum finds it silent, the others' answers come late
  kUnavailable,      // a quorum finds it silent
  kDoubtful,         // many do, or a quorum lacks observers
  kNoEvidence,       // nobody says anything of it
  kRecoveryProven,   // it answered well enough, by enough observers, since the step began
  kHealthy,
};

// Judges of a zone: those outside it; where these are all of one zone, those inside as well.
struct VoteCounts {
  std::uint64_t unresponsive_weight = 0, total_weight = 0;  // weights
  std::size_t judges = 0, unresponsive_judges = 0;
  std::size_t witnesses = 0,
              unresponsive_witnesses =
                  0;           // those included that get a word of no zone: one with those stands no better
  bool enough_judges = false;  // silent judges, of enough zones
  std::uint64_t answered = 0, outcomes = 0;  // of the judges, uncapped
  std::size_t answered_judges = 0;
};
VoteCounts CountVotes(const std::string& zone, const std::vector<EvidenceReport>& reports,
                      const MemberList& members, const FailoverConfig& config);
bool IsIsolated(const MemberList& members);
bool HasQuorum(const VoteCounts& votes, const FailoverConfig& config);

// One row of the table "FailoverConfig of a zone".
enum class Action {
  kKeep,
  kWatch,
  kStartDrain,
  kShiftMore,
  kProbe,
  kStartRecovery,
  kStepUp,
  kStepDown,
  kAbortRecovery
};
struct Transition {
  Phase to = Phase::kActive;
  Action action = Action::kKeep;
};
Transition TransitionFor(Phase phase, Condition condition);

// The state after `previous`. `zones`: all that upstreams are listed of; a state of another is dropped. Call
// it each kDecisionInterval at least.
constexpr Duration kDecisionInterval{100};
State Decide(const State& previous, const std::vector<std::string>& zones,
             const std::vector<EvidenceReport>& reports, const std::vector<OperatorOverride>& overrides,
             const MemberList& members, const FailoverConfig& config, TimePoint now);

// A state to begin with: what most of the peers that answered tell; where none did, careful (see View).
State InitialState(const std::vector<std::string>& zones, const std::vector<EvidenceReport>& reports,
                   TimePoint now);

// The word that counts for a zone: of those whose time is not over the greatest number; of one number leave
// before return before stay, then the owner that comes first.
const OperatorOverride* EffectiveOverride(const std::string& zone,
                                          const std::vector<OperatorOverride>& overrides, TimePoint now);

// For the module. Times and rates are this member's.
struct ZoneShare {
  std::string zone;
  int share = 1000;  // of what it would send there
  std::uint32_t slow_start_per_1000s =
      0;  // calls to its cold upstreams in a thousand seconds, were they as cold as can be
  std::uint32_t probes_per_1000s = 0;
  std::uint32_t generation = 0;
};
struct TrafficPlan {
  std::vector<ZoneShare> zones;
  int shed = 0;  // of all calls: what the zones that are left had and the others don't take
  Duration valid_for{0};
};
// `started`: since when this member runs, where no peer told it the state; else nothing.
TrafficPlan TrafficPlanFor(const State& state, const std::vector<EvidenceReport>& reports,
                           const MemberList& members, const FailoverConfig& config, TimePoint now,
                           std::optional<TimePoint> started = std::nullopt);

ReportedState ReportedStateOf(const ZoneState& state, TimePoint now);
// Are all names different by their ids as well? Else zones/ is not to be used.
bool HaveDistinctIds(const std::vector<std::string>& zones);

// The greatest level c, so that with each weight cut down to it none is more than 1/parts of the sum; 0:
// there is none, they are too few. Exact, whatever the order.
std::uint64_t WeightCap(const std::vector<std::uint64_t>& weights, std::uint64_t parts);
// The greatest level c, so that the sum of all needs, each cut down to it, is at most `all`: whoever needs
// less than its part lends the rest on.
std::uint64_t FairShareLevel(const std::vector<std::uint64_t>& needs, std::uint64_t all);

}  // namespace mothrack::zone_failover
