#include "zone_failover/conditions.h"

#include <array>
#include <optional>

#include "zone_failover/recovery.h"

namespace mothrack::zone_failover {
namespace {

std::optional<Condition> JudgeIsolation(const ConditionInput& input, const FailoverConfig& /*config*/) {
  if (!input.isolated) return std::nullopt;
  return Condition::kIsolated;
}

std::optional<Condition> JudgeOverride(const ConditionInput& input, const FailoverConfig& /*config*/) {
  if (input.effective_override == nullptr) return std::nullopt;
  switch (input.effective_override->kind) {
    case OverrideKind::kDrain:
      return input.has_alternative || IsOut(input.zone.phase) ? Condition::kOverrideDrain
                                                              : Condition::kNoAlternative;
    case OverrideKind::kHold:
      return Condition::kOverrideHold;
    case OverrideKind::kRecover:
      if (input.effective_override->number <= input.zone.applied_override) return std::nullopt;
      return Condition::kOverrideRecover;
  }
  return std::nullopt;
}

// Members that give up at their latency objective cannot distinguish an overloaded zone from an unresponsive
// one. But an unavailable zone answers nobody at all.
bool IsOverloadEverywhere(const ConditionInput& input) {
  return input.others_late && input.votes.unresponsive_weight < input.votes.total_weight;
}

std::optional<Condition> JudgeQuorum(const ConditionInput& input, const FailoverConfig& config) {
  if (!HasQuorum(input.votes, config)) return std::nullopt;
  if (!input.has_alternative) return Condition::kNoAlternative;
  return IsOverloadEverywhere(input) ? Condition::kOverload : Condition::kUnavailable;
}

std::optional<Condition> JudgeDoubt(const ConditionInput& input, const FailoverConfig& config) {
  if (!IsDoubtful(input.votes, config) || IsOverloadEverywhere(input)) return std::nullopt;
  return Condition::kDoubtful;
}

std::optional<Condition> JudgeEvidence(const ConditionInput& input, const FailoverConfig& /*config*/) {
  if (input.votes.total_weight > 0) return std::nullopt;
  return Condition::kNoEvidence;
}

std::optional<Condition> JudgeRecovery(const ConditionInput& input, const FailoverConfig& config) {
  if (!IsRecoveryProven(input.zone, input.votes, input.live_members, config, input.now)) return std::nullopt;
  return Condition::kRecoveryProven;
}

using Rule = std::optional<Condition> (*)(const ConditionInput&, const FailoverConfig&);
constexpr std::array<Rule, 6> kRulesInOrder = {JudgeIsolation, JudgeOverride, JudgeQuorum,
                                               JudgeDoubt,     JudgeEvidence, JudgeRecovery};

}  // namespace

Condition ConditionOf(const ConditionInput& input, const FailoverConfig& config) {
  for (const Rule rule : kRulesInOrder) {
    if (const auto condition = rule(input, config)) return *condition;
  }
  return Condition::kHealthy;
}

}  // namespace mothrack::zone_failover
