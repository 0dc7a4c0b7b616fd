#include "zone_failover/decision.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <utility>

#include "zone_failover/conditions.h"
#include "zone_failover/majority_state.h"
#include "zone_failover/recovery.h"
#include "zone_failover/state_machine.h"
#include "zone_failover/votes.h"

namespace mothrack::zone_failover {
namespace {

// The zones in use, except the one that is being decided, as alternatives for its load.
struct OtherZones {
  bool has_alternative = false;
  std::uint64_t spare_capacity = 0;  // calls per second: their peak minus their current load
  bool late = false;                 // too many of their outcomes are late or rejected
};

// One call of Decide(). Zones are decided one after the other, by name, and each sees the new states of those
// before it.
class DecisionRound {
 public:
  DecisionRound(const std::vector<EvidenceReport>& reports, const std::vector<OperatorOverride>& overrides,
                const MemberList& members, const FailoverConfig& config, TimePoint now)
      : overrides_(overrides),
        members_(members),
        config_(config),
        now_(now),
        recent_(RecentReports(reports, config.max_evidence_age)),
        isolated_(IsIsolated(members)) {}

  ZoneStates Run(const ZoneStates& previous, const std::vector<std::string>& names) {
    const std::set<std::string> sorted(names.begin(), names.end());  // the same order at every member
    for (const std::string& name : sorted) AddZone(name, previous);
    for (const std::string& name : sorted) DecideZone(name);
    return std::move(states_);
  }

 private:
  void AddZone(const std::string& name, const ZoneStates& previous) {
    const auto before = previous.find(name);
    ZoneState& zone = states_[name];
    if (before == previous.end()) {
      zone.since = zone.share_updated = now_;
    } else {
      zone = before->second;
    }
    observations_[name] = ObservationsOf(IdOf(name), recent_);
    votes_[name] = CountVotes(name, observations_.at(name), members_, config_);
  }

  void DecideZone(const std::string& name) {
    ZoneState& zone = states_.at(name);
    UpdatePeak(zone, observations_.at(name), now_);
    const bool locally_reachable = IsLocallyReachable(name);
    const bool has_alternative = HasAlternative(name);
    if (!isolated_) FollowMajority(name, has_alternative, locally_reachable);
    if (IsInUse(zone.phase)) UpdateBaseline(name);

    const OtherZones others = AssessOtherZones(name, has_alternative);
    const OperatorOverride* effective_override = EffectiveOverride(name, overrides_, now_);
    const ConditionInput condition_input{zone,
                                         votes_.at(name),
                                         effective_override,
                                         isolated_,
                                         others.has_alternative,
                                         others.late,
                                         members_.live.size(),
                                         now_};
    TransitionInput input;
    input.condition = ConditionOf(condition_input, config_);
    input.override_number = effective_override == nullptr ? 0 : effective_override->number;
    input.spare_capacity = others.spare_capacity;
    input.others_late = others.late;
    input.locally_reachable = locally_reachable;
    input.now = now_;
    ApplyTransition(zone, input, config_);

    UpdateShare(zone, locally_reachable);
  }

  // True for this member's own zone if the zone still responds to this member and to more than two thirds of
  // the members inside it that have a verdict. The other members count because a member with little traffic
  // may not have noticed a failure yet.
  bool IsLocallyReachable(const std::string& name) const {
    Verdict own_verdict = Verdict::kNone;
    std::size_t insiders = 0;
    std::size_t unresponsive = 0;
    for (const Observation& observation : observations_.at(name)) {
      const MemberId& owner = observation.report->owner;
      if (owner.name == members_.local.name) own_verdict = observation.verdict;
      if (owner.zone != name || observation.verdict == Verdict::kNone) continue;
      ++insiders;
      unresponsive += observation.verdict == Verdict::kUnresponsive ? 1 : 0;
    }
    return name == members_.local.zone && own_verdict == Verdict::kResponsive && unresponsive * 3 < insiders;
  }

  bool HasAlternative(const std::string& name) const {
    return std::any_of(states_.begin(), states_.end(), [&](const auto& entry) {
      const auto& [other, state] = entry;
      return other != name && IsInUse(state.phase) && IsAlternative(votes_.at(other), config_);
    });
  }

