#include "balancer/zone_health.h"

#include <algorithm>

namespace mothrack::balancer {

void ZoneHealth::RecordAnswer(const std::string& zone_name, TimePoint now) {
  Zone& zone = zones_[zone_name];
  if (zone.IsUnavailable()) --unavailable_zones_;
  zone.unresponsive.clear();
  zone.answered = now;
}

void ZoneHealth::RecordUnanswered(const std::string& zone_name, const UpstreamId& upstream, TimePoint sent) {
  Zone& zone = zones_[zone_name];
  if (sent < zone.answered || zone.IsUnavailable()) return;
  zone.unresponsive.insert(upstream.value);
  if (zone.IsUnavailable()) ++unavailable_zones_;
}

void ZoneHealth::RecordProbe(const std::string& zone, TimePoint next_probe) {
  zones_[zone].next_probe = next_probe;
}

void ZoneHealth::RecordNewProcess(const std::string& zone) {
  zones_[zone].unresponsive.clear();
  CountUnavailable();
}

void ZoneHealth::CountUnavailable() {
  unavailable_zones_ = std::count_if(zones_.begin(), zones_.end(),
                                     [](const auto& zone) { return zone.second.IsUnavailable(); });
}

}  // namespace mothrack::balancer
