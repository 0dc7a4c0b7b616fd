// A fleet of three zones and the reports of its members, for the tests of the package.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "zone_failover/evidence.h"
#include "zone_failover/types.h"

namespace mothrack::zone_failover {

inline const std::vector<std::string> kZoneNames = {"a", "b", "c"};

// The time `ms` after the start of a test; may be negative.
inline TimePoint At(int ms) { return TimePoint(std::chrono::milliseconds(1'000'000 + ms)); }

// The report of a member whose attempts to each zone ended as `verdicts` says, one letter per zone:
//   w  answered in time (well)
//   l  answered late
//   s  unanswered (silent)
//   -  no attempts
inline EvidenceReport ReportOf(const MemberId& owner, const std::string& verdicts, std::uint16_t sent = 10,
                               const std::vector<ReportedState>& reported = {}) {
  auto evidence = std::make_shared<Evidence>();
  evidence->own_zone = IdOf(owner.zone);
  for (std::size_t i = 0; i < kZoneNames.size(); ++i) {
    ZoneEvidence counts;
    counts.zone = IdOf(kZoneNames[i]);
    counts.upstreams = 10;
    if (i < reported.size()) counts.reported = reported[i];
    if (verdicts[i] == 'w' || verdicts[i] == 'l')
      counts.sent = counts.answered = sent, counts.in_time = verdicts[i] == 'w' ? sent : 0;
    if (verdicts[i] == 's')
      counts.sent = counts.unanswered = counts.unanswered_run = sent, counts.run_upstreams = 9;
    evidence->zones.push_back(counts);
  }
  return {owner, Duration(100), evidence};
}

// A fleet whose members are all live. Their names are their zone and a number; b0 is the local member.
struct Fleet {
  MemberList members;
  std::vector<EvidenceReport> reports;
  explicit Fleet(std::size_t members_per_zone = 4)
      : members{{"b0", "b"}, {}, {"a", "b", "c"}, 3 * members_per_zone} {
    for (const std::string& zone : kZoneNames) {
      for (std::size_t i = 0; i < members_per_zone; ++i)
        members.live.push_back({zone + std::to_string(i), zone});
    }
  }
  // The first `count` members outside zone `a` report `verdicts`, all others `other_verdicts`.
  void Report(const std::string& verdicts, std::size_t count, const std::string& other_verdicts) {
    reports.clear();
    std::size_t i = 0;
    for (const MemberId& member : members.live)
      reports.push_back(ReportOf(member, member.zone != "a" && i++ < count ? verdicts : other_verdicts));
  }
};

}  // namespace mothrack::zone_failover
