#include "zone_failover/state_machine.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace mothrack::zone_failover {
namespace {

constexpr std::size_t kPhases = 5;
constexpr std::size_t kConditions = 11;
using TransitionTable = std::array<std::array<Transition, kConditions>, kPhases>;

// One row per phase, one column per condition, in the order of the enums.
constexpr TransitionTable MakeTable() {
  // The names are short so that a row fits on two lines.
  constexpr auto keep = Action::kKeep, watch = Action::kWatch, drain = Action::kStartDrain,
                 shift = Action::kShiftMore, probe = Action::kProbe, start = Action::kStartRecovery,
                 up = Action::kStepUp, down = Action::kStepDown, abort = Action::kAbortRecovery;
  constexpr auto act = Phase::kActive, sus = Phase::kSuspect, drg = Phase::kDraining, drd = Phase::kDrained,
                 rec = Phase::kRecovering;
  // clang-format off
  return {{
      // isolated, drain, hold, recover, no alternative, overload; unavailable, doubtful, no evidence, proven,
      // healthy
      {{{act, keep}, {drg, drain}, {act, keep}, {act, keep}, {sus, watch}, {sus, watch},
        {sus, watch}, {sus, watch}, {act, keep}, {act, keep}, {act, keep}}},
      {{{sus, keep}, {drg, drain}, {act, keep}, {act, keep}, {sus, keep}, {sus, keep},
        {drg, drain}, {sus, keep}, {act, keep}, {act, keep}, {act, keep}}},
      {{{drg, keep}, {drg, shift}, {drg, keep}, {rec, start}, {drg, probe}, {drg, probe},
        {drg, shift}, {drg, shift}, {drg, shift}, {rec, start}, {drg, shift}}},
      {{{drd, keep}, {drd, keep}, {drd, keep}, {rec, start}, {drd, probe}, {drd, probe},
        {drd, probe}, {drd, probe}, {drd, probe}, {rec, start}, {drd, probe}}},
      {{{rec, keep}, {drg, drain}, {rec, keep}, {rec, keep}, {rec, keep}, {rec, keep},
        {drd, abort}, {rec, down}, {rec, keep}, {rec, up}, {rec, keep}}},
  }};
  // clang-format on
}

// Enters a step of the drain. If the entire load is shifted, the zone is drained instead.
void EnterDrain(ZoneState& zone, int step, TimePoint now) {
  const bool all_shifted = zone.shifted >= kWholeShare;
  EnterPhase(zone, all_shifted ? Phase::kDrained : Phase::kDraining, all_shifted ? 0 : step, now);
}

// Shifts at once as much of the load as the other zones are known to be able to take.
void StartDrain(ZoneState& zone, const TransitionInput& input, const FailoverConfig& config) {
  zone.by_operator = input.condition == Condition::kOverrideDrain;
  zone.retained = !zone.by_operator && input.locally_reachable;
  const std::uint64_t load = std::max<std::uint64_t>(zone.baseline_load, 1);
  zone.shifted = static_cast<int>(std::clamp<std::uint64_t>(input.spare_capacity * kWholeShare / load,
                                                            static_cast<std::uint64_t>(config.initial_shift),
                                                            kWholeShare));
  if (!zone.by_operator) {
    ++zone.losses;
    zone.share = 0;
  }
  zone.drain_started = input.now;
  EnterDrain(zone, 1, input.now);
}

void ShiftMore(ZoneState& zone, const TransitionInput& input, const FailoverConfig& config) {
  if (input.now - zone.since < config.shift_interval || input.others_late) return;
  zone.shifted = std::min(kWholeShare, zone.shifted + config.shift_step);
  EnterDrain(zone, zone.step + 1, input.now);
}

void StartRecovery(ZoneState& zone, const TransitionInput& input) {
  if (input.condition == Condition::kOverrideRecover) zone.applied_override = input.override_number;
  zone.by_operator = false;
  EnterPhase(zone, Phase::kRecovering, 1, input.now);
}

void AbortRecovery(ZoneState& zone, TimePoint now) {
  ++zone.losses;
  zone.drain_started = now;
  zone.share = 0;
  zone.shifted = kWholeShare;  // the other zones have carried it until now
  EnterPhase(zone, Phase::kDrained, 0, now);
}

void StepUp(ZoneState& zone, const FailoverConfig& config, TimePoint now) {
  if (zone.step >= config.recovery_steps) {
    EnterPhase(zone, Phase::kActive, 0, now);
  } else {
    EnterPhase(zone, Phase::kRecovering, zone.step + 1, now);
  }
}

void StepDown(ZoneState& zone, const FailoverConfig& config, TimePoint now) {
  if (zone.step <= 1) {
    AbortRecovery(zone, now);
  } else if (now - zone.since >= config.step_down_interval) {
    EnterPhase(zone, Phase::kRecovering, zone.step - 1, now);
  }
}

}  // namespace

Transition TransitionFor(Phase phase, Condition condition) {
  static constexpr TransitionTable kTable = MakeTable();
  return kTable.at(static_cast<std::size_t>(phase)).at(static_cast<std::size_t>(condition));
}

void ApplyTransition(ZoneState& zone, const TransitionInput& input, const FailoverConfig& config) {
  const Transition transition = TransitionFor(zone.phase, input.condition);
  switch (transition.action) {
    case Action::kKeep:
    case Action::kWatch:
      if (transition.to != zone.phase) EnterPhase(zone, transition.to, 0, input.now);
      return;
    case Action::kProbe:  // TrafficPlanFor() assigns the probes
      return;
    case Action::kStartDrain:
      return StartDrain(zone, input, config);
    case Action::kShiftMore:
      return ShiftMore(zone, input, config);
    case Action::kStartRecovery:
      return StartRecovery(zone, input);
    case Action::kStepUp:
      return StepUp(zone, config, input.now);
    case Action::kStepDown:
      return StepDown(zone, config, input.now);
    case Action::kAbortRecovery:
      return AbortRecovery(zone, input.now);
  }
}

}  // namespace mothrack::zone_failover
