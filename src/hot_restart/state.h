// The state that a successor takes over, as JSON of a stated version; and the file in which bans outlive a
// process that can't be asked any more.
#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dispatch/start_times.h"
#include "runtime/log.h"

namespace mothrack::hot_restart {

// Raised with each change that an earlier program would misread. A state of another version is ignored whole.
inline constexpr int kVersion = 1;

// What must hold across the change of processes.
struct State {
  std::set<std::string> bans;    // upstreams taken out by hand
  std::vector<std::string> ids;  // of requests that must not be accepted again
  bool quiescing = false;        // accepts no new clients, by an operator's command
  std::size_t sockets = 0;       // descriptors that the serving process keeps
  // When upstreams' processes started, on this machine's steady clock, and when the last list was read.
  // Optional: a state without them is an earlier program's.
  std::vector<dispatch::ProcessStart> starts;
  std::optional<runtime::TimePoint> last_list;
};

nlohmann::json ToJson(const State& state);
// Throws std::runtime_error, which says what is wrong with the JSON.
State FromJson(const nlohmann::json& json);

// Replaces `file` whole or not at all; it is on disk when this returns nothing, else this returns what went
// wrong. Waits for the disk.
std::optional<std::string> WriteBans(const std::string& file, const std::set<std::string>& bans);
// None where there is no such file; one that can't be read, is cut short or of another version is logged and
// ignored whole.
std::set<std::string> ReadBans(const std::string& file, runtime::Logger& log);

}  // namespace mothrack::hot_restart
