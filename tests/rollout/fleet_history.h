// A fleet in one thread and in simulated time: the program's own agents (src/agent/agent.h) over fake stores
// and processes, its own claims and changes in fake tools, and the messages between them. All of these fail,
// at moments drawn from one seed or at one that a script names.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "rollout/change.h"

namespace mothrack::rollout::testing {

struct History {
  std::string violation;  // of a rule, with the moment; empty: none
  // How the last change ended, and what happened on the way: the sums show what the histories reach.
  std::string end;
  int changes = 0;
  int agent_deaths = 0;
  int tool_deaths = 0;
  int refused_claims = 0;
  int fenced = 0;
  int undone = 0;
  int aborted = 0;
  int saves_failed = 0;
  int started_again = 0;  // for a step that had a process already, after that one's end
  // Of a script: places where an agent may die (before and after each durable step and each action), and
  // commands that the first operator sent.
  int points = 0;
  int commands = 0;
};

// One history. The same seed gives the same one.
History Play(std::uint64_t seed);

// One change to all, and no other fault than these. A second operator finishes what the first leaves.
struct Script {
  std::vector<int> agent_dies_at{};  // at these places of History::points, counted over all agents
  int tool_dies_at = -1;             // after this one of History::commands; -1: never
  Change::Direction then = Change::Direction::kForward;
};
// The seed draws the delays.
History Play(std::uint64_t seed, const Script& script);

}  // namespace mothrack::rollout::testing
