#include "http/eviction_policy.h"

#include <chrono>

namespace mothrack::http {
namespace {

// Ordinary clients connect when they have a request to send. A client that has sent nothing, or has not
// completed its request, after these times is evicted before them.
constexpr runtime::Duration kNothingSentAfter = std::chrono::seconds(1);
constexpr runtime::Duration kSlowAfter = std::chrono::seconds(1);

}  // namespace

std::optional<EvictionRank> RankForEviction(const ConnectionActivity& activity) {
  switch (activity.phase) {
    case ConnectionActivity::Phase::kAwaitingClose:
      return EvictionRank::kAwaitingClose;
    case ConnectionActivity::Phase::kResponding:
      return std::nullopt;
    case ConnectionActivity::Phase::kReading:
      break;
  }
  if (activity.request_started) {
    return activity.age > kSlowAfter ? EvictionRank::kSlowRequest : EvictionRank::kRequestArriving;
  }
  if (activity.unused)
    return activity.age > kNothingSentAfter ? EvictionRank::kNothingSent : EvictionRank::kNew;
  return EvictionRank::kIdleReusable;
}

}  // namespace mothrack::http
