#include "zone_failover/votes.h"

#include <algorithm>
#include <string_view>

#include "zone_failover/fair_share.h"

namespace mothrack::zone_failover {
namespace {

// A single member is never a quorum: its balancer already acts on the member's own observations.
constexpr std::size_t kMinFleetJudges = 2;

struct Judge {
  bool unresponsive;
  std::uint64_t weight;
};

// A set of zone names. There are few, so a linear search is faster than std::set.
class ZoneNames {
 public:
  void Add(std::string_view name) {
    if (std::find(names_.begin(), names_.end(), name) == names_.end()) names_.push_back(name);
  }
  std::size_t size() const { return names_.size(); }

 private:
  std::vector<std::string_view> names_;
};

// Whether the member gets responses from another zone. If not, the member may be cut off itself, or have
// another problem that is not the zone's.
bool GetsResponsesElsewhere(const Observation& observation) {
  const auto& zones = observation.report->evidence->zones;
  return std::any_of(zones.begin(), zones.end(), [&](const ZoneEvidence& evidence) {
    return evidence.zone != observation.evidence->zone && VerdictOf(evidence) == Verdict::kResponsive;
  });
}

void CountOutcomes(const ZoneEvidence& evidence, VoteCounts& votes) {
  votes.answered += evidence.answered;
  votes.outcomes += evidence.answered + evidence.rejected + evidence.unanswered;
  votes.answered_judges += evidence.answered > 0 ? 1 : 0;
}

void WeighJudges(const std::vector<Judge>& judges, const FailoverConfig& config, VoteCounts& votes) {
  std::vector<std::uint64_t> weights;
  weights.reserve(judges.size());
  for (const Judge& judge : judges) weights.push_back(judge.weight);
  const auto divisor = static_cast<std::uint64_t>(config.judge_weight_divisor);
  const std::uint64_t cap = std::max<std::uint64_t>(WeightCap(weights, divisor), 1);
  for (const Judge& judge : judges) {
    const std::uint64_t weight = std::min(judge.weight, cap);
    votes.total_weight += weight;
    if (judge.unresponsive) votes.unresponsive_weight += weight;
  }
}

// Compare part / total with a share in thousandths.
bool IsAtLeast(std::uint64_t part, std::uint64_t total, int share) {
  return part * kWholeShare >= total * static_cast<std::uint64_t>(share);
}
bool IsAtMost(std::uint64_t part, std::uint64_t total, int share) {
  return part * kWholeShare <= total * static_cast<std::uint64_t>(share);
}

}  // namespace

VoteCounts CountVotes(const std::string& zone, const std::vector<Observation>& observations,
                      const MemberList& members, const FailoverConfig& config) {
  const std::size_t zones_outside = members.zones.size() - members.zones.count(zone);
  const bool insiders_judge = zones_outside < config.min_judge_zones;
  VoteCounts votes;
  std::vector<Judge> judges;
  judges.reserve(observations.size());
  ZoneNames judge_zones;
  ZoneNames unresponsive_judge_zones;
  for (const Observation& observation : observations) {
    const MemberId& owner = observation.report->owner;
    if (observation.verdict == Verdict::kNone || (!insiders_judge && owner.zone == zone)) continue;
    const bool unresponsive = observation.verdict == Verdict::kUnresponsive;
    ++votes.witnesses;
    votes.unresponsive_witnesses += unresponsive ? 1 : 0;
    if (unresponsive && !GetsResponsesElsewhere(observation)) continue;
    judges.push_back({unresponsive, std::max<std::uint64_t>(observation.evidence->sent, 1)});
    judge_zones.Add(owner.zone);
    if (unresponsive) {
      ++votes.unresponsive_judges;
      unresponsive_judge_zones.Add(owner.zone);
    }
    CountOutcomes(*observation.evidence, votes);
  }
  votes.judges = judges.size();
  WeighJudges(judges, config, votes);

  // If fewer than `min_judges` members could judge, a quorum needs all of them: all live ones, not only those
  // that happen to have a verdict.
  const auto possible = static_cast<std::size_t>(
      std::count_if(members.live.begin(), members.live.end(),
                    [&](const MemberId& member) { return insiders_judge || member.zone != zone; }));
  // Judges of a single zone suffice if the fleet has too few zones for more, and if more than half of all
  // known members are live.
  const bool one_zone_suffices =
      insiders_judge && judge_zones.size() == 1 && members.live.size() * 2 > members.known_members;
  votes.enough_judges =
      votes.unresponsive_judges >= std::min(config.min_judges, std::max(possible, kMinFleetJudges)) &&
      (unresponsive_judge_zones.size() >= config.min_judge_zones || one_zone_suffices);
  return votes;
}

VoteCounts CountVotes(const std::string& zone, const std::vector<EvidenceReport>& reports,
                      const MemberList& members, const FailoverConfig& config) {
  const auto recent = RecentReports(reports, config.max_evidence_age);
  return CountVotes(zone, ObservationsOf(IdOf(zone), recent), members, config);
}

bool HasQuorum(const VoteCounts& votes, const FailoverConfig& config) {
  return votes.enough_judges && votes.unresponsive_weight > 0 &&
         IsAtLeast(votes.unresponsive_weight, votes.total_weight, config.unavailable_threshold);
}

bool IsDoubtful(const VoteCounts& votes, const FailoverConfig& config) {
  return votes.unresponsive_weight > 0 &&
         IsAtLeast(votes.unresponsive_weight, votes.total_weight, config.doubt_threshold);
}

bool IsAlternative(const VoteCounts& votes, const FailoverConfig& config) {
  return votes.total_weight > 0 &&
         IsAtMost(votes.unresponsive_weight, votes.total_weight, config.alternative_threshold) &&
         IsAtMost(votes.unresponsive_witnesses, votes.witnesses, config.alternative_threshold);
}

}  // namespace mothrack::zone_failover
