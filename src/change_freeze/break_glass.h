// Break-glass: how an operator overrides a freeze at one agent, for one change and for a limited time, also
// while nobody leads. Operators may, viewers may not (MayBreakGlass). Each override is on the agent's disk
// before it counts, and is reported until the leader has it in its committed state.
//
// The agent's side is AgentPermits::BreakGlass, the leader's FreezeState::RecordBreakGlass. Plain values; any
// thread.
#pragma once

#include <cstdint>
#include <string>

#include "change_freeze/clock_tolerance.h"

namespace mothrack::change_freeze {

// How long an override counts, or until its agent is started anew. One rolling change takes as long at most;
// after it, somebody has to want it again.
inline constexpr Duration kBreakGlassDuration{600'000};

enum class OperatorRole : std::uint8_t {
  kViewer,    // may look only
  kOperator,  // may change the fleet
};
constexpr bool MayBreakGlass(OperatorRole role) { return role == OperatorRole::kOperator; }

struct BreakGlassRequest {
  std::string change{};
  std::string operator_name{};
  OperatorRole role = OperatorRole::kViewer;
  std::string reason{};  // cut to kMaxTextBytes
};

// What is kept of an override, at the agent and in the replicated state.
struct BreakGlassRecord {
  std::uint64_t number = 0;  // counts this agent's overrides, from 1
  std::string agent{};
  std::string change{};
  std::string operator_name{};
  std::string reason{};
  bool operator==(const BreakGlassRecord&) const = default;
};

}  // namespace mothrack::change_freeze
