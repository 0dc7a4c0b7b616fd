#include "zone_failover/observer.h"

#include <algorithm>
#include <utility>

#include "zone_failover/evidence_codec.h"

namespace mothrack::zone_failover {
namespace {

// An unanswered run over this many different upstreams is conclusive, so further upstreams are not
// remembered.
constexpr std::size_t kMaxRunUpstreams = 16;
// A zone has at most hundreds of upstreams.
constexpr std::size_t kMaxResponsiveUpstreams = 512;
// Number of unsafe attempts that are remembered to recognize a repeated outcome, which follows the first one
// soon: not more than this many others end in between.
constexpr std::size_t kRememberedAttempts = 256;

std::int64_t BucketNumber(TimePoint now) { return now.time_since_epoch() / kBucket; }

std::uint16_t Clamp(std::uint64_t count) {
  return static_cast<std::uint16_t>(std::min<std::uint64_t>(count, kMaxCount));
}

}  // namespace

void Observer::AdvanceBuckets(Zone& zone, TimePoint now) {
  const std::int64_t current = BucketNumber(now);
  const std::int64_t oldest = current - static_cast<std::int64_t>(kBuckets) + 1;
  for (std::int64_t number = std::max(zone.newest + 1, oldest); number <= current; ++number)
    zone.buckets[static_cast<std::size_t>(number) % kBuckets] = {};
  zone.newest = std::max(zone.newest, current);
}

Observer::Zone* Observer::FindOrAdd(std::string_view name, TimePoint now) {
  const ZoneId id = IdOf(name);
  auto it = zones_.find(id);
  if (it == zones_.end()) {
    if (zones_.size() >= kMaxZones) return nullptr;
    it = zones_.emplace(id, Zone{}).first;
    it->second.newest = BucketNumber(now);
  }
  AdvanceBuckets(it->second, now);
  return &it->second;
}

void Observer::SetUpstreams(std::string_view zone, std::size_t count, TimePoint now) {
  if (Zone* entry = FindOrAdd(zone, now)) entry->upstreams = count;
}

void Observer::SetReportedState(std::string_view zone, const ReportedState& reported,
                                std::uint64_t peak_rate) {
  const auto it = zones_.find(IdOf(zone));
  if (it == zones_.end()) return;
  it->second.reported = reported;
  it->second.peak_rate = peak_rate;
}

void Observer::OnSent(std::string_view zone, TimePoint now) {
  Zone* entry = FindOrAdd(zone, now);
  if (entry == nullptr) return;
  ++CurrentBucket(*entry).sent;
  ++entry->in_flight;
}

bool Observer::IsRepeated(const AttemptEnd& end) {
  if (!end.unsafe) return false;
  if (!end.final) return true;
  const auto known = std::find(finished_unsafe_.begin(), finished_unsafe_.end(), end.attempt);
  if (known != finished_unsafe_.end()) return true;
  finished_unsafe_.push_back(end.attempt);
  if (finished_unsafe_.size() > kRememberedAttempts) finished_unsafe_.pop_front();
  return false;
}

void Observer::OnAttemptEnd(const AttemptEnd& end, TimePoint now) {
  Zone* zone = FindOrAdd(end.zone, now);
  if (zone == nullptr || IsRepeated(end)) return;
  if (zone->in_flight > 0) --zone->in_flight;
  switch (end.outcome) {
    case Outcome::kCancelled:
      return;
    case Outcome::kNoResponse:
      CountNoResponse(*zone, end, now);
      return;
    case Outcome::kAnswered:
    case Outcome::kRejected:
      CountResponse(*zone, end, now);
      return;
  }
}

void Observer::CountNoResponse(Zone& zone, const AttemptEnd& end, TimePoint now) {
  ++CurrentBucket(zone).unanswered;
  // The attempt was sent before the zone's last response, so it says nothing about the time after that
  // response.
  if (zone.last_response && now - end.elapsed < *zone.last_response) return;
  ++zone.unanswered_run;
  if (zone.run_upstreams.size() < kMaxRunUpstreams) zone.run_upstreams.insert(Hash(end.upstream));
}

void Observer::CountResponse(Zone& zone, const AttemptEnd& end, TimePoint now) {
  Bucket& bucket = CurrentBucket(zone);
  const bool answered = end.outcome == Outcome::kAnswered;
  ++(answered ? bucket.answered : bucket.rejected);
  if (answered && end.in_time) ++bucket.in_time;
  zone.unanswered_run = 0;
  zone.run_upstreams.clear();
  zone.last_response = now;
  const std::uint64_t upstream = Hash(end.upstream);
  if (zone.responsive_upstreams.size() < kMaxResponsiveUpstreams ||
      zone.responsive_upstreams.contains(upstream)) {
    zone.responsive_upstreams[upstream] = now;
  }
}

ZoneEvidence Observer::EvidenceOf(ZoneId id, Zone& zone, TimePoint now) {
  AdvanceBuckets(zone, now);
  std::erase_if(zone.responsive_upstreams, [&](const auto& entry) { return now - entry.second >= kWindow; });
  Bucket sum;
  for (const Bucket& bucket : zone.buckets) {
    sum.sent += bucket.sent;
    sum.answered += bucket.answered;
    sum.in_time += bucket.in_time;
    sum.rejected += bucket.rejected;
    sum.unanswered += bucket.unanswered;
  }
  // If nothing was added to a run within the window, the run is outdated.
  if (sum.unanswered == 0) {
    zone.unanswered_run = 0;
    zone.run_upstreams.clear();
  }
  ZoneEvidence evidence;
  evidence.zone = id;
  evidence.sent = Clamp(sum.sent);
  evidence.answered = Clamp(sum.answered);
  evidence.in_time = Clamp(sum.in_time);
  evidence.rejected = Clamp(sum.rejected);
  evidence.unanswered = Clamp(sum.unanswered);
  evidence.unanswered_run = Clamp(zone.unanswered_run);
  evidence.run_upstreams = Clamp(zone.run_upstreams.size());
  evidence.responsive_upstreams = Clamp(zone.responsive_upstreams.size());
  evidence.upstreams = Clamp(zone.upstreams);
  evidence.peak_rate = Clamp(zone.peak_rate);
  evidence.in_flight = Clamp(zone.in_flight);
  evidence.reported = zone.reported;
  return evidence;
}

Evidence Observer::Snapshot(TimePoint now) {
  Evidence evidence;
  evidence.own_zone = own_zone_;
  for (auto& [id, zone] : zones_) evidence.zones.push_back(EvidenceOf(id, zone, now));
  return evidence;
}

std::optional<std::string> Observer::NextReport(TimePoint now) {
  if (last_report_at_ && now - *last_report_at_ < kMinReportInterval) return std::nullopt;
  Evidence evidence = Snapshot(now);
  const auto same = [](const ZoneEvidence& a, const ZoneEvidence& b) {
    return a.zone == b.zone && VerdictOf(a) == VerdictOf(b) && a.reported.generation == b.reported.generation;
  };
  const bool changed = !std::equal(evidence.zones.begin(), evidence.zones.end(), last_report_.zones.begin(),
                                   last_report_.zones.end(), same);
  if (last_report_at_ && !changed && now - *last_report_at_ < kReportInterval) return std::nullopt;
  last_report_at_ = now;
  last_report_ = std::move(evidence);
  return Encode(last_report_);
}

}  // namespace mothrack::zone_failover