  // A member that fell behind adopts the state that more than half of the live members have at least reached.
  // It drains a zone only if another zone can take the load.
  void FollowMajority(const std::string& name, bool has_alternative, bool locally_reachable) {
    ZoneState& zone = states_.at(name);
    const auto majority = MajorityState(observations_.at(name), members_.live.size());
    if (!majority || !IsLater(*majority, zone)) return;
    if (IsDrainingOrDrained(majority->phase) && !has_alternative) return;
    if (!IsDrainingOrDrained(zone.phase) && IsDrainingOrDrained(majority->phase))
      zone.retained = locally_reachable;
    AdoptState(zone, *majority, now_);
    if (zone.phase == Phase::kDrained) zone.shifted = kWholeShare;
    if (IsDrainingOrDrained(zone.phase) && !zone.by_operator) zone.share = 0;
  }

  void UpdateBaseline(const std::string& name) {
    ZoneState& zone = states_.at(name);
    if (now_ - zone.drain_started >= config_.loss_memory) zone.losses = 0;
    if (votes_.at(name).unresponsive_judges == 0 && !isolated_)
      zone.baseline_load = static_cast<std::uint32_t>(SentPerSecond(observations_.at(name)));
  }

  OtherZones AssessOtherZones(const std::string& name, bool has_alternative) const {
    OtherZones others;
    others.has_alternative = has_alternative;
    std::uint64_t in_time = 0;
    std::uint64_t outcomes = 0;
    for (const auto& [other, state] : states_) {
      if (other == name || !IsInUse(state.phase)) continue;
      const std::vector<Observation>& observations = observations_.at(other);
      const std::uint64_t peak = state.peak_per_1000s / 1000;
      const std::uint64_t current = SentPerSecond(observations);
      others.spare_capacity += peak > current ? peak - current : 0;
      in_time += SumOf(&ZoneEvidence::in_time, observations);
      outcomes += SumOf(&ZoneEvidence::answered, observations) + SumOf(&ZoneEvidence::rejected, observations);
    }
    others.late =
        (outcomes - in_time) * kWholeShare > outcomes * static_cast<std::uint64_t>(config_.late_threshold);
    return others;
  }

  void UpdateShare(ZoneState& zone, bool locally_reachable) {
    if (IsInUse(zone.phase)) {
      zone.retained = false;
      zone.shifted = 0;
    }
    if (zone.retained && !locally_reachable) {
      zone.retained = false;
      zone.share = 0;
    }
    const bool use_own_view = isolated_ || !HasReportsOfOthers() || zone.retained;
    RampShare(zone, TargetShare(zone, use_own_view, config_), config_, now_);
  }

  bool HasReportsOfOthers() const {
    return std::any_of(recent_.begin(), recent_.end(), [&](const EvidenceReport* report) {
      return report->owner.name != members_.local.name;
    });
  }

  const std::vector<OperatorOverride>& overrides_;
  const MemberList& members_;
  const FailoverConfig& config_;
  const TimePoint now_;
  const std::vector<const EvidenceReport*> recent_;
  const bool isolated_;
  // By zone name.
  ZoneStates states_;
  std::map<std::string, std::vector<Observation>> observations_;
  std::map<std::string, VoteCounts> votes_;
};

}  // namespace

ZoneStates Decide(const ZoneStates& previous, const std::vector<std::string>& zones,
                  const std::vector<EvidenceReport>& reports, const std::vector<OperatorOverride>& overrides,
                  const MemberList& members, const FailoverConfig& config, TimePoint now) {
  return DecisionRound(reports, overrides, members, config, now).Run(previous, zones);
}

ZoneStates InitialState(const std::vector<std::string>& zones, const std::vector<EvidenceReport>& reports,
                        TimePoint now) {
  const auto reports_of_any_age = RecentReports(reports, Duration::max());
  ZoneStates states;
  for (const std::string& name : zones) {
    ZoneState& zone = states[name];
    zone.since = zone.share_updated = zone.drain_started = now;
    const auto observations = ObservationsOf(IdOf(name), reports_of_any_age);
    const auto majority = MajorityState(observations, observations.size());
    if (!majority) continue;
    AdoptState(zone, *majority, now);
    if (IsDrainingOrDrained(zone.phase)) zone.shifted = kWholeShare;
    // The share of a zone that is not in use starts at 0. That of a recovering zone then rises with the ramp.
    if (!IsInUse(zone.phase)) zone.share = 0;
  }
  return states;
}

}  // namespace mothrack::zone_failover
