#include "zone_failover/zone_state.h"

#include <algorithm>
#include <chrono>

namespace mothrack::zone_failover {
namespace {

using std::chrono::seconds;

// The peak decays by 1/866 per second, so by half in ten minutes. By then the zone's machines, and with them
// its capacity, may have changed.
constexpr std::uint64_t kPeakDecayDivisor = 866;
constexpr std::uint64_t kWindowsPer1000s = 1'000'000 / kWindow.count();

// The median of the peaks that members report, per 1000 s. A single wrong or new member does not change it.
std::uint64_t MedianPeak(const std::vector<Observation>& observations) {
  std::vector<std::uint64_t> peaks;
  for (const Observation& observation : observations) {
    if (observation.evidence->peak_rate > 0) peaks.push_back(observation.evidence->peak_rate);
  }
  if (peaks.empty()) return 0;
  const auto middle = peaks.begin() + static_cast<std::ptrdiff_t>(peaks.size() / 2);
  std::nth_element(peaks.begin(), middle, peaks.end());
  return *middle * 1000;
}

}  // namespace

void EnterPhase(ZoneState& zone, Phase phase, int step, TimePoint now) {
  if (!(IsInUse(zone.phase) && IsInUse(phase))) ++zone.generation;
  zone.phase = phase;
  zone.step = step;
  zone.since = now;
}

ReportedState ReportedStateOf(const ZoneState& zone, TimePoint now) {
  constexpr int kMaxLosses = 255;  // one byte
  ReportedState reported;
  reported.phase = zone.phase;
  reported.step = static_cast<std::uint8_t>(zone.step);
  reported.losses = static_cast<std::uint8_t>(std::min(zone.losses, kMaxLosses));
  reported.generation = zone.generation;
  reported.age_quarters =
      static_cast<std::uint16_t>(std::min<std::int64_t>((now - zone.since) / kReportedAgeUnit, kMaxCount));
  return reported;
}

void UpdatePeak(ZoneState& zone, const std::vector<Observation>& observations, TimePoint now) {
  while (zone.peak_per_1000s > 0 && now - zone.peak_updated >= seconds(1)) {
    zone.peak_per_1000s -= zone.peak_per_1000s / kPeakDecayDivisor;
    zone.peak_updated += seconds(1);
  }
  if (zone.peak_per_1000s == 0) zone.peak_updated = now;
  const std::uint64_t current_rate = SumOf(&ZoneEvidence::in_time, observations) * kWindowsPer1000s;
  zone.peak_per_1000s = std::max(zone.peak_per_1000s, current_rate);
  // Only a member whose peak is much lower, such as a new one, adopts the peak of the others. If all members
  // adopted each other's peaks, no peak would ever decay.
  const std::uint64_t reported = MedianPeak(observations);
  if (zone.peak_per_1000s < reported * 3 / 4) zone.peak_per_1000s = reported;
}

std::uint64_t SentPerSecond(const std::vector<Observation>& observations) {
  return SumOf(&ZoneEvidence::sent, observations) * 1000 / kWindow.count();
}

}  // namespace mothrack::zone_failover
