// The notifications between two processes of one sidecar while both run, and their form on the link (link.h):
// one JSON object per line. A process ignores unknown keys, so that later versions may add some.
#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace mothrack::hot_restart {

// Keys of the lines that control the hot restart itself.
inline constexpr const char* kTakeOverKey = "takeover";  // the successor's request; the value is its kVersion
inline constexpr const char* kBusyKey = "busy";          // the reply while another successor is starting
inline constexpr const char* kReadyKey = "ready";        // the successor accepts clients

// A change in one process that the other one must apply too. Usually only one member is set.
struct Update {
  std::optional<std::string> ban{};         // uid of an upstream, never empty
  std::optional<std::string> unban{};       // uid of an upstream, never empty
  std::optional<std::string> request_id{};  // id of a request that must not be accepted again, never empty
  std::optional<bool> quiesce{};            // true: accept no new clients; false: accept them again
  std::optional<std::size_t> sockets{};     // descriptors that the predecessor still uses
};

nlohmann::json ToJson(const Update& update);
// Members that are missing, empty or of the wrong type are left unset.
Update ParseUpdate(const nlohmann::json& line);

}  // namespace mothrack::hot_restart
