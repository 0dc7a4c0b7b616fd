#include "zone_failover/decision.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace mothrack::zone_failover {
namespace {

constexpr int kAll = 1000;
// One member by itself is no fleet: it decides as each alone.
constexpr std::size_t kMinJudges = 2;
constexpr Duration kReportedAgeUnit{250};  // of Told::held
// A trial a second each: three members are heard of a zone soon, and what topples nothing.
constexpr std::uint32_t kProbesPer1000s = 1000;
// The best of a zone is forgotten to the half in ten minutes: by then its machines may be others.
constexpr std::uint64_t kPeakDecayDivisor = 866;
constexpr std::uint64_t kWindowsPer1000s = 1'000'000 / kWindow.count();

bool InUse(Phase phase) { return phase == Phase::kActive || phase == Phase::kSuspect; }
bool Out(Phase phase) { return phase == Phase::kDraining || phase == Phase::kDrained; }

// What speaks against a zone comes first where two states have the same generation.
int Severity(Phase phase, int step) {
  switch (phase) {
    case Phase::kDrained:
      return 300;
    case Phase::kDraining:
      return 200 + step;
    case Phase::kRecovering:
      return 100 - step;
    default:
      return 0;
  }
}
using Rank = std::tuple<std::uint32_t, int, int>;  // generation, gravity, phase: for comparing
Rank RankOf(Phase phase, int step, std::uint32_t generation) {
  const bool in = InUse(phase);
  return {generation, Severity(phase, step), in ? 0 : static_cast<int>(phase)};
}

Duration DrainTimeOf(const ZoneState& zone, const FailoverConfig& config) {
  Duration min_drain_time = config.min_drain_time;
  for (int i = 2; i < zone.losses && min_drain_time < config.max_drain_time; ++i) min_drain_time *= 2;
  return std::min(min_drain_time, config.max_drain_time);
}

// Whoever tries a zone that was left: by a hash of its name and the generation, so that it is others the next
// time, and without asking anybody. Those inside the zone only where there is nobody else.
bool IsProbing(const std::string& zone, std::uint32_t generation, const MemberList& members,
               const FailoverConfig& config) {
  const auto rank = [&](const MemberId& p) {
    return std::tuple(p.zone == zone, Hash(p.name, Hash(zone, Hash(std::to_string(generation)))), p.name);
  };
  const auto mine = rank(members.local);
  const auto before = std::count_if(members.live.begin(), members.live.end(),
                                    [&](const MemberId& p) { return rank(p) < mine; });
  return static_cast<std::size_t>(before) < config.probing_members;
}

// What those tell of one zone whose evidence is fresh; looked up once, as all else goes over it many times.
struct Observation {
  const EvidenceReport* from;
  const ZoneEvidence* of;
  Verdict say;
};
std::vector<Observation> ObservationsOf(const std::string& zone,
                                        const std::vector<const EvidenceReport*>& max_evidence_age) {
  const ZoneId id = IdOf(zone);
  std::vector<Observation> reported;
  reported.reserve(max_evidence_age.size());
  for (const EvidenceReport* h : max_evidence_age) {
    if (const ZoneEvidence* e = h->evidence->Find(id)) reported.push_back({h, e, VerdictOf(*e)});
  }
  return reported;
}

std::vector<const EvidenceReport*> RecentReports(const std::vector<EvidenceReport>& reports,
                                                 const FailoverConfig& config) {
  std::vector<const EvidenceReport*> max_evidence_age;
  max_evidence_age.reserve(reports.size());
  for (const EvidenceReport& h : reports) {
    if (h.evidence && h.age < config.max_evidence_age) max_evidence_age.push_back(&h);
  }
  return max_evidence_age;
}

std::uint64_t SumOf(std::uint16_t ZoneEvidence::*figure, const std::vector<Observation>& reported) {
  std::uint64_t sum = 0;
  for (const Observation& t : reported) sum += t.of->*figure;
  return sum;
}

VoteCounts CountVotesIn(const std::string& zone, const std::vector<Observation>& reported,
                        const MemberList& members, const FailoverConfig& config);

// The middle one of what they saw of a zone at its best: one that lies or is new changes nothing.
std::uint64_t MedianPeak(const std::vector<Observation>& recent) {
  std::vector<std::uint64_t> reported;
  for (const Observation& t : recent) {
    if (t.of->peak_rate > 0) reported.push_back(t.of->peak_rate);
  }
  if (reported.empty()) return 0;
  const auto middle = reported.begin() + static_cast<std::ptrdiff_t>(reported.size() / 2);
  std::nth_element(reported.begin(), middle, reported.end());
  return *middle * kAll;
}

void UpdatePeak(ZoneState& zone, std::uint64_t in_time, std::uint64_t reported, TimePoint now) {
  for (; now - zone.peak_updated >= std::chrono::seconds(1) && zone.peak_rate > 0;
       zone.peak_updated += std::chrono::seconds(1))
    zone.peak_rate -= zone.peak_rate / kPeakDecayDivisor;
  if (zone.peak_rate == 0) zone.peak_updated = now;
  zone.peak_rate = std::max(zone.peak_rate, in_time * kWindowsPer1000s);
  // Of a new member: what the others saw. Not of another, or all would keep each other from forgetting.
  if (zone.peak_rate < reported * 3 / 4) zone.peak_rate = reported;
}

void Enter(ZoneState& zone, Phase phase, int step, TimePoint now) {
  // Watching is nobody else's business: no generation.
  if (!(InUse(zone.phase) && InUse(phase))) ++zone.generation;
  zone.phase = phase;
  zone.step = step;
  zone.since = now;
}

// What more than half of so many members tell at least, or nothing: few that lie move nobody.
std::optional<ReportedState> MajorityState(const std::vector<Observation>& recent, std::size_t of) {
  std::vector<ReportedState> reported;
  reported.reserve(recent.size());
  for (const Observation& t : recent) {
    reported.push_back(t.of->reported);
    // Older by the time that it was on its way.
    reported.back().age_quarters = static_cast<std::uint16_t>(
        std::min<std::int64_t>(t.of->reported.age_quarters + t.from->age / kReportedAgeUnit, kMaxCount));
  }
  if (reported.size() <= of / 2) return std::nullopt;
  const auto middle = reported.begin() + static_cast<std::ptrdiff_t>(of / 2);
  std::nth_element(reported.begin(), middle, reported.end(),
                   [](const ReportedState& a, const ReportedState& b) {
                     return std::tuple(RankOf(a.phase, a.step, a.generation), a.losses, a.age_quarters) >
                            std::tuple(RankOf(b.phase, b.step, b.generation), b.losses, b.age_quarters);
                   });
  return *middle;
}

void Adopt(ZoneState& zone, const ReportedState& reported, TimePoint now) {
  zone.phase = reported.phase == Phase::kSuspect ? Phase::kActive : reported.phase;
  zone.step = reported.step;
  zone.generation = reported.generation;
  zone.losses = reported.losses;
  zone.since = now - reported.age_quarters * kReportedAgeUnit;
  zone.drain_started = zone.since;
}

}  // namespace

