#include "agent/sidecar_status.h"

#include <cstdint>
#include <string>

namespace mothrack::agent {

using nlohmann::json;

RequestCounts SumRequests(const json& body) {
  RequestCounts sum;
  for (const json& pool : body.value("pools", json::array())) {
    for (const json& row : pool.value("counters", json::array())) {
      sum.total += row.value("taken", std::uint64_t{0});
      for (const char* outcome : {"refused", "failed", "late"}) {
        sum.failed += row.value(outcome, std::uint64_t{0});
      }
    }
  }
  return sum;
}

std::optional<SidecarStatus> ParseSidecarStatus(const json& body, int pid) {
  if (!body.contains("process") || body["process"].value("pid", 0) != pid) return std::nullopt;
  const std::string state = body.value("state", "");
  return SidecarStatus{state == "ready", state == "draining"};
}

}  // namespace mothrack::agent
