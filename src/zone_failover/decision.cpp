#include "zone_failover/decision.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace mothrack::zone_failover {
namespace {

constexpr int kAll = 1000;
// One member by itself is no fleet: it decides as each alone.
constexpr std::size_t kLeastJudges = 2;
constexpr Duration kHeldUnit{250};  // of Told::held
// A trial a second each: three members are heard of a zone soon, and what topples nothing.
constexpr std::uint32_t kTrialsPer1000s = 1000;
// The best of a zone is forgotten to the half in ten minutes: by then its machines may be others.
constexpr std::uint64_t kBestMemory = 866;
constexpr std::uint64_t kWindowsPer1000s = 1'000'000 / kWindow.count();

bool InUse(Phase phase) { return phase == Phase::kIn || phase == Phase::kSuspect; }
bool Out(Phase phase) { return phase == Phase::kLeaving || phase == Phase::kLeft; }

// What speaks against a zone comes first where two states have the same generation.
int Gravity(Phase phase, int step) {
  switch (phase) {
    case Phase::kLeft:
      return 300;
    case Phase::kLeaving:
      return 200 + step;
    case Phase::kReturning:
      return 100 - step;
    default:
      return 0;
  }
}
using Place = std::tuple<std::uint32_t, int, int>;  // generation, gravity, phase: for comparing
Place PlaceOf(Phase phase, int step, std::uint32_t generation) {
  const bool in = InUse(phase);
  return {generation, Gravity(phase, step), in ? 0 : static_cast<int>(phase)};
}

Duration StayOf(const ZoneState& zone, const Rules& rules) {
  Duration stay = rules.stay;
  for (int i = 2; i < zone.losses && stay < rules.longest_stay; ++i) stay *= 2;
  return std::min(stay, rules.longest_stay);
}

// Whoever tries a zone that was left: by a hash of its name and the generation, so that it is others the next
// time, and without asking anybody. Those inside the zone only where there is nobody else.
bool Tries(const std::string& zone, std::uint32_t generation, const Roster& roster, const Rules& rules) {
  const auto rank = [&](const Peer& p) {
    return std::tuple(p.zone == zone, Hash(p.name, Hash(zone, Hash(std::to_string(generation)))), p.name);
  };
  const auto mine = rank(roster.self);
  const auto before =
      std::count_if(roster.live.begin(), roster.live.end(), [&](const Peer& p) { return rank(p) < mine; });
  return static_cast<std::size_t>(before) < rules.trialists;
}

// What those tell of one zone whose evidence is fresh; looked up once, as all else goes over it many times.
struct Of {
  const Heard* from;
  const ZoneEvidence* of;
  Say say;
};
std::vector<Of> TellersOf(const std::string& zone, const std::vector<const Heard*>& fresh) {
  const ZoneId id = IdOf(zone);
  std::vector<Of> told;
  told.reserve(fresh.size());
  for (const Heard* h : fresh) {
    if (const ZoneEvidence* e = h->evidence->Of(id)) told.push_back({h, e, SayOf(*e)});
  }
  return told;
}

std::vector<const Heard*> FreshOf(const std::vector<Heard>& heard, const Rules& rules) {
  std::vector<const Heard*> fresh;
  fresh.reserve(heard.size());
  for (const Heard& h : heard) {
    if (h.evidence && h.age < rules.fresh) fresh.push_back(&h);
  }
  return fresh;
}

std::uint64_t SumOf(std::uint16_t ZoneEvidence::*figure, const std::vector<Of>& told) {
  std::uint64_t sum = 0;
  for (const Of& t : told) sum += t.of->*figure;
  return sum;
}

Tally CountOf(const std::string& zone, const std::vector<Of>& told, const Roster& roster, const Rules& rules);

// The middle one of what they saw of a zone at its best: one that lies or is new changes nothing.
std::uint64_t BestTold(const std::vector<Of>& tellers) {
  std::vector<std::uint64_t> told;
  for (const Of& t : tellers) {
    if (t.of->best > 0) told.push_back(t.of->best);
  }
  if (told.empty()) return 0;
  const auto middle = told.begin() + static_cast<std::ptrdiff_t>(told.size() / 2);
  std::nth_element(told.begin(), middle, told.end());
  return *middle * kAll;
}

void LearnBest(ZoneState& zone, std::uint64_t in_time, std::uint64_t told, TimePoint now) {
  for (; now - zone.best_at >= std::chrono::seconds(1) && zone.best > 0;
       zone.best_at += std::chrono::seconds(1))
    zone.best -= zone.best / kBestMemory;
  if (zone.best == 0) zone.best_at = now;
  zone.best = std::max(zone.best, in_time * kWindowsPer1000s);
  // Of a new member: what the others saw. Not of another, or all would keep each other from forgetting.
  if (zone.best < told * 3 / 4) zone.best = told;
}

void Enter(ZoneState& zone, Phase phase, int step, TimePoint now) {
  // Watching is nobody else's business: no generation.
  if (!(InUse(zone.phase) && InUse(phase))) ++zone.generation;
  zone.phase = phase;
  zone.step = step;
  zone.since = now;
}

// What more than half of so many members tell at least, or nothing: few that lie move nobody.
std::optional<Told> Common(const std::vector<Of>& tellers, std::size_t of) {
  std::vector<Told> told;
  told.reserve(tellers.size());
  for (const Of& t : tellers) {
    told.push_back(t.of->told);
    // Older by the time that it was on its way.
    told.back().held = static_cast<std::uint16_t>(
        std::min<std::int64_t>(t.of->told.held + t.from->age / kHeldUnit, kMostCount));
  }
  if (told.size() <= of / 2) return std::nullopt;
  const auto middle = told.begin() + static_cast<std::ptrdiff_t>(of / 2);
  std::nth_element(told.begin(), middle, told.end(), [](const Told& a, const Told& b) {
    return std::tuple(PlaceOf(a.phase, a.step, a.generation), a.losses, a.held) >
           std::tuple(PlaceOf(b.phase, b.step, b.generation), b.losses, b.held);
  });
  return *middle;
}

void Adopt(ZoneState& zone, const Told& told, TimePoint now) {
  zone.phase = told.phase == Phase::kSuspect ? Phase::kIn : told.phase;
  zone.step = told.step;
  zone.generation = told.generation;
  zone.losses = told.losses;
  zone.since = now - told.held * kHeldUnit;
  zone.left_at = zone.since;
}

}  // namespace

