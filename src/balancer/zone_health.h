// Zone health: detects zones of which no upstream answers.
//
// Guards against the loss of a zone, which a sidecar would otherwise detect separately for each upstream of
// the zone. A zone is unavailable once several of its upstreams did not answer and none of the zone has
// answered since. One half-open probe at a time then detects its return.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>

#include "balancer/balancer.h"

namespace mothrack::balancer {

// A zone is unavailable once this many of its upstreams are unresponsive and none of it has answered since.
inline constexpr std::size_t kUnresponsiveToLoseZone = 3;

class ZoneHealth {
 public:
  // Whether no upstream of the zone answers. Returns early, since it is called for every upstream on every
  // request and is nearly always false.
  bool IsUnavailable(const std::string& zone) const {
    if (unavailable_zones_ == 0) return false;
    const auto it = zones_.find(zone);
    return it != zones_.end() && it->second.IsUnavailable();
  }

  // Whether a half-open probe may be sent to an upstream of the zone; always while the zone is available.
  bool MayProbe(const std::string& zone, TimePoint now) const {
    return !IsUnavailable(zone) || now >= zones_.find(zone)->second.next_probe;
  }

  // An upstream of the zone answered.
  void RecordAnswer(const std::string& zone, TimePoint now);
  // An attempt was not answered; it counts only if it was sent after the zone's last answer.
  void RecordUnanswered(const std::string& zone, const UpstreamId& upstream, TimePoint sent);
  // A probe was sent; the next one may not be sent before `next_probe`.
  void RecordProbe(const std::string& zone, TimePoint next_probe);
  // A new process started in the zone: the upstreams that did not answer are forgotten.
  void RecordNewProcess(const std::string& zone);
  // Removes the zones without a listed upstream.
  template <typename IsListed>  // bool(const std::string& zone)
  void KeepOnly(const IsListed& is_listed) {
    std::erase_if(zones_, [&](const auto& zone) { return !is_listed(zone.first); });
    CountUnavailable();
  }

 private:
  struct Zone {
    bool IsUnavailable() const { return unresponsive.size() >= kUnresponsiveToLoseZone; }

    // Ids of the upstreams that did not answer an attempt sent since `answered`.
    std::set<std::string> unresponsive;
    TimePoint answered;  // the last answer from the zone
    TimePoint next_probe;
  };

  void CountUnavailable();

  std::map<std::string, Zone> zones_;
  std::ptrdiff_t unavailable_zones_ = 0;
};

}  // namespace mothrack::balancer
