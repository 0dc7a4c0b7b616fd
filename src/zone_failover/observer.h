// Counts how this member's attempts end, by zone, and creates the evidence that it sends to the others.
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

// The outcome of an attempt, reduced to what it says about the zone.
enum class Outcome {
  kAnswered,    // with any status
  kRejected,    // by the upstream
  kNoResponse,  // timed out, not connected, reset
  kCancelled,   // by this member, which says nothing about the upstream
};

// The end of one attempt. The views need to be valid only during the call.
struct AttemptEnd {
  std::string_view zone;
  std::string_view upstream;
  std::uint64_t attempt = 0;  // unique within this member
  Outcome outcome = Outcome::kAnswered;
  Duration elapsed{0};
  bool in_time = false;  // within the latency objective
  bool unsafe = false;   // not idempotent (RFC 9110 section 9.2.1)
  // An unsafe attempt that was abandoned may still be answered. Only its final outcome counts, once.
  bool final = true;
};

// Used by one thread. Time must not decrease. Memory is bounded for any input: zones beyond kMaxZones are
// ignored.
class Observer {
 public:
  // A report is sent every kReportInterval. If a verdict or a decision has changed it is sent at once, but no
  // sooner than kMinReportInterval after the previous one.
  static constexpr Duration kReportInterval{1000};
  static constexpr Duration kMinReportInterval{100};

  explicit Observer(std::string_view own_zone) : own_zone_(IdOf(own_zone)) {}

  // Sets the number of upstreams that the endpoint list has in a zone.
  void SetUpstreams(std::string_view zone, std::size_t count, TimePoint now);
  // Records the start and the end of an attempt.
  void OnSent(std::string_view zone, TimePoint now);
  void OnAttemptEnd(const AttemptEnd& end, TimePoint now);
  // Sets what this member decided on a zone, and the zone's peak in answers per second. Ignored for an
  // unknown zone.
  void SetReportedState(std::string_view zone, const ReportedState& reported, std::uint64_t peak_rate);

  // The evidence as of `now`.
  Evidence Snapshot(TimePoint now);
  // Returns the encoded evidence if a report is due (see the intervals above), otherwise nothing.
  std::optional<std::string> NextReport(TimePoint now);

 private:
  struct Bucket {
    std::uint32_t sent = 0, answered = 0, in_time = 0, rejected = 0, unanswered = 0;
  };
  struct Zone {
    std::array<Bucket, kBuckets> buckets{};  // a ring, indexed by bucket number
    std::int64_t newest = 0;                 // number of the newest bucket, counted from the clock's epoch
    // Unanswered attempts that were sent after the last response, and hashes of their upstreams.
    std::uint32_t unanswered_run = 0;
    std::set<std::uint64_t> run_upstreams;
    std::optional<TimePoint> last_response;
    // Time of the last response, by hash of the upstream.
    std::map<std::uint64_t, TimePoint> responsive_upstreams;
    std::size_t upstreams = 0;
    std::uint64_t peak_rate = 0;
    std::uint64_t in_flight = 0;
    ReportedState reported;
  };

  // Returns null if there are too many zones.
  Zone* FindOrAdd(std::string_view zone, TimePoint now);
  // True for an outcome of an unsafe attempt that is not final or was counted already.
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
  // Unsafe attempts whose final outcome was counted, oldest first.
  std::deque<std::uint64_t> finished_unsafe_;
  std::optional<TimePoint> last_report_at_;
  Evidence last_report_;
};

}  // namespace mothrack::zone_failover
