// Bounds of the replicated state. In ordinary use the whole state stays below kMaxValueBytes
// (voter_record.h); a change that would exceed it is rejected as a whole.
#pragma once

#include <cstddef>

namespace mothrack::change_freeze {

// Maximum size in bytes of a cause, an owner, a reason or a name: small, so that kMaxIncidents of them stay
// far below kMaxValueBytes.
inline constexpr std::size_t kMaxTextBytes = 200;
// Engineers on call cannot keep more incidents apart; a fleet with more should be frozen as a whole.
inline constexpr std::size_t kMaxIncidents = 32;
// Names in an incident's scope. If more are needed, use a wider kind of scope.
inline constexpr std::size_t kMaxScopeNames = 16;
// Permits at a time, including those that are ending. Most changes exclude each other.
inline constexpr std::size_t kMaxPermits = 16;
// Instances that a footprint may name. A larger footprint is reduced to its other sets, such as its sites.
inline constexpr std::size_t kMaxFootprintInstances = 256;
// Break-glass records in the replicated state. The oldest are dropped first.
inline constexpr std::size_t kMaxBreakGlassRecords = 32;
// Break-glass records of one agent that no leader has committed yet. Further ones are refused, because they
// would be lost.
inline constexpr std::size_t kMaxUnreportedBreakGlass = 32;

}  // namespace mothrack::change_freeze
