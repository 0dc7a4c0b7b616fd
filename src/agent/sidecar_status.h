// Parses the parts of a sidecar's admin status that its agent needs.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>

#include "agent/agent.h"

namespace mothrack::agent {

// The status of one sidecar process; both members are false while it starts.
struct SidecarStatus {
  bool ready = false;
  bool draining = false;
};

// Parses the body of GET /v1/status. Returns nullopt if another process than `pid` sent it, such as a former
// sidecar at the same address. Throws nlohmann::json::exception if a known key is of the wrong type.
std::optional<SidecarStatus> ParseSidecarStatus(const nlohmann::json& body, int pid);

// Sums the request counters of the same body over all pools. Throws like ParseSidecarStatus().
RequestCounts SumRequests(const nlohmann::json& body);

}  // namespace mothrack::agent
