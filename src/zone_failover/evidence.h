// Evidence: what one member saw of each zone within the last two seconds, what the zone bore at its best, and
// what the member decided on it. Values without behaviour; observer.h fills them, evidence_codec.h sends
// them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "zone_failover/types.h"

namespace mothrack::zone_failover {

// The window in which attempts are counted. A shorter one is chance for a member with little traffic, a
// longer one still shows an unavailable zone's last answers when the others should have left it.
constexpr Duration kBucket{250};
constexpr std::size_t kBuckets = 8;
constexpr Duration kWindow = kBucket * kBuckets;

// The highest count that is sent: two bytes. Higher ones are sent as that; weights are capped anyway.
constexpr std::uint16_t kMaxCount = 16383;

// A member's own decision on a zone, for members that start or were cut off.
struct ReportedState {
  Phase phase = Phase::kActive;
  std::uint8_t step = 0;           // of kDraining and kRecovering
  std::uint8_t losses = 0;         // recent ones: the drain time depends on them
  std::uint32_t generation = 0;    // rises with each change of phase or step
  std::uint16_t age_quarters = 0;  // since that change, in quarters of a second, at most kMaxCount
  bool operator==(const ReportedState&) const = default;
};

// Unit of ReportedState::age_quarters.
constexpr Duration kReportedAgeUnit{250};

// Counts are at most kMaxCount each.
struct ZoneEvidence {
  ZoneId zone = 0;
  // Attempts that were started (`sent`) or ended within the window. An attempt counts once, when its outcome
  // is final.
  std::uint16_t sent = 0;
  std::uint16_t answered = 0;    // in time or late
  std::uint16_t in_time = 0;     // of these, within the latency objective
  std::uint16_t rejected = 0;    // refused by the upstream: a response as well
  std::uint16_t unanswered = 0;  // timed out, not connected, broken
  // Of attempts that were sent after the zone's last response.
  std::uint16_t unanswered_run = 0;
  std::uint16_t run_upstreams = 0;  // different upstreams in that run
  // Upstreams that responded within the window, and all that are listed.
  std::uint16_t responsive_upstreams = 0;
  std::uint16_t upstreams = 0;
  std::uint16_t peak_rate =
      0;  // answers in time a second by all members, at the zone's best, as this member saw it
  std::uint16_t in_flight = 0;
  ReportedState reported;
  bool operator==(const ZoneEvidence&) const = default;
};

struct Evidence {
  ZoneId own_zone = 0;              // of the member
  std::vector<ZoneEvidence> zones;  // by id
  // Null where the member has no evidence on the zone. Valid as long as `zones` is.
  const ZoneEvidence* Find(ZoneId zone) const;
  bool operator==(const Evidence&) const = default;
};

// What a member's evidence says of a zone.
enum class Verdict { kNone, kResponsive, kUnresponsive };

// Unresponsive: two unanswered attempts in a row to different upstreams, or four of five within the window.
// With a third of a zone's upstreams down one member in nine finds that at a time, far from a quorum; a
// member with five calls a second finds an unavailable zone within a second.
Verdict VerdictOf(const ZoneEvidence& evidence);

// The latest evidence of one member, this one's own included.
struct EvidenceReport {
  MemberId owner;
  Duration age{0};  // since the owner sent it, as far as is known
  std::shared_ptr<const Evidence> evidence;
};

// One member's recent evidence on one zone, looked up once. Points into the reports that it was made from.
struct Observation {
  const EvidenceReport* report;
  const ZoneEvidence* evidence;
  Verdict verdict;
};

// Those of the reports that have evidence younger than `max_age`.
std::vector<const EvidenceReport*> RecentReports(const std::vector<EvidenceReport>& reports,
                                                 Duration max_age);
// What they observed of one zone; a member that has nothing on it is left out.
std::vector<Observation> ObservationsOf(ZoneId zone, const std::vector<const EvidenceReport*>& recent);
// Sum of one count over the observations.
std::uint64_t SumOf(std::uint16_t ZoneEvidence::*count, const std::vector<Observation>& observations);

}  // namespace mothrack::zone_failover
