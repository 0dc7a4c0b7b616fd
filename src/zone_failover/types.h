// Vocabulary of the package: time, zone ids, shares, members of the fleet and the phases of a zone. Values
// only; nothing here does I/O or reads a clock.
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
// Of this machine's steady clock; never compared with another machine's.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// Shares are whole thousandths, so that every machine computes the same.
constexpr int kWholeShare = 1000;

// Hash of a zone's name, as sent to other members: names of up to 64 bytes would not leave room for the
// figures. Two zones with one id would be judged as one; HaveDistinctIds() finds that out before the names
// are used.
using ZoneId = std::uint32_t;

// FNV-1a, 64 bits: the same on every machine. `from` continues an earlier hash.
constexpr std::uint64_t Hash(std::string_view text, std::uint64_t from = 0xcbf29ce484222325) {
  for (const char c : text) from = (from ^ static_cast<unsigned char>(c)) * 0x100000001b3;
  return from;
}
constexpr ZoneId IdOf(std::string_view zone) {
  const std::uint64_t hash = Hash(zone);
  return static_cast<ZoneId>(hash ^ (hash >> 32));
}
// False where two different names have one id: then the fleet must not use this package's decisions.
bool HaveDistinctIds(const std::vector<std::string>& zones);

// The state of a zone at one member. docs/design/zone_failover.md calls them in, suspect, leaving, left,
// returning. The values are sent to other members.
enum class Phase : std::uint8_t {
  kActive,      // gets the traffic that the balancer gives it
  kSuspect,     // the same, while a quorum finds it unresponsive for the first time
  kDraining,    // the other zones take its load step by step
  kDrained,     // gets probes only
  kRecovering,  // gets a share that rises step by step
};

// Traffic goes there as usual.
constexpr bool IsInUse(Phase phase) { return phase == Phase::kActive || phase == Phase::kSuspect; }
// Traffic is being moved away or has been.
constexpr bool IsOut(Phase phase) { return phase == Phase::kDraining || phase == Phase::kDrained; }

// A member of the fleet and the zone that it runs in. Names are unique.
struct MemberId {
  std::string name, zone;
  auto operator<=>(const MemberId&) const = default;
};

// What this member knows of the fleet. It is itself in `live`, `zones` and `known_members`.
struct MemberList {
  MemberId local;
  std::vector<MemberId> live;
  std::set<std::string> zones;    // of all known members, those that are remembered as dead included
  std::size_t known_members = 0;  // live ones and those that are remembered as dead
};

// True where fewer than half of the known members are live: this member may be the one that is cut off.
bool IsIsolated(const MemberList& members);

}  // namespace mothrack::zone_failover
