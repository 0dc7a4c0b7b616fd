// The plan of a change: what it does, and in which order. A plan is made once and does not change when
// another holder resumes the change.
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
  std::string from;  // generation at the time of the plan; an undo returns to it
  std::string to;    // generation after the change; equal to `from` for a mere restart
  bool operator==(const Target&) const = default;
};

// The reaction to a failed step or gate.
enum class OnFailure { kHold, kRollBack };

// The limits that a change respects, and the criteria by which it counts as failed.
struct Policy {
  // Maximum number of instances, all in one hall, that are down at once because of the change.
  std::size_t max_unavailable = 1;
  bool canary = true;  // the first batch is a single instance
  OnFailure on_failure = OnFailure::kHold;
  Duration step_timeout{60'000};        // time limit for the steps of a batch
  Duration watch_interval{2'000};       // how long a batch must stay healthy after its steps
  Duration unreachable_timeout{5'000};  // maximum time without a report from an agent of the change
  // Maximum increase (0 to 1) of an instance's share of rejected and failed requests, from before its step to
  // the watch interval. Fewer than `min_requests` requests are not enough to judge by.
  double max_failure_increase = 0.05;
  std::uint64_t min_requests = 20;
  bool operator==(const Policy&) const = default;
};

// A change: who makes it and why, and what it does to which instances.
struct Plan {
  std::string id;
  std::string who;
  std::string why;
  StepKind kind = StepKind::kRestart;  // kStop is limited to the instances of one hall
  std::vector<Target> targets;
  Policy policy;
  bool operator==(const Plan&) const = default;
};

// Returns what is wrong with a plan and how to fix it, or std::nullopt if the plan can be carried out.
std::optional<std::string> ValidatePlan(const Plan& plan);

// Returns the batches of a plan as indices of its targets: the canary, then hall by hall in the order in
// which the targets first name the halls, each batch with at most `max_unavailable` targets. No batch spans
// two halls.
std::vector<std::vector<std::size_t>> SplitIntoBatches(const Plan& plan);

}  // namespace mothrack::rollout
