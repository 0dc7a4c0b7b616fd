// Zone health: which zones have stopped answering altogether.
//
// Guards against the loss of a zone, which a sidecar among many would otherwise find out once for each of the
// zone's upstreams. A zone is unavailable once several of its upstreams were silent and none of the zone has
// answered since. One probe at a time then tells when it is back.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>

#include "balancer/balancer.h"

namespace mothrack::balancer {

// Upstreams that were silent, with no answer from their zone since, to take the zone for unavailable.
inline constexpr std::size_t kUnresponsiveToLoseZone = 3;

class ZoneHealth {
 public:
  // Asked of every upstream for every request, and nearly always false.
  bool IsUnavailable(const std::string& zone) const {
    if (unavailable_zones_ == 0) return false;
    const auto it = zones_.find(zone);
    return it != zones_.end() && it->second.IsUnavailable();
  }

  // Whether a half-open probe may go to an upstream of it: any time while the zone is available.
  bool MayProbe(const std::string& zone, TimePoint now) const {
    return !IsUnavailable(zone) || now >= zones_.find(zone)->second.next_probe;
  }

  // An answer says that its zone is there.
  void RecordAnswer(const std::string& zone, TimePoint now);
  // No answer to an attempt sent after the zone's last answer may say that the zone is not there.
  void RecordSilence(const std::string& zone, const UpstreamId& upstream, TimePoint sent);
  // A probe is under way; no other one is sent to the zone before `next_probe`.
  void RecordProbe(const std::string& zone, TimePoint next_probe);
  // A process that has just started says nothing of what the zone's silent ones did.
  void RecordNewProcess(const std::string& zone);
  // Forgets the zones that no listed upstream is in.
  template <typename IsListed>  // bool(const std::string& zone)
  void KeepOnly(const IsListed& is_listed) {
    std::erase_if(zones_, [&](const auto& zone) { return !is_listed(zone.first); });
    CountUnavailable();
  }

 private:
  struct Zone {
    bool IsUnavailable() const { return unresponsive.size() >= kUnresponsiveToLoseZone; }

    std::set<std::string>
        unresponsive;    // ids of upstreams that did not answer an attempt sent since `answered`
    TimePoint answered;  // the last answer from the zone
    TimePoint next_probe;
  };

  void CountUnavailable();

  std::map<std::string, Zone> zones_;
  std::ptrdiff_t unavailable_zones_ = 0;
};

}  // namespace mothrack::balancer
