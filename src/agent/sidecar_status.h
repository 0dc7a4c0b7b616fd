// What a sidecar's admin API reports of itself, as far as its agent needs it.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>

#include "agent/agent.h"

namespace mothrack::agent {

// Of one sidecar process; both false while it starts.
struct SidecarStatus {
  bool ready = false;
  bool draining = false;
};

// Reads the body of GET /v1/status. Nothing where it is of another process than `pid`: a sidecar that was
// started beside it, or before. Throws nlohmann::json::exception where a known key is of the wrong type.
std::optional<SidecarStatus> ParseSidecarStatus(const nlohmann::json& body, int pid);

// Reads the counters of the same body: the sum over all pools. Throws as ParseSidecarStatus().
RequestCounts SumRequests(const nlohmann::json& body);

}  // namespace mothrack::agent
