#include "zone_failover/conditions.h"

#include <array>
#include <optional>

#include "zone_failover/recovery.h"

namespace mothrack::zone_failover {
namespace {

std::optional<Condition> CheckIsolation(const ConditionInput& input, const FailoverConfig& /*config*/) {
  if (!input.isolated) return std::nullopt;
  return Condition::kIsolated;
}

std::optional<Condition> CheckOverride(const ConditionInput& input, const FailoverConfig& /*config*/) {
  if (input.effective_override == nullptr) return std::nullopt;
  switch (input.effective_override->kind) {
    case OverrideKind::kDrain:
      return input.has_alternative || IsDrainingOrDrained(input.zone.phase) ? Condition::kOverrideDrain
                                                                            : Condition::kNoAlternative;
    case OverrideKind::kHold:
      return Condition::kOverrideHold;
    case OverrideKind::kRecover:
      if (input.effective_override->number <= input.zone.applied_override) return std::nullopt;
      return Condition::kOverrideRecover;
  }
  return std::nullopt;
}

// Whether the zone is more likely overloaded, like the others, than unavailable. Members whose attempts end
// at their latency objective cannot distinguish the two, but an unavailable zone answers no judge at all.
bool IsGeneralOverload(const ConditionInput& input) {
  return input.others_late && input.votes.unresponsive_weight < input.votes.total_weight;
}

std::optional<Condition> CheckQuorum(const ConditionInput& input, const FailoverConfig& config) {
  if (!HasQuorum(input.votes, config)) return std::nullopt;
  if (!input.has_alternative) return Condition::kNoAlternative;
  return IsGeneralOverload(input) ? Condition::kOverload : Condition::kUnavailable;
}

std::optional<Condition> CheckDoubt(const ConditionInput& input, const FailoverConfig& config) {
  if (!IsDoubtful(input.votes, config) || IsGeneralOverload(input)) return std::nullopt;
  return Condition::kDoubtful;
}

std::optional<Condition> CheckEvidence(const ConditionInput& input, const FailoverConfig& /*config*/) {
  if (input.votes.total_weight > 0) return std::nullopt;
  return Condition::kNoEvidence;
}

std::optional<Condition> CheckRecovery(const ConditionInput& input, const FailoverConfig& config) {
  if (!IsRecoveryProven(input.zone, input.votes, input.live_members, config, input.now)) return std::nullopt;
  return Condition::kRecoveryProven;
}

using Rule = std::optional<Condition> (*)(const ConditionInput&, const FailoverConfig&);
constexpr std::array<Rule, 6> kRulesInOrder = {CheckIsolation, CheckOverride, CheckQuorum,
                                               CheckDoubt,     CheckEvidence, CheckRecovery};

}  // namespace

Condition ConditionOf(const ConditionInput& input, const FailoverConfig& config) {
  for (const Rule rule : kRulesInOrder) {
    if (const auto condition = rule(input, config)) return *condition;
  }
  return Condition::kHealthy;
}

}  // namespace mothrack::zone_failover
