// The members' votes on a zone, and the quorum (docs/design/zone_failover.md, "Quorum"). Pure functions; any
// thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "zone_failover/config.h"
#include "zone_failover/evidence.h"
#include "zone_failover/types.h"

namespace mothrack::zone_failover {

// Counted votes on a zone. Its judges are the members outside it that have a verdict on it. If all members
// outside belong to one zone, or there are none, the members inside are judges as well. A member that finds
// the zone unresponsive and gets a response from no other zone is a witness but no judge, because it may be
// cut off itself.
struct VoteCounts {
  // Weights: attempts sent within the window, capped (FailoverConfig::judge_weight_divisor).
  std::uint64_t unresponsive_weight = 0, total_weight = 0;
  std::size_t judges = 0, unresponsive_judges = 0;
  // Members with a verdict, including the judges. A zone that witnesses find unresponsive gets no other
  // zone's load.
  std::size_t witnesses = 0, unresponsive_witnesses = 0;
  // Whether there are enough unresponsive judges, from enough zones, for a quorum.
  bool enough_judges = false;
  // Attempts of the judges that ended within the window, not capped, and the number of judges that got an
  // answer.
  std::uint64_t answered = 0, outcomes = 0;
  std::size_t answered_judges = 0;
};

// Counts the votes in `observations` of the zone.
VoteCounts CountVotes(const std::string& zone, const std::vector<Observation>& observations,
                      const MemberList& members, const FailoverConfig& config);
// The same for the reports; those that are too old are ignored.
VoteCounts CountVotes(const std::string& zone, const std::vector<EvidenceReport>& reports,
                      const MemberList& members, const FailoverConfig& config);

// Whether a quorum finds the zone unresponsive.
bool HasQuorum(const VoteCounts& votes, const FailoverConfig& config);
// Whether so many judges find it unresponsive that normal operation must not continue, even without a quorum.
bool IsDoubtful(const VoteCounts& votes, const FailoverConfig& config);
// Whether so few judges and witnesses find it unresponsive that it can take another zone's load.
bool IsAlternative(const VoteCounts& votes, const FailoverConfig& config);

}  // namespace mothrack::zone_failover