std::uint64_t WeightCap(const std::vector<std::uint64_t>& weights, std::uint64_t parts) {
  const auto holds = [&](std::uint64_t c) {
    std::uint64_t sum = 0;
    for (const std::uint64_t w : weights) sum += std::min(w, c);
    return sum >= parts * c;
  };
  // What holds for one level holds for all below it: the sum is concave.
  std::uint64_t low = 0, high = weights.empty() ? 0 : *std::max_element(weights.begin(), weights.end());
  while (low < high) {
    const std::uint64_t middle = low + (high - low + 1) / 2;
    if (holds(middle))
      low = middle;
    else
      high = middle - 1;
  }
  return low;
}

std::uint64_t FairShareLevel(const std::vector<std::uint64_t>& needs, std::uint64_t all) {
  std::uint64_t low = 0, high = needs.empty() ? 0 : *std::max_element(needs.begin(), needs.end());
  while (low < high) {
    const std::uint64_t middle = low + (high - low + 1) / 2;
    std::uint64_t sum = 0;
    for (const std::uint64_t n : needs) sum += std::min(n, middle);
    if (sum <= all)
      low = middle;
    else
      high = middle - 1;
  }
  return low;
}

bool HaveDistinctIds(const std::vector<std::string>& zones) {
  std::map<ZoneId, std::string> names;
  return std::all_of(zones.begin(), zones.end(),
                     [&](const std::string& z) { return names.emplace(IdOf(z), z).first->second == z; });
}

