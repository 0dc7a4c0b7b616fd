// Votes of the members on a zone, and the quorum (docs/design/zone_failover.md, "Quorum"). Pure; any thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "zone_failover/config.h"
#include "zone_failover/evidence.h"
#include "zone_failover/types.h"

namespace mothrack::zone_failover {

// Judges of a zone are the members outside it that have a verdict on it; where all others are of one zone or
// none, those inside as well. A member that finds the zone unresponsive and gets a response from no other
// zone is a witness but no judge: it may be cut off itself.
struct VoteCounts {
  // Weights: attempts within the window, capped (FailoverConfig::judge_weight_divisor).
  std::uint64_t unresponsive_weight = 0, total_weight = 0;
  std::size_t judges = 0, unresponsive_judges = 0;
  // Members with a verdict, the judges included: no other zone's load goes to one that witnesses find
  // unresponsive.
  std::size_t witnesses = 0, unresponsive_witnesses = 0;
  // Enough unresponsive judges, of enough zones, for a quorum.
  bool enough_judges = false;
  // Attempts that the judges saw end within the window, not capped, and judges that got an answer.
  std::uint64_t answered = 0, outcomes = 0;
  std::size_t answered_judges = 0;
};

VoteCounts CountVotes(const std::string& zone, const std::vector<Observation>& observations,
                      const MemberList& members, const FailoverConfig& config);
// The same from the reports, those that are too old left out.
VoteCounts CountVotes(const std::string& zone, const std::vector<EvidenceReport>& reports,
                      const MemberList& members, const FailoverConfig& config);

// A quorum finds the zone unresponsive.
bool HasQuorum(const VoteCounts& votes, const FailoverConfig& config);
// Too many find it unresponsive to go on as usual, though they may be no quorum.
bool IsDoubtful(const VoteCounts& votes, const FailoverConfig& config);
// So few judges and witnesses find it unresponsive that it can take the load of another zone.
bool IsAlternative(const VoteCounts& votes, const FailoverConfig& config);

}  // namespace mothrack::zone_failover
