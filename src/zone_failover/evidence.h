// What one member tells of each zone: how its calls there ended within the last two seconds, what it has
// proof of, what the zone bore at its best, and what the member decided. Small enough for one value of the
// peers.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "zone_failover/types.h"

namespace mothrack::zone_failover {

// A shorter window is chance for a member with a trickle, a longer one still shows a lost zone's last answers
// when the others should have left it.
constexpr Duration kBucket{250};
constexpr std::size_t kBuckets = 8;
constexpr Duration kWindow = kBucket * kBuckets;

constexpr std::size_t kMaxEvidenceBytes = 256;  // of a value (src/gossip/types.h)
constexpr std::size_t kMaxZones = 7;            // that fit with every figure at its most
constexpr std::uint16_t kMaxCount = 16383;  // two bytes; more is told as that, and weights are capped anyway

struct ZoneEvidence {
  ZoneId zone = 0;
  // Ended within the window, but for `sent`. An attempt counts once, when its outcome is final.
  std::uint16_t sent = 0;
  std::uint16_t answered = 0;    // answered, in time or late
  std::uint16_t in_time = 0;     // of these, within the aim
  std::uint16_t rejected = 0;    // turned away: a word as well
  std::uint16_t unanswered = 0;  // timed out, not connected, broken
  // Since the zone's last word, of calls sent after it.
  std::uint16_t unanswered_run = 0;        // silent ones
  std::uint16_t run_upstreams = 0;         // different upstreams that were
  std::uint16_t responsive_upstreams = 0;  // upstreams that said something within the window
  std::uint16_t upstreams = 0;             // that are listed
  std::uint16_t peak_rate =
      0;  // answered in time in a second, by all members, at its best, as seen by this one
  std::uint16_t in_flight = 0;  // calls out
  ReportedState reported;
  bool operator==(const ZoneEvidence&) const = default;
};

struct Evidence {
  ZoneId own_zone = 0;              // zone of the member
  std::vector<ZoneEvidence> zones;  // by id
  const ZoneEvidence* Find(ZoneId zone) const;
  bool operator==(const Evidence&) const = default;
};

// What a member finds of a zone. Two silent ones in a row of different upstreams: with a third of a zone
// silent that is one member in nine at a time, far from a quorum, and a member with five calls a second knows
// within a second.
enum class Verdict { kNone, kResponsive, kUnresponsive };
Verdict VerdictOf(const ZoneEvidence& evidence);

// Bytes of a value; of zones beyond kMaxZones nothing is told. Read gives nothing unless it is what Write
// gives.
std::string Encode(const Evidence& evidence);
std::optional<Evidence> Decode(std::string_view bytes);

enum class Outcome {
  kAnswered,  // whatever the answer was
  kRejected,
  kNoResponse,  // timed out, not connected, reset
  kCancelled,   // says nothing of anybody
};

struct AttemptEnd {
  std::string_view zone;
  std::string_view upstream;
  std::uint64_t attempt = 0;  // names it among the member's
  Outcome outcome = Outcome::kAnswered;
  Duration elapsed{0};
  bool in_time = false;
  bool unsafe = false;
  // An unsafe call that was given up may still be answered: what counts is its last outcome, once.
  bool final = true;
};

// Fed by the carrier's hooks. Bounded whatever is told to it.
class Observer {
 public:
  explicit Observer(std::string_view own_zone) : own_(IdOf(own_zone)) {}

  void SetUpstreams(std::string_view zone, std::size_t count, TimePoint now);
  void OnSent(std::string_view zone, TimePoint now);
  void OnAttemptEnd(const AttemptEnd& end, TimePoint now);
  // What this member decided (decision.h), and the best that it saw.
  void SetReportedState(std::string_view zone, const ReportedState& reported, std::uint64_t peak_rate);

  Evidence Snapshot(TimePoint now);
  // The value, where one is to be put: each second, and at once where what it finds or decided of a zone is
  // another than was told, at most ten times a second.
  std::optional<std::string> NextReport(TimePoint now);
  static constexpr Duration kReportInterval{1000};
  static constexpr Duration kMinReportInterval{100};

 private:
  struct Bucket {
    std::uint32_t sent = 0, answered = 0, in_time = 0, rejected = 0, unanswered = 0;
  };
  struct Zone {
    std::array<Bucket, kBuckets> buckets{};
    std::int64_t newest = 0;  // number of the newest bucket
    std::set<std::uint64_t> run_upstreams;
    std::uint32_t unanswered_run = 0;
    std::optional<TimePoint> last_response;                   // the last
    std::map<std::uint64_t, TimePoint> responsive_upstreams;  // by upstream
    std::size_t upstreams = 0;
    std::uint64_t peak_rate = 0;
    std::uint64_t in_flight = 0;
    ReportedState reported;
  };
  Zone* Find(std::string_view zone, TimePoint now);
  static void AdvanceBuckets(Zone& zone, TimePoint now);
  Bucket& Now(Zone& zone) { return zone.buckets[static_cast<std::size_t>(zone.newest) % kBuckets]; }

  const ZoneId own_;
  std::map<ZoneId, Zone> zones_;
  std::deque<std::uint64_t> finished_unsafe_;  // unsafe attempts of which the final outcome came
  std::optional<TimePoint> last_report_at_;
  Evidence last_report_;
};

}  // namespace mothrack::zone_failover
