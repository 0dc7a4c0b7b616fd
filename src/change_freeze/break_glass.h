// Break-glass: an operator overrides a freeze at one agent, for one change and for a limited time, even
// without a leader. Operators may do this, viewers may not (MayBreakGlass()). Each override is stored on the
// agent's disk before it takes effect, and is reported until it is in the leader's committed state.
//
// AgentPermits::BreakGlass is the agent's side, FreezeState::RecordBreakGlass the leader's. Plain values; any
// thread.
#pragma once

#include <cstdint>
#include <string>

#include "change_freeze/clock_tolerance.h"

namespace mothrack::change_freeze {

// How long an override is valid, unless its agent restarts earlier. A rolling change takes at most this long;
// afterwards an operator has to decide again.
inline constexpr Duration kBreakGlassDuration{600'000};

// The role of the caller.
enum class OperatorRole : std::uint8_t {
  kViewer,    // read-only
  kOperator,  // may change the fleet
};
constexpr bool MayBreakGlass(OperatorRole role) { return role == OperatorRole::kOperator; }

// An operator's request.
struct BreakGlassRequest {
  std::string change{};
  std::string operator_name{};
  OperatorRole role = OperatorRole::kViewer;
  std::string reason{};  // truncated to kMaxTextBytes
};

// The record of an override, stored at the agent and in the replicated state.
struct BreakGlassRecord {
  std::uint64_t number = 0;  // number of the override at this agent, from 1
  std::string agent{};
  std::string change{};
  std::string operator_name{};
  std::string reason{};
  bool operator==(const BreakGlassRecord&) const = default;
};

}  // namespace mothrack::change_freeze
