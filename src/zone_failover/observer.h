// Counts how the attempts of this member end, by zone, and makes the evidence that it sends to the others.
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

#include "zone_failover/evidence.h"

namespace mothrack::zone_failover {

enum class Outcome {
  kAnswered,    // whatever the status was
  kRejected,    // refused by the upstream
  kNoResponse,  // timed out, not connected, reset
  kCancelled,   // by this member: says nothing of the upstream
};

// The end of one attempt. The views need to live for the call only.
struct AttemptEnd {
  std::string_view zone;
  std::string_view upstream;
  std::uint64_t attempt = 0;  // unique among the member's
  Outcome outcome = Outcome::kAnswered;
  Duration elapsed{0};
  bool in_time = false;  // within the latency objective
  bool unsafe = false;   // not safe to repeat (RFC 9110, 9.2.1)
  // An unsafe attempt that was given up may still be answered: its last outcome counts, once.
  bool final = true;
};

// Not thread-safe: one thread feeds and asks it. Time must not go back. Memory is bounded whatever it is fed:
// zones beyond kMaxZones are ignored.
class Observer {
 public:
  // The first is sent each; at once, but no more often than the second, where a verdict or a decision
  // changed.
  static constexpr Duration kReportInterval{1000};
  static constexpr Duration kMinReportInterval{100};

  explicit Observer(std::string_view own_zone) : own_zone_(IdOf(own_zone)) {}

  // How many upstreams the endpoint list has in a zone.
  void SetUpstreams(std::string_view zone, std::size_t count, TimePoint now);
  void OnSent(std::string_view zone, TimePoint now);
  void OnAttemptEnd(const AttemptEnd& end, TimePoint now);
  // What this member decided on a zone, and the zone's peak in answers a second. Ignored for an unknown zone.
  void SetReportedState(std::string_view zone, const ReportedState& reported, std::uint64_t peak_rate);

  Evidence Snapshot(TimePoint now);
  // The encoded evidence where it is due (see the intervals above); else nothing.
  std::optional<std::string> NextReport(TimePoint now);

 private:
  struct Bucket {
    std::uint32_t sent = 0, answered = 0, in_time = 0, rejected = 0, unanswered = 0;
  };
  struct Zone {
    std::array<Bucket, kBuckets> buckets{};  // a ring, by number of the bucket
    std::int64_t newest = 0;                 // number of the newest bucket
    // Unanswered attempts that were sent after the last response, and hashes of their upstreams.
    std::uint32_t unanswered_run = 0;
    std::set<std::uint64_t> run_upstreams;
    std::optional<TimePoint> last_response;
    std::map<std::uint64_t, TimePoint> responsive_upstreams;  // last response, by hash of the upstream
    std::size_t upstreams = 0;
    std::uint64_t peak_rate = 0;
    std::uint64_t in_flight = 0;
    ReportedState reported;
  };

  // Null where the zone would be one too many.
  Zone* FindOrAdd(std::string_view zone, TimePoint now);
  // True for the further outcomes of an unsafe attempt, and those that are not its last.
  bool IsRepeated(const AttemptEnd& end);
  static void AdvanceBuckets(Zone& zone, TimePoint now);
  static void CountNoResponse(Zone& zone, const AttemptEnd& end, TimePoint now);
  static void CountResponse(Zone& zone, const AttemptEnd& end, TimePoint now);
  static ZoneEvidence EvidenceOf(ZoneId id, Zone& zone, TimePoint now);
  static Bucket& CurrentBucket(Zone& zone) {
    return zone.buckets[static_cast<std::size_t>(zone.newest) % kBuckets];
  }

  const ZoneId own_zone_;
  std::map<ZoneId, Zone> zones_;
  std::deque<std::uint64_t>
      finished_unsafe_;  // unsafe attempts whose final outcome was counted, oldest first
  std::optional<TimePoint> last_report_at_;
  Evidence last_report_;
};

}  // namespace mothrack::zone_failover
