// Basic types of the package: time, zone ids, shares, members of the fleet and the phases of a zone. Plain
// values; nothing here does I/O or reads a clock.
#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace mothrack::zone_failover {

using Duration = std::chrono::milliseconds;
// A time on this machine's steady clock. It is never compared with another machine's time.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// Shares are integers in thousandths, so that every machine computes the same.
constexpr int kWholeShare = 1000;

// Hash of a zone's name, used in messages because names of up to 64 bytes would leave no space for the
// counts.
// Two zones with the same id would be treated as one; HaveDistinctIds() detects this before the names are
// used.
using ZoneId = std::uint32_t;

// FNV-1a with 64 bits: the same on every machine. `hash` is the hash to continue, by default FNV's offset
// basis.
constexpr std::uint64_t Hash(std::string_view text, std::uint64_t hash = 0xcbf29ce484222325) {
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3;
  return hash;
}
constexpr ZoneId IdOf(std::string_view zone) {
  const std::uint64_t hash = Hash(zone);
  return static_cast<ZoneId>(hash ^ (hash >> 32));
}
// Returns false if two different names have the same id. The fleet must not use this package's decisions
// then.
bool HaveDistinctIds(const std::vector<std::string>& zones);

// The phase of a zone at one member. docs/design/zone_failover.md calls them in, suspect, leaving, left,
// returning. The numbers are sent to other members.
enum class Phase : std::uint8_t {
  kActive,      // gets the traffic that the balancer assigns to it
  kSuspect,     // the same, after a quorum found it unresponsive for the first time
  kDraining,    // the other zones take over its load step by step
  kDrained,     // gets probes only
  kRecovering,  // gets a share that rises step by step
};

// Whether a zone in this phase gets its usual traffic.
constexpr bool IsInUse(Phase phase) { return phase == Phase::kActive || phase == Phase::kSuspect; }
// Whether traffic is being, or has been, moved away from a zone in this phase.
constexpr bool IsDrainingOrDrained(Phase phase) {
  return phase == Phase::kDraining || phase == Phase::kDrained;
}

// A member of the fleet and the zone in which it runs. Names are unique.
struct MemberId {
  std::string name, zone;
  auto operator<=>(const MemberId&) const = default;
};

// The fleet as far as this member knows it. `live`, `zones` and `known_members` include the member itself.
struct MemberList {
  MemberId local;
  std::vector<MemberId> live;
  std::set<std::string> zones;    // of all known members, including remembered dead ones
  std::size_t known_members = 0;  // live ones and remembered dead ones
};

// Whether fewer than half of the known members are live, so that this member itself may be cut off.
bool IsIsolated(const MemberList& members);

}  // namespace mothrack::zone_failover
