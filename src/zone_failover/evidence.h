// Evidence: what one member observed of each zone within the last two seconds, the zone's peak load, and the
// member's decision on the zone. Plain values; observer.h fills them in, evidence_codec.h encodes them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "zone_failover/types.h"

namespace mothrack::zone_failover {

// The window in which attempts are counted. A shorter one would hold too few attempts of a member with little
// traffic. A longer one would still contain the last answers of an unavailable zone when it should already be
// drained.
constexpr Duration kBucket{250};
constexpr std::size_t kBuckets = 8;
constexpr Duration kWindow = kBucket * kBuckets;

// The highest count that is sent, in two bytes. Higher counts are clamped; weights are capped anyway.
constexpr std::uint16_t kMaxCount = 16383;

// A member's own decision on a zone. Members that are starting or were cut off adopt it.
struct ReportedState {
  Phase phase = Phase::kActive;
  std::uint8_t step = 0;           // for kDraining and kRecovering
  std::uint8_t losses = 0;         // recent ones, on which the drain time depends
  std::uint32_t generation = 0;    // incremented with each change of phase or step
  std::uint16_t age_quarters = 0;  // since that change, in units of 250 ms, at most kMaxCount
  bool operator==(const ReportedState&) const = default;
};

// Unit of ReportedState::age_quarters.
constexpr Duration kReportedAgeUnit{250};

// One member's counts for one zone, each at most kMaxCount.
struct ZoneEvidence {
  ZoneId zone = 0;
  // Attempts that were started (`sent`) or ended within the window. An attempt counts once, when its outcome
  // is final.
  std::uint16_t sent = 0;
  std::uint16_t answered = 0;    // in time or late
  std::uint16_t in_time = 0;     // of these, those within the latency objective
  std::uint16_t rejected = 0;    // by the upstream, which is a response too
  std::uint16_t unanswered = 0;  // timed out, not connected, or reset
  // Unanswered attempts that were sent after the zone's last response.
  std::uint16_t unanswered_run = 0;
  std::uint16_t run_upstreams = 0;  // number of different upstreams in that run
  // Upstreams that responded within the window, and all listed upstreams.
  std::uint16_t responsive_upstreams = 0;
  std::uint16_t upstreams = 0;
  // The zone's peak as this member saw it: answers in time per second, by all members.
  std::uint16_t peak_rate = 0;
  std::uint16_t in_flight = 0;
  ReportedState reported;
  bool operator==(const ZoneEvidence&) const = default;
};

// The evidence of one member.
struct Evidence {
  ZoneId own_zone = 0;              // the member's zone
  std::vector<ZoneEvidence> zones;  // by id
  // Returns null if the member has no evidence on the zone. The result is valid as long as `zones` is.
  const ZoneEvidence* Find(ZoneId zone) const;
  bool operator==(const Evidence&) const = default;
};

// The verdict on a zone that follows from one member's evidence.
enum class Verdict { kNone, kResponsive, kUnresponsive };

// kUnresponsive: two consecutive unanswered attempts to different upstreams, or four of five unanswered
// within the window. If a third of a zone's upstreams is down, one member in nine finds this at a given time,
// which is far from a quorum. A member with five calls per second detects an unavailable zone within a
// second.
Verdict VerdictOf(const ZoneEvidence& evidence);

// The latest evidence of one member, possibly this one's own.
struct EvidenceReport {
  MemberId owner;
  Duration age{0};  // since the owner sent it, as far as known
  std::shared_ptr<const Evidence> evidence;
};

// One member's recent evidence on one zone, looked up once. Points into the reports from which it was made.
struct Observation {
  const EvidenceReport* report;
  const ZoneEvidence* evidence;
  Verdict verdict;
};

// The reports that have evidence younger than `max_age`.
std::vector<const EvidenceReport*> RecentReports(const std::vector<EvidenceReport>& reports,
                                                 Duration max_age);
// The observations of one zone; members without evidence on it are omitted.
std::vector<Observation> ObservationsOf(ZoneId zone, const std::vector<const EvidenceReport*>& recent);
// Sum of one count over all observations.
std::uint64_t SumOf(std::uint16_t ZoneEvidence::*count, const std::vector<Observation>& observations);

}  // namespace mothrack::zone_failover
