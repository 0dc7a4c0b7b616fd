// A fleet in one thread and in made-up time: agents with their disks, processes, tools and the messages
// between them, all of which fail at moments drawn from one seed. Only the decisions are the program's own.
#pragma once

#include <cstdint>
#include <string>

namespace mothrack::fleet::testing {

struct History {
  std::string violation;  // of a rule, with the moment; empty: none
  // How the last change ended, and what happened on the way: that the histories reach what they are meant to.
  std::string end;
  int changes = 0;
  int agent_deaths = 0;
  int tool_deaths = 0;
  int refused_claims = 0;
  int fenced = 0;
  int undone = 0;
  int aborted = 0;
  int saves_failed = 0;
};

// One history. The same seed gives the same one.
History Play(std::uint64_t seed);

}  // namespace mothrack::fleet::testing