bool IsIsolated(const MemberList& members) { return members.live.size() * 2 < members.known_members; }

VoteCounts CountVotes(const std::string& zone, const std::vector<EvidenceReport>& reports,
                      const MemberList& members, const FailoverConfig& config) {
  return CountVotesIn(zone, ObservationsOf(zone, RecentReports(reports, config)), members, config);
}

namespace {

VoteCounts CountVotesIn(const std::string& zone, const std::vector<Observation>& reported,
                        const MemberList& members, const FailoverConfig& config) {
  const std::size_t outside = members.zones.size() - members.zones.count(zone);
  const bool inside_too = outside < config.min_judge_zones;
  struct Judge {
    bool unanswered;
    std::uint64_t weight;
  };
  std::vector<Judge> judges;
  judges.reserve(reported.size());
  std::vector<std::string_view> unresponsive_zones, judge_zones;
  const auto add = [](std::vector<std::string_view>& to, std::string_view name) {
    if (std::find(to.begin(), to.end(), name) == to.end()) to.push_back(name);
  };
  VoteCounts votes;
  for (const Observation& t : reported) {
    const bool unanswered = t.say == Verdict::kUnresponsive;
    if (t.say == Verdict::kNone || (!inside_too && t.from->owner.zone == zone)) continue;
    ++votes.witnesses;
    votes.unresponsive_witnesses += unanswered ? 1 : 0;
    // Whoever gets a word of no zone is cut off itself, or has trouble that is no zone's.
    const auto& all = t.from->evidence->zones;
    const bool contrast = !unanswered || std::any_of(all.begin(), all.end(), [&](const ZoneEvidence& z) {
      return z.zone != t.of->zone && VerdictOf(z) == Verdict::kResponsive;
    });
    if (!contrast) continue;
    judges.push_back({unanswered, std::max<std::uint64_t>(t.of->sent, 1)});
    add(judge_zones, t.from->owner.zone);
    if (unanswered) ++votes.unresponsive_judges, add(unresponsive_zones, t.from->owner.zone);
    votes.answered += t.of->answered;
    votes.outcomes += t.of->answered + t.of->rejected + t.of->unanswered;
    votes.answered_judges += t.of->answered > 0 ? 1 : 0;
  }
  std::vector<std::uint64_t> weights;
  for (const Judge& j : judges) weights.push_back(j.weight);
  const std::uint64_t cap = std::max<std::uint64_t>(WeightCap(weights, config.judge_weight_divisor), 1);
  for (const Judge& j : judges) {
    votes.total_weight += std::min(j.weight, cap);
    if (j.unanswered) votes.unresponsive_weight += std::min(j.weight, cap);
  }
  votes.judges = judges.size();
  // As many as there are to be had: by who lives, not by who happens to say something.
  const auto there = static_cast<std::size_t>(
      std::count_if(members.live.begin(), members.live.end(),
                    [&](const MemberId& p) { return inside_too || p.zone != zone; }));
  // Judges of one zone alone decide where no other can: with more than half of all that are known.
  const bool one_may = outside < config.min_judge_zones && judge_zones.size() == 1 &&
                       members.live.size() * 2 > members.known_members;
  votes.enough_judges =
      votes.unresponsive_judges >= std::min(config.min_judges, std::max(there, kMinJudges)) &&
      (unresponsive_zones.size() >= config.min_judge_zones || one_may);
  return votes;
}

}  // namespace

bool HasQuorum(const VoteCounts& t, const FailoverConfig& config) {
  return t.enough_judges && t.unresponsive_weight > 0 &&
         t.unresponsive_weight * kAll >=
             t.total_weight * static_cast<std::uint64_t>(config.unavailable_threshold);
}

