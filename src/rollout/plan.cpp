#include "rollout/plan.h"

#include <algorithm>
#include <set>

namespace mothrack::rollout {

std::optional<std::string> ValidatePlan(const Plan& plan) {
  if (plan.id.empty()) return "the change has no id";
  if (plan.who.empty()) return "the change names no operator; name who makes it";
  if (plan.targets.empty()) return "no instance is named; name at least one";
  if (plan.policy.max_unavailable == 0)
    return "max_unavailable is 0, so nothing can be changed; give 1 or more";
  std::set<InstanceName> names;
  for (const Target& target : plan.targets) {
    const std::string name = target.name.agent + '/' + target.name.instance;
    if (target.hall.empty()) return name + " has no hall; set it in the list of agents";
    if (!names.insert(target.name).second) return name + " is named twice; remove one of them";
    if (plan.kind == StepKind::kStop && target.hall != plan.targets.front().hall) {
      return name + " is in another hall than the first; stop instances of one hall at a time";
    }
  }
  return std::nullopt;
}

std::vector<std::vector<std::size_t>> SplitIntoBatches(const Plan& plan) {
  std::vector<std::string> halls;
  for (const Target& target : plan.targets) {
    if (std::find(halls.begin(), halls.end(), target.hall) == halls.end()) halls.push_back(target.hall);
  }
  std::vector<std::vector<std::size_t>> batches;
  for (const std::string& hall : halls) {
    bool has_room = false;  // in the last batch
    for (std::size_t i = 0; i < plan.targets.size(); ++i) {
      if (plan.targets[i].hall != hall) continue;
      const bool canary = batches.empty() && plan.policy.canary;
      if (!has_room) batches.emplace_back();
      batches.back().push_back(i);
      has_room = !canary && batches.back().size() < plan.policy.max_unavailable;
    }
  }
  return batches;
}

}  // namespace mothrack::rollout
