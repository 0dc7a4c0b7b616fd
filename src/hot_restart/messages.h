// What two processes of one sidecar notify each other of while both run, and how it is written on their link
// (link.h): one JSON object a line. A process ignores keys that it does not know, so that a later program may
// add some.
#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace mothrack::hot_restart {

// Keys of the lines that are about the hot restart itself.
inline constexpr const char* kTakeOverKey = "takeover";  // the successor asks; the value is its kVersion
inline constexpr const char* kBusyKey = "busy";          // another successor gets ready: to be asked again
inline constexpr const char* kReadyKey = "ready";        // the successor accepts clients

// A change at one process that holds at the other, too. Usually one member is set.
struct Update {
  std::optional<std::string> ban{};      // uid of an upstream, never empty
  std::optional<std::string> unban{};    // the same
  std::optional<std::string> id{};       // of a request that must not be accepted again, never empty
  std::optional<bool> quiesce{};         // no new clients, or clients again
  std::optional<std::size_t> sockets{};  // descriptors that the predecessor still needs
};

nlohmann::json ToJson(const Update& update);
// What is missing, empty or of another type is left unset.
Update ParseUpdate(const nlohmann::json& line);

}  // namespace mothrack::hot_restart
