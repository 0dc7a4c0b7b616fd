#include "zone_failover/traffic_plan.h"

#include <algorithm>
#include <cstddef>
#include <tuple>

#include "zone_failover/fair_share.h"

namespace mothrack::zone_failover {
namespace {

// One probe per second and member. With three probing members a zone's recovery is detected soon enough, and
// no upstream is overloaded.
constexpr std::uint32_t kProbesPer1000s = 1000;
constexpr std::uint64_t kWindowsPer1000s = 1'000'000 / kWindow.count();

// Order in which members are chosen to probe a zone: those outside the zone first, then by a hash of name and
// generation. So different members probe in each generation, without any coordination.
struct ProbeRank {
  bool inside;
  std::uint64_t hash;
  std::string name;
  bool operator<(const ProbeRank& other) const {
    return std::tie(inside, hash, name) < std::tie(other.inside, other.hash, other.name);
  }
};

bool IsProbing(const std::string& zone, std::uint32_t generation, const MemberList& members,
               const FailoverConfig& config) {
  const std::uint64_t seed = Hash(zone, Hash(std::to_string(generation)));
  const auto rank = [&](const MemberId& member) {
    return ProbeRank{member.zone == zone, Hash(member.name, seed), member.name};
  };
  const ProbeRank own = rank(members.local);
  const auto ranked_before = std::count_if(members.live.begin(), members.live.end(),
                                           [&](const MemberId& member) { return rank(member) < own; });
  return static_cast<std::size_t>(ranked_before) < config.probing_members;
}

// Calls of each member to all zones, per 1000 s.
struct Needs {
  std::vector<std::uint64_t> by_member;
  std::uint64_t own = 0;
};

// A member's need in any zone is estimated by all calls that it sends. Live members without recent evidence
// count as the mean of the others, so that the allowance that they may need is not assigned to other members.
Needs NeedsOf(const std::vector<EvidenceReport>& reports, const MemberList& members,
              const FailoverConfig& config) {
  Needs needs;
  std::uint64_t total = 0;
  for (const EvidenceReport* report : RecentReports(reports, config.max_evidence_age)) {
    std::uint64_t sent = 0;
    for (const ZoneEvidence& zone : report->evidence->zones) sent += zone.sent;
    const std::uint64_t need = sent * kWindowsPer1000s;
    needs.by_member.push_back(need);
    total += need;
    if (report->owner.name == members.local.name) needs.own = need;
  }
  const std::size_t reporting = needs.by_member.size();
  if (reporting > 0 && reporting < members.live.size())
    needs.by_member.resize(members.live.size(), total / reporting);
  return needs;
}

// This member's part of the calls that all members together may send to the zone's upstreams at the start of
// their slow start.
std::uint32_t SlowStartAllowance(const ZoneState& zone, const Needs& needs, const FailoverConfig& config) {
  const std::uint64_t fleet_allowance =
      zone.peak_per_1000s * static_cast<std::uint64_t>(config.slow_start_share) / kWholeShare;
  const std::uint64_t own = std::min(needs.own, FairShareLevel(needs.by_member, fleet_allowance));
  return static_cast<std::uint32_t>(std::min<std::uint64_t>(own, UINT32_MAX));
}

// The share of the fleet's load that no zone serves, in thousandths. A zone that an operator drained still
// serves the load that the others do not take.
int ShareToShed(const ZoneStates& states) {
  std::uint64_t load = 0;
  std::uint64_t unserved = 0;
  for (const auto& [name, zone] : states) {
    load += zone.baseline_load;
    if (zone.by_operator || IsInUse(zone.phase)) continue;
    const int unserved_share = std::max(0, kWholeShare - zone.shifted - zone.share);
    unserved += static_cast<std::uint64_t>(zone.baseline_load) * static_cast<std::uint64_t>(unserved_share) /
                kWholeShare;
  }
  return load == 0 ? 0 : static_cast<int>(unserved * kWholeShare / load);
}

}  // namespace

TrafficPlan TrafficPlanFor(const ZoneStates& states, const std::vector<EvidenceReport>& reports,
                           const MemberList& members, const FailoverConfig& config, TimePoint now,
                           std::optional<TimePoint> started) {
  TrafficPlan plan;
  plan.valid_for = config.max_evidence_age;
  plan.shed = ShareToShed(states);
  // Only if the member's own zone has upstreams; otherwise it would send nothing at all.
  const bool cautious =
      started && states.contains(members.local.zone) && now - *started < config.cautious_start;
  const Needs needs = NeedsOf(reports, members, config);
  for (const auto& [name, zone] : states) {
    ZoneShare share;
    share.zone = name;
    share.share = zone.share;
    share.generation = zone.generation;
    share.slow_start_per_1000s = SlowStartAllowance(zone, needs, config);
    const bool cautious_here = cautious && name != members.local.zone;
    if (cautious_here) share.share = 0;
    const bool probe_drained = IsDrainingOrDrained(zone.phase) && !zone.by_operator &&
                               IsProbing(name, zone.generation, members, config);
    if (cautious_here || probe_drained) share.probes_per_1000s = kProbesPer1000s;
    plan.zones.push_back(share);
  }
  return plan;
}

}  // namespace mothrack::zone_failover
