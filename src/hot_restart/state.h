// The state that a successor takes over, as versioned JSON, and the file that keeps the bans for a process
// that starts when its predecessor no longer runs.
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

// The version of the JSON, raised with each change that an earlier version of the program would misinterpret.
// A state of another version is ignored completely.
inline constexpr int kVersion = 1;

// The state that must survive the replacement of the serving process.
struct State {
  std::set<std::string> bans;            // uids of upstreams that an operator banned
  std::vector<std::string> request_ids;  // ids of requests that must not be accepted again
  bool quiescing = false;                // an operator's command to accept no new clients is in force
  std::size_t sockets = 0;               // number of descriptors that the serving process still uses
  // When the upstreams' processes started, on this machine's steady clock, and when the last endpoint list
  // was read. Both are absent in the state of an earlier version of the program.
  std::vector<dispatch::ProcessStart> starts;
  std::optional<runtime::TimePoint> last_list;
};

nlohmann::json ToJson(const State& state);
// Throws std::runtime_error, with the reason, if the JSON is not a state of this version.
State FromJson(const nlohmann::json& json);

// Replaces `file` atomically and blocks until it is on disk. Returns the error, or nothing on success.
std::optional<std::string> WriteBans(const std::string& file, const std::set<std::string>& bans);
// Returns an empty set if there is no such file. A file that is unreadable, truncated or of another version
// is logged and ignored completely.
std::set<std::string> ReadBans(const std::string& file, runtime::Logger& log);

}  // namespace mothrack::hot_restart
