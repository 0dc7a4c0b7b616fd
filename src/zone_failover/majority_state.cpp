#include "zone_failover/majority_state.h"

#include <algorithm>
#include <cstdint>
#include <tuple>

namespace mothrack::zone_failover {
namespace {

// A state that is less favourable to the zone ranks higher: a later step of a drain, an earlier step of a
// recovery. There are at most 15 steps.
int Severity(Phase phase, int step) {
  switch (phase) {
    case Phase::kDrained:
      return 300;
    case Phase::kDraining:
      return 200 + step;
    case Phase::kRecovering:
      return 100 - step;
    case Phase::kActive:
    case Phase::kSuspect:
      return 0;
  }
  return 0;
}

// The position of a state in the order of a zone's states: its fields are compared one after the other.
struct StateRank {
  std::uint32_t generation;
  int severity;
  int phase;  // distinguishes phases of equal severity; both phases in use have the same number
  bool operator==(const StateRank&) const = default;
  bool operator<(const StateRank& other) const {
    return std::tie(generation, severity, phase) < std::tie(other.generation, other.severity, other.phase);
  }
};

StateRank RankOf(Phase phase, int step, std::uint32_t generation) {
  return {generation, Severity(phase, step), IsInUse(phase) ? 0 : static_cast<int>(phase)};
}
StateRank RankOf(const ReportedState& state) { return RankOf(state.phase, state.step, state.generation); }

bool RanksHigher(const ReportedState& a, const ReportedState& b) {
  const StateRank rank_a = RankOf(a);
  const StateRank rank_b = RankOf(b);
  if (rank_a != rank_b) return rank_b < rank_a;
  if (a.losses != b.losses) return a.losses > b.losses;
  return a.age_quarters > b.age_quarters;
}

// The state with its current age, including the time since it was sent.
ReportedState WithCurrentAge(const Observation& observation) {
  ReportedState state = observation.evidence->reported;
  state.age_quarters = static_cast<std::uint16_t>(
      std::min<std::int64_t>(state.age_quarters + observation.report->age / kReportedAgeUnit, kMaxCount));
  return state;
}

}  // namespace

std::optional<ReportedState> MajorityState(const std::vector<Observation>& observations,
                                           std::size_t members) {
  if (observations.size() <= members / 2) return std::nullopt;
  std::vector<ReportedState> states;
  states.reserve(observations.size());
  for (const Observation& observation : observations) states.push_back(WithCurrentAge(observation));
  const auto majority = states.begin() + static_cast<std::ptrdiff_t>(members / 2);
  std::nth_element(states.begin(), majority, states.end(), RanksHigher);
  return *majority;
}

bool IsLater(const ReportedState& reported, const ZoneState& zone) {
  return RankOf(zone.phase, zone.step, zone.generation) < RankOf(reported);
}

void AdoptState(ZoneState& zone, const ReportedState& reported, TimePoint now) {
  zone.phase = reported.phase == Phase::kSuspect ? Phase::kActive : reported.phase;
  zone.step = reported.step;
  zone.generation = reported.generation;
  zone.losses = reported.losses;
  zone.since = now - reported.age_quarters * kReportedAgeUnit;
  zone.drain_started = zone.since;
}

}  // namespace mothrack::zone_failover
