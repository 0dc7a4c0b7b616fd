// Three zones with some members each, and what they report: shared by the tests of the package.
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

inline const std::vector<std::string> kNames = {"a", "b", "c"};

inline TimePoint At(int ms) { return TimePoint(std::chrono::milliseconds(1'000'000 + ms)); }

// What a member finds of each zone: w (answered in time), l (answered late), s (unanswered), or nothing.
inline EvidenceReport ReportOf(const MemberId& owner, const std::string& verdicts, std::uint16_t sent = 10,
                               const std::vector<ReportedState>& reported = {}) {
  auto evidence = std::make_shared<Evidence>();
  evidence->own_zone = IdOf(owner.zone);
  for (std::size_t i = 0; i < kNames.size(); ++i) {
    ZoneEvidence z;
    z.zone = IdOf(kNames[i]);
    z.upstreams = 10;
    if (i < reported.size()) z.reported = reported[i];
    if (verdicts[i] == 'w' || verdicts[i] == 'l')
      z.sent = z.answered = sent, z.in_time = verdicts[i] == 'w' ? sent : 0;
    if (verdicts[i] == 's') z.sent = z.unanswered = z.unanswered_run = sent, z.run_upstreams = 9;
    evidence->zones.push_back(z);
  }
  return {owner, Duration(100), evidence};
}

struct Fleet {
  MemberList members;
  std::vector<EvidenceReport> reports;
  explicit Fleet(std::size_t each = 4) : members{{"b0", "b"}, {}, {"a", "b", "c"}, 3 * each} {
    for (const std::string& zone : kNames) {
      for (std::size_t i = 0; i < each; ++i) members.live.push_back({zone + std::to_string(i), zone});
    }
  }
  // So many members outside zone `a` report `some`, all others `rest`.
  void Report(const std::string& some, std::size_t outside, const std::string& rest) {
    reports.clear();
    std::size_t i = 0;
    for (const MemberId& p : members.live)
      reports.push_back(ReportOf(p, p.zone != "a" && i++ < outside ? some : rest));
  }
};

}  // namespace mothrack::zone_failover
