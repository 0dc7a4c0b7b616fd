// How much the replicated state may hold. All of it together stays below kMaxValueBytes (voter_record.h) in
// common use; a state that would exceed it is refused as a whole.
#pragma once

#include <cstddef>

namespace mothrack::change_freeze {

// Bytes of a cause, an owner, a reason or a name: small, so that kMaxIncidents of them stay far below
// kMaxValueBytes.
inline constexpr std::size_t kMaxTextBytes = 200;
// As many incidents can be told apart by people on call; a fleet with more is frozen as one.
inline constexpr std::size_t kMaxIncidents = 32;
// Names in an incident's scope; who needs more takes a wider kind of scope.
inline constexpr std::size_t kMaxScopeNames = 16;
// Permits at once, those that are ending included: most changes exclude each other.
inline constexpr std::size_t kMaxPermits = 16;
// Instances that a footprint may name; one with more is reduced to its sites.
inline constexpr std::size_t kMaxFootprintInstances = 256;
// Break-glass records in the replicated state; the oldest are dropped first.
inline constexpr std::size_t kMaxBreakGlassRecords = 32;
// Break-glass records of one agent that no leader has committed yet; more are refused, as they would be lost.
inline constexpr std::size_t kMaxUnreportedBreakGlass = 32;

}  // namespace mothrack::change_freeze