const OperatorOverride* EffectiveOverride(const std::string& zone,
                                          const std::vector<OperatorOverride>& overrides, TimePoint now) {
  const OperatorOverride* peak_rate = nullptr;
  for (const OperatorOverride& w : overrides) {
    if (w.zone != zone || now >= w.until) continue;
    if (peak_rate == nullptr || std::tuple(w.number, w.kind, peak_rate->owner) >
                                    std::tuple(peak_rate->number, peak_rate->kind, w.owner))
      peak_rate = &w;
  }
  return peak_rate;
}

Transition TransitionFor(Phase phase, Condition condition) {
  constexpr auto keep = Action::kKeep, watch = Action::kWatch, leave = Action::kStartDrain,
                 shift = Action::kShiftMore, test = Action::kProbe, begin = Action::kStartRecovery,
                 on = Action::kStepUp, back = Action::kStepDown, put = Action::kAbortRecovery;
  constexpr auto in = Phase::kActive, sus = Phase::kSuspect, lvg = Phase::kDraining, out = Phase::kDrained,
                 ret = Phase::kRecovering;
  // clang-format off
  static constexpr std::array<std::array<Transition, 11>, 5> kRules = {{
      // alone, leave, stay, return, last, late; lost, doubt, unknown, proved, well
      {{{in, keep}, {lvg, leave}, {in, keep}, {in, keep}, {sus, watch}, {sus, watch},
        {sus, watch}, {sus, watch}, {in, keep}, {in, keep}, {in, keep}}},
      {{{sus, keep}, {lvg, leave}, {in, keep}, {in, keep}, {sus, keep}, {sus, keep},
        {lvg, leave}, {sus, keep}, {in, keep}, {in, keep}, {in, keep}}},
      {{{lvg, keep}, {lvg, shift}, {lvg, keep}, {ret, begin}, {lvg, test}, {lvg, test},
        {lvg, shift}, {lvg, shift}, {lvg, shift}, {ret, begin}, {lvg, shift}}},
      {{{out, keep}, {out, keep}, {out, keep}, {ret, begin}, {out, test}, {out, test},
        {out, test}, {out, test}, {out, test}, {ret, begin}, {out, test}}},
      {{{ret, keep}, {lvg, leave}, {ret, keep}, {ret, keep}, {ret, keep}, {ret, keep},
        {out, put}, {ret, back}, {ret, keep}, {ret, on}, {ret, keep}}},
  }};
  // clang-format on
  return kRules.at(static_cast<std::size_t>(phase)).at(static_cast<std::size_t>(condition));
}

