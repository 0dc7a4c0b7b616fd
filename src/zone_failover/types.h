// Words that evidence and decision share. Pure: nothing here does I/O or reads a clock. A TimePoint is of one
// machine's steady clock and is never compared with another machine's.
#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>

namespace mothrack::zone_failover {

using Duration = std::chrono::milliseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// A zone's name as told: names of up to 64 bytes would not leave room for the figures. Two of a fleet's few
// zones with one id would be judged as one; HaveDistinctIds() in decision.h tells a fleet's names apart
// before they are used.
using ZoneId = std::uint32_t;

// FNV-1a: the same on every machine.
constexpr std::uint64_t Hash(std::string_view text, std::uint64_t from = 0xcbf29ce484222325) {
  for (const char c : text) from = (from ^ static_cast<unsigned char>(c)) * 0x100000001b3;
  return from;
}
constexpr ZoneId IdOf(std::string_view zone) {
  const std::uint64_t hash = Hash(zone);
  return static_cast<ZoneId>(hash ^ (hash >> 32));
}

enum class Phase : std::uint8_t {
  kActive,      // as the module likes
  kSuspect,     // the same, and watched
  kDraining,    // step by step the others take its load
  kDrained,     // trials only
  kRecovering,  // step k of n
};

// What a member tells of its own decision on a zone, for those that start anew or were cut off.
struct ReportedState {
  Phase phase = Phase::kActive;
  std::uint8_t step = 0;           // of kDraining and kRecovering
  std::uint8_t losses = 0;         // lately: how long it stays left goes by it
  std::uint32_t generation = 0;    // rises with each change of phase or step
  std::uint16_t age_quarters = 0;  // quarters of a second since then, at most kMaxCount
  bool operator==(const ReportedState&) const = default;
};

}  // namespace mothrack::zone_failover