std::uint64_t CapFor(const std::vector<std::uint64_t>& weights, std::uint64_t parts) {
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

std::uint64_t LevelFor(const std::vector<std::uint64_t>& needs, std::uint64_t all) {
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

bool NoTwoAlike(const std::vector<std::string>& zones) {
  std::map<ZoneId, std::string> names;
  return std::all_of(zones.begin(), zones.end(),
                     [&](const std::string& z) { return names.emplace(IdOf(z), z).first->second == z; });
}

bool Alone(const Roster& roster) { return roster.live.size() * 2 < roster.known; }

Tally Count(const std::string& zone, const std::vector<Heard>& heard, const Roster& roster,
            const Rules& rules) {
  return CountOf(zone, TellersOf(zone, FreshOf(heard, rules)), roster, rules);
}

namespace {

Tally CountOf(const std::string& zone, const std::vector<Of>& told, const Roster& roster,
              const Rules& rules) {
  const std::size_t outside = roster.zones.size() - roster.zones.count(zone);
  const bool inside_too = outside < rules.observer_zones;
  struct Judge {
    bool silent;
    std::uint64_t weight;
  };
  std::vector<Judge> judges;
  judges.reserve(told.size());
  std::vector<std::string_view> silent_zones, judge_zones;
  const auto add = [](std::vector<std::string_view>& to, std::string_view name) {
    if (std::find(to.begin(), to.end(), name) == to.end()) to.push_back(name);
  };
  Tally tally;
  for (const Of& t : told) {
    const bool silent = t.say == Say::kSilent;
    if (t.say == Say::kNothing || (!inside_too && t.from->owner.zone == zone)) continue;
    ++tally.all;
    tally.all_silent += silent ? 1 : 0;
    // Whoever gets a word of no zone is cut off itself, or has trouble that is no zone's.
    const auto& all = t.from->evidence->zones;
    const bool contrast = !silent || std::any_of(all.begin(), all.end(), [&](const ZoneEvidence& z) {
      return z.zone != t.of->zone && SayOf(z) == Say::kWell;
    });
    if (!contrast) continue;
    judges.push_back({silent, std::max<std::uint64_t>(t.of->sent, 1)});
    add(judge_zones, t.from->owner.zone);
    if (silent) ++tally.silent_judges, add(silent_zones, t.from->owner.zone);
    tally.good += t.of->well;
    tally.outcomes += t.of->well + t.of->full + t.of->silent;
    tally.good_judges += t.of->well > 0 ? 1 : 0;
  }
  std::vector<std::uint64_t> weights;
  for (const Judge& j : judges) weights.push_back(j.weight);
  const std::uint64_t cap = std::max<std::uint64_t>(CapFor(weights, rules.most_weight), 1);
  for (const Judge& j : judges) {
    tally.total += std::min(j.weight, cap);
    if (j.silent) tally.silent += std::min(j.weight, cap);
  }
  tally.judges = judges.size();
  // As many as there are to be had: by who lives, not by who happens to say something.
  const auto there = static_cast<std::size_t>(std::count_if(
      roster.live.begin(), roster.live.end(), [&](const Peer& p) { return inside_too || p.zone != zone; }));
  // Judges of one zone alone decide where no other can: with more than half of all that are known.
  const bool one_may =
      outside < rules.observer_zones && judge_zones.size() == 1 && roster.live.size() * 2 > roster.known;
  tally.enough = tally.silent_judges >= std::min(rules.observers, std::max(there, kLeastJudges)) &&
                 (silent_zones.size() >= rules.observer_zones || one_may);
  return tally;
}

}  // namespace

bool Quorum(const Tally& t, const Rules& rules) {
  return t.enough && t.silent > 0 && t.silent * kAll >= t.total * static_cast<std::uint64_t>(rules.lost);
}

const Word* WordOn(const std::string& zone, const std::vector<Word>& words, TimePoint now) {
  const Word* best = nullptr;
  for (const Word& w : words) {
    if (w.zone != zone || now >= w.until) continue;
    if (best == nullptr ||
        std::tuple(w.number, w.kind, best->owner) > std::tuple(best->number, best->kind, w.owner))
      best = &w;
  }
  return best;
}

Move RuleOf(Phase phase, Condition condition) {
  constexpr auto keep = Act::kKeep, watch = Act::kWatch, leave = Act::kLeave, shift = Act::kMove,
                 test = Act::kTry, begin = Act::kReturn, on = Act::kStepOn, back = Act::kStepBack,
                 put = Act::kPutBack;
  constexpr auto in = Phase::kIn, sus = Phase::kSuspect, lvg = Phase::kLeaving, out = Phase::kLeft,
                 ret = Phase::kReturning;
  // clang-format off
  static constexpr std::array<std::array<Move, 11>, 5> kRules = {{
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

State Decide(const State& previous, const std::vector<std::string>& names, const std::vector<Heard>& heard,
             const std::vector<Word>& words, const Roster& roster, const Rules& rules, TimePoint now) {
  State state;
  std::map<std::string, Tally> tallies;
  std::map<std::string, std::vector<Of>> told;
  const std::vector<const Heard*> tellers = FreshOf(heard, rules);
  const std::set<std::string> zones(names.begin(), names.end());  // one order at every member
  for (const std::string& name : zones) {
    const auto before = previous.find(name);
    state[name] = before == previous.end() ? ZoneState{} : before->second;
    if (before == previous.end()) state[name].since = state[name].ramped = now;
    told[name] = TellersOf(name, tellers);
    tallies[name] = CountOf(name, told[name], roster, rules);
  }
  const bool alone = Alone(roster);
  const bool others_tell = std::any_of(tellers.begin(), tellers.end(),
                                       [&](const Heard* h) { return h->owner.name != roster.self.name; });
  const auto stands = [&](const std::string& name) {
    const Tally& t = tallies.at(name);
    return InUse(state.at(name).phase) && t.total > 0 &&
           t.silent * kAll <= t.total * static_cast<std::uint64_t>(rules.stands) &&
           t.all_silent * kAll <= t.all * static_cast<std::size_t>(rules.stands);
  };
  const auto other_stands = [&](const std::string& zone) {
    return std::any_of(zones.begin(), zones.end(), [&](const auto& z) { return z != zone && stands(z); });
  };

  for (const std::string& name : zones) {
    ZoneState& zone = state.at(name);
    const Tally& tally = tallies.at(name);
    const std::vector<Of>& of = told.at(name);
    LearnBest(zone, SumOf(&ZoneEvidence::in_time, of), BestTold(of), now);
    // Is it there for those inside? One of them with a trickle may not have noticed yet: all of them are
    // asked.
    Say own_say = Say::kNothing;
    std::size_t inside = 0, inside_silent = 0;
    for (const Of& t : of) {
      if (t.from->owner.name == roster.self.name) own_say = t.say;
      if (t.from->owner.zone != name || t.say == Say::kNothing) continue;
      ++inside;
      inside_silent += t.say == Say::kSilent ? 1 : 0;
    }
    const bool there = name == roster.self.zone && own_say == Say::kWell && inside_silent * 3 < inside;

    // One that was away takes over what most of all live members tell.
    if (!alone) {
      const auto common = Common(of, roster.live.size());
      const bool later = common && PlaceOf(common->phase, common->step, common->generation) >
                                       PlaceOf(zone.phase, zone.step, zone.generation);
      if (later && (!Out(common->phase) || other_stands(name))) {
        if (!Out(zone.phase) && Out(common->phase)) zone.spared = there;
        Adopt(zone, *common, now);
        if (zone.phase == Phase::kLeft) zone.accept = kAll;
        if (Out(zone.phase) && !zone.planned) zone.share = 0;
      }
    }
    if (InUse(zone.phase)) {
      if (now - zone.left_at >= rules.remember) zone.losses = 0;
      if (tally.silent_judges == 0 && !alone)
        zone.load = static_cast<std::uint32_t>(SumOf(&ZoneEvidence::sent, of) * 1000 / kWindow.count());
    }

    // The others: what they were seen to bear beyond what they have now, and whether that is late already.
    std::uint64_t room = 0, good = 0, outcomes = 0, in_time = 0;
    for (const std::string& other : zones) {
      if (other == name || !InUse(state.at(other).phase)) continue;
      const std::uint64_t best = state.at(other).best / kAll;
      const std::uint64_t now_has = SumOf(&ZoneEvidence::sent, told.at(other)) * 1000 / kWindow.count();
      room += best > now_has ? best - now_has : 0;
      good += SumOf(&ZoneEvidence::well, told.at(other));
      in_time += SumOf(&ZoneEvidence::in_time, told.at(other));
      outcomes += SumOf(&ZoneEvidence::full, told.at(other));
    }
    outcomes += good;
    const bool late = (outcomes - in_time) * kAll > outcomes * static_cast<std::uint64_t>(rules.late);

    const Word* word = WordOn(name, words, now);
    const Duration held = now - zone.since;
    const auto condition = [&] {
      if (alone) return Condition::kAlone;
      const bool other = other_stands(name);
      if (word != nullptr && word->kind == WordKind::kLeave)
        return other || Out(zone.phase) ? Condition::kSaidLeave : Condition::kLast;
      if (word != nullptr && word->kind == WordKind::kStay) return Condition::kSaidStay;
      if (word != nullptr && word->kind == WordKind::kReturn && word->number > zone.obeyed)
        return Condition::kSaidReturn;
      // Overload looks like silence to those that give up at their aim; a lost zone answers nobody at all.
      const bool everywhere = late && tally.silent < tally.total;
      if (Quorum(tally, rules))
        return !other ? Condition::kLast : everywhere ? Condition::kLostLate : Condition::kLost;
      const bool doubt = tally.silent * kAll >= tally.total * static_cast<std::uint64_t>(rules.doubt);
      if (doubt && tally.silent > 0 && !everywhere) return Condition::kDoubt;
      if (tally.total == 0) return Condition::kUnknown;
      const bool trials = Out(zone.phase);
      const bool time = trials ? now - zone.left_at >= StayOf(zone, rules) : held >= rules.step_every;
      const std::uint32_t proof = trials ? rules.trial_proof : rules.step_proof;
      const std::size_t observers =
          std::min(rules.proof_observers, std::max<std::size_t>(roster.live.size(), 1));
      // One in ten may be chance of a busy zone; of trials none.
      const bool clean = trials ? tally.good == tally.outcomes : tally.good * 10 >= tally.outcomes * 9;
      if (time && clean && tally.good >= proof && tally.good_judges >= observers) return Condition::kProved;
      return Condition::kWell;
    }();

    const Move move = RuleOf(zone.phase, condition);
    switch (move.act) {
      case Act::kKeep:
      case Act::kWatch:
        if (move.to != zone.phase) Enter(zone, move.to, 0, now);
        break;
      case Act::kLeave: {
        zone.planned = condition == Condition::kSaidLeave;
        zone.spared = !zone.planned && there;
        // As much at once as the others are known to bear.
        const std::uint64_t load = std::max<std::uint64_t>(zone.load, 1);
        zone.accept = static_cast<int>(std::clamp<std::uint64_t>(room * kAll / load, rules.least_move, kAll));
        if (!zone.planned) ++zone.losses, zone.share = 0;
        zone.left_at = now;
        Enter(zone, zone.accept >= kAll ? Phase::kLeft : Phase::kLeaving, 1, now);
        if (zone.phase == Phase::kLeft) zone.step = 0;
        break;
      }
      case Act::kMove:
        if (held < rules.move_every || late) break;
        zone.accept = std::min(kAll, zone.accept + rules.move_step);
        Enter(zone, zone.accept >= kAll ? Phase::kLeft : Phase::kLeaving, zone.step + 1, now);
        if (zone.phase == Phase::kLeft) zone.step = 0;
        break;
      case Act::kTry:
        break;
      case Act::kReturn:
        if (condition == Condition::kSaidReturn) zone.obeyed = word->number;
        zone.planned = false;
        Enter(zone, Phase::kReturning, 1, now);
        break;
      case Act::kStepOn:
        if (zone.step >= rules.steps) {
          Enter(zone, Phase::kIn, 0, now);
        } else {
          Enter(zone, Phase::kReturning, zone.step + 1, now);
        }
        break;
      case Act::kStepBack:
        if (zone.step > 1 && held < rules.back_every) break;
        if (zone.step > 1) {
          Enter(zone, Phase::kReturning, zone.step - 1, now);
          break;
        }
        [[fallthrough]];
      case Act::kPutBack:
        ++zone.losses;
        zone.left_at = now;
        zone.share = 0;
        zone.accept = kAll;  // the others have borne it until now
        Enter(zone, Phase::kLeft, 0, now);
        break;
    }
    if (InUse(zone.phase)) zone.spared = false, zone.accept = 0;
    if (!there && zone.spared) zone.spared = false, zone.share = 0;

    // The share goes towards what the state allows; with nobody to go by, towards the member's own view.
    int target = kAll;
    if (!alone && others_tell && !zone.spared) {
      if (Out(zone.phase)) target = zone.planned ? kAll - zone.accept : 0;
      if (zone.phase == Phase::kReturning) target = kAll * zone.step / rules.steps;
    }
    const int most =
        static_cast<int>(std::min<std::int64_t>((now - zone.ramped).count(), 10'000) * rules.ramp / kAll);
    if (most > 0 || target == zone.share) {
      zone.share = std::clamp(target, zone.share - most, zone.share + most);
      zone.ramped = now;
    }
  }
  return state;
}

State StartFrom(const std::vector<std::string>& zones, const std::vector<Heard>& heard, TimePoint now) {
  Rules any_age;
  any_age.fresh = Duration::max();
  const std::vector<const Heard*> tellers = FreshOf(heard, any_age);
  State state;
  for (const std::string& name : zones) {
    ZoneState& zone = state[name];
    zone.since = zone.ramped = now;
    zone.left_at = now;
    const std::vector<Of> told = TellersOf(name, tellers);
    const auto common = Common(told, told.size());
    if (!common) continue;
    Adopt(zone, *common, now);
    if (Out(zone.phase)) zone.share = 0, zone.accept = kAll;
    if (zone.phase == Phase::kReturning) zone.share = 0;  // and up by the ramp
  }
  return state;
}

View ViewOf(const State& state, const std::vector<Heard>& heard, const Roster& roster, const Rules& rules,
            TimePoint now, std::optional<TimePoint> started) {
  View view;
  view.valid_for = rules.fresh;
  const bool own_there = state.contains(roster.self.zone);
  const bool careful = started && own_there && now - *started < rules.careful;
  // What a member needs of a zone goes by all that it sends. Of those that live and were not heard, as much
  // as of those that were, so that nothing is lent of what may be wanted.
  std::vector<std::uint64_t> needs;
  std::uint64_t all_need = 0, own_need = 0;
  for (const Heard* h : FreshOf(heard, rules)) {
    std::uint64_t need = 0;
    for (const ZoneEvidence& e : h->evidence->zones) need += e.sent;
    needs.push_back(need * kWindowsPer1000s);
    all_need += needs.back();
    if (h->owner.name == roster.self.name) own_need = needs.back();
  }
  const std::size_t heard_of = needs.size();
  for (std::size_t i = heard_of; i < roster.live.size() && heard_of > 0; ++i) {
    needs.push_back(all_need / heard_of);
  }
  std::uint64_t load = 0, homeless = 0;
  for (const auto& [name, zone] : state) {
    load += zone.load;
    if (!zone.planned && (Out(zone.phase) || zone.phase == Phase::kReturning))
      homeless += static_cast<std::uint64_t>(zone.load) * std::max(0, kAll - zone.accept - zone.share) / kAll;
  }
  for (const auto& [name, zone] : state) {
    ZoneShare share{name, zone.share, 0, 0, zone.generation};
    if (careful && name != roster.self.zone) share.share = 0, share.trials_per_1000s = kTrialsPer1000s;
    if (Out(zone.phase) && !zone.planned && Tries(name, zone.generation, roster, rules))
      share.trials_per_1000s = kTrialsPer1000s;
    const std::uint64_t all = zone.best * static_cast<std::uint64_t>(rules.cold) / kAll;
    share.cold_per_1000s = static_cast<std::uint32_t>(
        std::min<std::uint64_t>(std::min(own_need, LevelFor(needs, all)), UINT32_MAX));
    view.zones.push_back(share);
  }
  if (load > 0) view.refuse = static_cast<int>(homeless * kAll / load);
  return view;
}

Told TellOf(const ZoneState& zone, TimePoint now) {
  Told told;
  told.phase = zone.phase;
  told.step = static_cast<std::uint8_t>(zone.step);
  told.losses = static_cast<std::uint8_t>(std::min(zone.losses, 255));
  told.generation = zone.generation;
  told.held = static_cast<std::uint16_t>(std::min<std::int64_t>((now - zone.since) / kHeldUnit, kMostCount));
  return told;
}

}  // namespace mothrack::zone_failover