State Decide(const State& previous, const std::vector<std::string>& names,
             const std::vector<EvidenceReport>& reports, const std::vector<OperatorOverride>& overrides,
             const MemberList& members, const FailoverConfig& config, TimePoint now) {
  State state;
  std::map<std::string, VoteCounts> votes_by_zone;
  std::map<std::string, std::vector<Observation>> reported;
  const std::vector<const EvidenceReport*> recent = RecentReports(reports, config);
  const std::set<std::string> zones(names.begin(), names.end());  // one order at every member
  for (const std::string& name : zones) {
    const auto before = previous.find(name);
    state[name] = before == previous.end() ? ZoneState{} : before->second;
    if (before == previous.end()) state[name].since = state[name].share_updated = now;
    reported[name] = ObservationsOf(name, recent);
    votes_by_zone[name] = CountVotesIn(name, reported[name], members, config);
  }
  const bool alone = IsIsolated(members);
  const bool others_tell = std::any_of(recent.begin(), recent.end(), [&](const EvidenceReport* h) {
    return h->owner.name != members.local.name;
  });
  const auto alternative_threshold = [&](const std::string& name) {
    const VoteCounts& t = votes_by_zone.at(name);
    return InUse(state.at(name).phase) && t.total_weight > 0 &&
           t.unresponsive_weight * kAll <=
               t.total_weight * static_cast<std::uint64_t>(config.alternative_threshold) &&
           t.unresponsive_witnesses * kAll <=
               t.witnesses * static_cast<std::size_t>(config.alternative_threshold);
  };
  const auto other_stands = [&](const std::string& zone) {
    return std::any_of(zones.begin(), zones.end(),
                       [&](const auto& z) { return z != zone && alternative_threshold(z); });
  };

  for (const std::string& name : zones) {
    ZoneState& zone = state.at(name);
    const VoteCounts& votes = votes_by_zone.at(name);
    const std::vector<Observation>& of = reported.at(name);
    UpdatePeak(zone, SumOf(&ZoneEvidence::in_time, of), MedianPeak(of), now);
    // Is it there for those inside? One of them with a trickle may not have noticed yet: all of them are
    // asked.
    Verdict own_say = Verdict::kNone;
    std::size_t inside = 0, inside_silent = 0;
    for (const Observation& t : of) {
      if (t.from->owner.name == members.local.name) own_say = t.say;
      if (t.from->owner.zone != name || t.say == Verdict::kNone) continue;
      ++inside;
      inside_silent += t.say == Verdict::kUnresponsive ? 1 : 0;
    }
    const bool there =
        name == members.local.zone && own_say == Verdict::kResponsive && inside_silent * 3 < inside;

    // One that was away takes over what most of all live members tell.
    if (!alone) {
      const auto common = MajorityState(of, members.live.size());
      const bool later = common && RankOf(common->phase, common->step, common->generation) >
                                       RankOf(zone.phase, zone.step, zone.generation);
      if (later && (!Out(common->phase) || other_stands(name))) {
        if (!Out(zone.phase) && Out(common->phase)) zone.retained = there;
        Adopt(zone, *common, now);
        if (zone.phase == Phase::kDrained) zone.shifted = kAll;
        if (Out(zone.phase) && !zone.by_operator) zone.share = 0;
      }
    }
    if (InUse(zone.phase)) {
      if (now - zone.drain_started >= config.loss_memory) zone.losses = 0;
      if (votes.unresponsive_judges == 0 && !alone)
        zone.baseline_load =
            static_cast<std::uint32_t>(SumOf(&ZoneEvidence::sent, of) * 1000 / kWindow.count());
    }

    // The others: what they were seen to bear beyond what they have now, and whether that is late already.
    std::uint64_t room = 0, answered = 0, outcomes = 0, in_time = 0;
    for (const std::string& other : zones) {
      if (other == name || !InUse(state.at(other).phase)) continue;
      const std::uint64_t peak_rate = state.at(other).peak_rate / kAll;
      const std::uint64_t now_has = SumOf(&ZoneEvidence::sent, reported.at(other)) * 1000 / kWindow.count();
      room += peak_rate > now_has ? peak_rate - now_has : 0;
      answered += SumOf(&ZoneEvidence::answered, reported.at(other));
      in_time += SumOf(&ZoneEvidence::in_time, reported.at(other));
      outcomes += SumOf(&ZoneEvidence::rejected, reported.at(other));
    }
    outcomes += answered;
    const bool late_threshold =
        (outcomes - in_time) * kAll > outcomes * static_cast<std::uint64_t>(config.late_threshold);

    const OperatorOverride* operator_override = EffectiveOverride(name, overrides, now);
    const Duration held = now - zone.since;
    const auto condition = [&] {
      if (alone) return Condition::kIsolated;
      const bool other = other_stands(name);
      if (operator_override != nullptr && operator_override->kind == OverrideKind::kDrain)
        return other || Out(zone.phase) ? Condition::kOverrideDrain : Condition::kNoAlternative;
      if (operator_override != nullptr && operator_override->kind == OverrideKind::kHold)
        return Condition::kOverrideHold;
      if (operator_override != nullptr && operator_override->kind == OverrideKind::kRecover &&
          operator_override->number > zone.applied_override)
        return Condition::kOverrideRecover;
      // Overload looks like silence to those that give up at their aim; a lost zone answers nobody at all.
      const bool everywhere = late_threshold && votes.unresponsive_weight < votes.total_weight;
      if (HasQuorum(votes, config))
        return !other       ? Condition::kNoAlternative
               : everywhere ? Condition::kOverload
                            : Condition::kUnavailable;
      const bool doubt_threshold = votes.unresponsive_weight * kAll >=
                                   votes.total_weight * static_cast<std::uint64_t>(config.doubt_threshold);
      if (doubt_threshold && votes.unresponsive_weight > 0 && !everywhere) return Condition::kDoubtful;
      if (votes.total_weight == 0) return Condition::kNoEvidence;
      const bool trials = Out(zone.phase);
      const bool time = trials ? now - zone.drain_started >= DrainTimeOf(zone, config)
                               : held >= config.recovery_step_interval;
      const std::uint32_t proof = trials ? config.probe_successes : config.step_successes;
      const std::size_t min_judges =
          std::min(config.min_success_judges, std::max<std::size_t>(members.live.size(), 1));
      // One in ten may be chance of a busy zone; of trials none.
      const bool clean =
          trials ? votes.answered == votes.outcomes : votes.answered * 10 >= votes.outcomes * 9;
      if (time && clean && votes.answered >= proof && votes.answered_judges >= min_judges)
        return Condition::kRecoveryProven;
      return Condition::kHealthy;
    }();

    const Transition move = TransitionFor(zone.phase, condition);
    switch (move.action) {
      case Action::kKeep:
      case Action::kWatch:
        if (move.to != zone.phase) Enter(zone, move.to, 0, now);
        break;
      case Action::kStartDrain: {
        zone.by_operator = condition == Condition::kOverrideDrain;
        zone.retained = !zone.by_operator && there;
        // As much at once as the others are known to bear.
        const std::uint64_t baseline_load = std::max<std::uint64_t>(zone.baseline_load, 1);
        zone.shifted = static_cast<int>(
            std::clamp<std::uint64_t>(room * kAll / baseline_load, config.initial_shift, kAll));
        if (!zone.by_operator) ++zone.losses, zone.share = 0;
        zone.drain_started = now;
        Enter(zone, zone.shifted >= kAll ? Phase::kDrained : Phase::kDraining, 1, now);
        if (zone.phase == Phase::kDrained) zone.step = 0;
        break;
      }
      case Action::kShiftMore:
        if (held < config.shift_interval || late_threshold) break;
        zone.shifted = std::min(kAll, zone.shifted + config.shift_step);
        Enter(zone, zone.shifted >= kAll ? Phase::kDrained : Phase::kDraining, zone.step + 1, now);
        if (zone.phase == Phase::kDrained) zone.step = 0;
        break;
      case Action::kProbe:
        break;
      case Action::kStartRecovery:
        if (condition == Condition::kOverrideRecover) zone.applied_override = operator_override->number;
        zone.by_operator = false;
        Enter(zone, Phase::kRecovering, 1, now);
        break;
      case Action::kStepUp:
        if (zone.step >= config.recovery_steps) {
          Enter(zone, Phase::kActive, 0, now);
        } else {
          Enter(zone, Phase::kRecovering, zone.step + 1, now);
        }
        break;
      case Action::kStepDown:
        if (zone.step > 1 && held < config.step_down_interval) break;
        if (zone.step > 1) {
          Enter(zone, Phase::kRecovering, zone.step - 1, now);
          break;
        }
        [[fallthrough]];
      case Action::kAbortRecovery:
        ++zone.losses;
        zone.drain_started = now;
        zone.share = 0;
        zone.shifted = kAll;  // the others have borne it until now
        Enter(zone, Phase::kDrained, 0, now);
        break;
    }
    if (InUse(zone.phase)) zone.retained = false, zone.shifted = 0;
    if (!there && zone.retained) zone.retained = false, zone.share = 0;

    // The share goes towards what the state allows; with nobody to go by, towards the member's own view.
    int target = kAll;
    if (!alone && others_tell && !zone.retained) {
      if (Out(zone.phase)) target = zone.by_operator ? kAll - zone.shifted : 0;
      if (zone.phase == Phase::kRecovering) target = kAll * zone.step / config.recovery_steps;
    }
    const int most = static_cast<int>(std::min<std::int64_t>((now - zone.share_updated).count(), 10'000) *
                                      config.share_ramp / kAll);
    if (most > 0 || target == zone.share) {
      zone.share = std::clamp(target, zone.share - most, zone.share + most);
      zone.share_updated = now;
    }
  }
  return state;
}

State InitialState(const std::vector<std::string>& zones, const std::vector<EvidenceReport>& reports,
                   TimePoint now) {
  FailoverConfig any_age;
  any_age.max_evidence_age = Duration::max();
  const std::vector<const EvidenceReport*> recent = RecentReports(reports, any_age);
  State state;
  for (const std::string& name : zones) {
    ZoneState& zone = state[name];
    zone.since = zone.share_updated = now;
    zone.drain_started = now;
    const std::vector<Observation> reported = ObservationsOf(name, recent);
    const auto common = MajorityState(reported, reported.size());
    if (!common) continue;
    Adopt(zone, *common, now);
    if (Out(zone.phase)) zone.share = 0, zone.shifted = kAll;
    if (zone.phase == Phase::kRecovering) zone.share = 0;  // and up by the ramp
  }
  return state;
}

TrafficPlan TrafficPlanFor(const State& state, const std::vector<EvidenceReport>& reports,
                           const MemberList& members, const FailoverConfig& config, TimePoint now,
                           std::optional<TimePoint> started) {
  TrafficPlan view;
  view.valid_for = config.max_evidence_age;
  const bool own_there = state.contains(members.local.zone);
  const bool cautious_start = started && own_there && now - *started < config.cautious_start;
  // What a member needs of a zone goes by all that it sends. Of those that live and were not heard, as much
  // as of those that were, so that nothing is lent of what may be wanted.
  std::vector<std::uint64_t> needs;
  std::uint64_t all_need = 0, own_need = 0;
  for (const EvidenceReport* h : RecentReports(reports, config)) {
    std::uint64_t need = 0;
    for (const ZoneEvidence& e : h->evidence->zones) need += e.sent;
    needs.push_back(need * kWindowsPer1000s);
    all_need += needs.back();
    if (h->owner.name == members.local.name) own_need = needs.back();
  }
  const std::size_t report_count = needs.size();
  for (std::size_t i = report_count; i < members.live.size() && report_count > 0; ++i) {
    needs.push_back(all_need / report_count);
  }
  std::uint64_t baseline_load = 0, homeless = 0;
  for (const auto& [name, zone] : state) {
    baseline_load += zone.baseline_load;
    if (!zone.by_operator && (Out(zone.phase) || zone.phase == Phase::kRecovering))
      homeless += static_cast<std::uint64_t>(zone.baseline_load) *
                  std::max(0, kAll - zone.shifted - zone.share) / kAll;
  }
  for (const auto& [name, zone] : state) {
    ZoneShare share{name, zone.share, 0, 0, zone.generation};
    if (cautious_start && name != members.local.zone)
      share.share = 0, share.probes_per_1000s = kProbesPer1000s;
    if (Out(zone.phase) && !zone.by_operator && IsProbing(name, zone.generation, members, config))
      share.probes_per_1000s = kProbesPer1000s;
    const std::uint64_t all = zone.peak_rate * static_cast<std::uint64_t>(config.slow_start_share) / kAll;
    share.slow_start_per_1000s = static_cast<std::uint32_t>(
        std::min<std::uint64_t>(std::min(own_need, FairShareLevel(needs, all)), UINT32_MAX));
    view.zones.push_back(share);
  }
  if (baseline_load > 0) view.shed = static_cast<int>(homeless * kAll / baseline_load);
  return view;
}

ReportedState ReportedStateOf(const ZoneState& zone, TimePoint now) {
  ReportedState reported;
  reported.phase = zone.phase;
  reported.step = static_cast<std::uint8_t>(zone.step);
  reported.losses = static_cast<std::uint8_t>(std::min(zone.losses, 255));
  reported.generation = zone.generation;
  reported.age_quarters =
      static_cast<std::uint16_t>(std::min<std::int64_t>((now - zone.since) / kReportedAgeUnit, kMaxCount));
  return reported;
}

}  // namespace mothrack::zone_failover
