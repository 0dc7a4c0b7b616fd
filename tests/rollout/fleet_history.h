// Simulated histories of a fleet, in one thread and in simulated time: the real agents (src/agent/agent.h)
// with fake stores and processes, the real claims and changes in fake tools, and the messages between them.
// All of these fail, at times drawn from a seed or at points named by a script.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "rollout/change.h"

namespace mothrack::rollout::testing {

struct History {
  std::string violation;  // the first broken rule, with its time; empty if there is none
  // How the last change ended, followed by counts of events. Sums of the counts show what the histories
  // cover.
  std::string end;
  int changes = 0;
  int agent_crashes = 0;
  int tool_crashes = 0;
  int rejected_claims = 0;
  int fenced = 0;
  int rolled_back = 0;
  int aborted = 0;
  int saves_failed = 0;
  int repeated_starts = 0;  // starts for a step whose earlier process has exited
  // Counted only in a run with a script: the points at which an agent may crash (before and after each
  // durable write and each action), and the commands sent by the first operator.
  int crash_points = 0;
  int commands = 0;
};

// Runs the history of a seed. The same seed gives the same history.
History RunHistory(std::uint64_t seed);

// Faults of a run that makes one change to all instances and has no other faults. A second operator finishes
// the change if the first one does not.
struct Script {
  std::vector<int> agent_crashes_at{};  // numbers of crash points, counted over all agents
  int tool_crashes_at = -1;             // number of the first operator's command; -1: never
  // Whether a holder that finds the change open resumes it or undoes it.
  Change::Direction second_direction = Change::Direction::kForward;
};
// Runs a script. Only the delays are drawn from the seed.
History RunHistory(std::uint64_t seed, const Script& script);

}  // namespace mothrack::rollout::testing
