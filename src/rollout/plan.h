// What a change is to do, in which order. Made once, and then the same wherever the change is carried on.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "rollout/types.h"

namespace mothrack::rollout {

// An instance that a change touches.
struct Target {
  InstanceName name;
  std::string hall;  // the data hall of its machine
  std::string from;  // generation that it has when the plan is made: an undo goes back to it
  std::string to;    // generation that it is to get; the same as `from` for a mere restart
  bool operator==(const Target&) const = default;
};

// What a failed step or gate leads to.
enum class OnFailure { kHold, kRollBack };

// Bounds that a change keeps, and when it counts as failed.
struct Policy {
  std::size_t max_unavailable = 1;  // instances that are down at once for the change's sake, in one hall
  bool canary = true;               // the first instance goes alone
  OnFailure on_failure = OnFailure::kHold;
  Duration step_timeout{60'000};        // for a batch's steps to end
  Duration watch_interval{2'000};       // for which a batch must be healthy after its steps
  Duration unreachable_timeout{5'000};  // without a report from an agent that is needed
  // While it is watched, an instance's share of rejected and failed requests may exceed the share before the
  // change by so much (0 to 1). Fewer requests than `min_requests` are no evidence.
  double max_failure_increase = 0.05;
  std::uint64_t min_requests = 20;
  bool operator==(const Policy&) const = default;
};

// A change: who makes it and why, and what it does to which instances.
struct Plan {
  std::string id;
  std::string who;
  std::string why;
  StepKind kind = StepKind::kRestart;  // kStop: of instances of one hall only
  std::vector<Target> targets;
  Policy policy;
  bool operator==(const Plan&) const = default;
};

// What is wrong with a plan, with the mend; nothing where it can be carried out.
std::optional<std::string> ValidatePlan(const Plan& plan);

// The targets' indices in the order in which they go: the canary, then hall by hall, in the order in which
// halls are first named, at most `max_unavailable` at once. No batch has targets of two halls.
std::vector<std::vector<std::size_t>> SplitIntoBatches(const Plan& plan);

}  // namespace mothrack::rollout
