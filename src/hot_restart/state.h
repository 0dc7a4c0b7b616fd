// The state that a successor takes over, as versioned JSON, and the file in which bans survive a process that
// can no longer be asked.
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

// Raised with each change that an earlier program would misinterpret. A state of another version is ignored
// as a whole.
inline constexpr int kVersion = 1;

// What must survive the change of processes.
struct State {
  std::set<std::string> bans;            // uids of upstreams that an operator took out
  std::vector<std::string> request_ids;  // of requests that must not be accepted again
  bool quiescing = false;                // an operator's command: accept no new clients
  std::size_t sockets = 0;               // descriptors that the serving process keeps
  // When the upstreams' processes started, on this machine's steady clock, and when the last list was read.
  // Optional: absent in the state of an earlier program.
  std::vector<dispatch::ProcessStart> starts;
  std::optional<runtime::TimePoint> last_list;
};

nlohmann::json ToJson(const State& state);
// Throws std::runtime_error, which says what is wrong with the JSON.
State FromJson(const nlohmann::json& json);

// Replaces `file` atomically. Returns nothing once the file is on disk, otherwise the error. Blocks until the
// disk has written it.
std::optional<std::string> WriteBans(const std::string& file, const std::set<std::string>& bans);
// Returns an empty set if there is no such file. A file that is unreadable, truncated or of another version
// is logged and ignored as a whole.
std::set<std::string> ReadBans(const std::string& file, runtime::Logger& log);

}  // namespace mothrack::hot_restart
