#include "zone_failover/evidence.h"

#include <algorithm>

namespace mothrack::zone_failover {
namespace {

// Most attempts of the window are unanswered: at least five, and at least four per response, even if the
// latest attempt got a response.
constexpr std::uint32_t kMinUnanswered = 5;
constexpr std::uint32_t kUnansweredPerResponse = 4;
// The length of an unanswered run, and the number of its upstreams, that find a zone unresponsive. A single
// attempt may fail by chance, and a single failed upstream does not mean that the zone failed.
constexpr std::uint16_t kUnresponsiveRun = 2;

}  // namespace

const ZoneEvidence* Evidence::Find(ZoneId zone) const {
  const auto it = std::find_if(zones.begin(), zones.end(),
                               [&](const ZoneEvidence& evidence) { return evidence.zone == zone; });
  return it == zones.end() ? nullptr : &*it;
}

Verdict VerdictOf(const ZoneEvidence& evidence) {
  const std::uint16_t upstreams = std::max<std::uint16_t>(evidence.upstreams, 1);
  if (evidence.unanswered_run >= kUnresponsiveRun &&
      evidence.run_upstreams >= std::min(kUnresponsiveRun, upstreams)) {
    return Verdict::kUnresponsive;
  }
  const std::uint32_t responses = evidence.answered + evidence.rejected;
  if (evidence.unanswered >= kMinUnanswered && evidence.unanswered >= kUnansweredPerResponse * responses) {
    return Verdict::kUnresponsive;
  }
  return responses > 0 ? Verdict::kResponsive : Verdict::kNone;
}

std::vector<const EvidenceReport*> RecentReports(const std::vector<EvidenceReport>& reports,
                                                 Duration max_age) {
  std::vector<const EvidenceReport*> recent;
  recent.reserve(reports.size());
  for (const EvidenceReport& report : reports) {
    if (report.evidence && report.age < max_age) recent.push_back(&report);
  }
  return recent;
}

std::vector<Observation> ObservationsOf(ZoneId zone, const std::vector<const EvidenceReport*>& recent) {
  std::vector<Observation> observations;
  observations.reserve(recent.size());
  for (const EvidenceReport* report : recent) {
    const ZoneEvidence* evidence = report->evidence->Find(zone);
    if (evidence != nullptr) observations.push_back({report, evidence, VerdictOf(*evidence)});
  }
  return observations;
}

std::uint64_t SumOf(std::uint16_t ZoneEvidence::*count, const std::vector<Observation>& observations) {
  std::uint64_t sum = 0;
  for (const Observation& observation : observations) sum += observation.evidence->*count;
  return sum;
}

}  // namespace mothrack::zone_failover
