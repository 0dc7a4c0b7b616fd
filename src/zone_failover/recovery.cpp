#include "zone_failover/recovery.h"

#include <algorithm>
#include <cstdint>

namespace mothrack::zone_failover {
namespace {

// Maximum time that counts for one change of a share, so that the product in RampShare() stays small after a
// pause.
constexpr Duration kMaxRampTime{10'000};

// In a zone with traffic, one call in ten may fail by chance. Of the probes, none may fail.
bool HasFewFailures(const VoteCounts& votes, bool probes_only) {
  return probes_only ? votes.answered == votes.outcomes : votes.answered * 10 >= votes.outcomes * 9;
}

}  // namespace

Duration DrainTimeOf(const ZoneState& zone, const FailoverConfig& config) {
  constexpr int kLossesBeforeBackoff = 2;
  Duration time = config.min_drain_time;
  for (int i = kLossesBeforeBackoff; i < zone.losses && time < config.max_drain_time; ++i) time *= 2;
  return std::min(time, config.max_drain_time);
}

bool IsRecoveryProven(const ZoneState& zone, const VoteCounts& votes, std::size_t live_members,
                      const FailoverConfig& config, TimePoint now) {
  const bool probes_only = IsDrainingOrDrained(zone.phase);
  const bool has_lasted = probes_only ? now - zone.drain_started >= DrainTimeOf(zone, config)
                                      : now - zone.since >= config.recovery_step_interval;
  const std::uint32_t successes = probes_only ? config.probe_successes : config.step_successes;
  const std::size_t judges = std::min(config.min_success_judges, std::max<std::size_t>(live_members, 1));
  return has_lasted && HasFewFailures(votes, probes_only) && votes.answered >= successes &&
         votes.answered_judges >= judges;
}

int TargetShare(const ZoneState& zone, bool use_own_view, const FailoverConfig& config) {
  if (use_own_view || IsInUse(zone.phase)) return kWholeShare;
  if (zone.phase == Phase::kRecovering) return kWholeShare * zone.step / config.recovery_steps;
  return zone.by_operator ? kWholeShare - zone.shifted : 0;
}

void RampShare(ZoneState& zone, int target, const FailoverConfig& config, TimePoint now) {
  constexpr int kMillisecondsPerSecond = 1000;
  const Duration since = std::min(now - zone.share_updated, kMaxRampTime);
  const int max_change = static_cast<int>(since.count() * config.share_ramp / kMillisecondsPerSecond);
  // The change would be less than one thousandth: let the time accumulate.
  if (max_change <= 0 && target != zone.share) return;
  zone.share = std::clamp(target, zone.share - max_change, zone.share + max_change);
  zone.share_updated = now;
}

}  // namespace mothrack::zone_failover
