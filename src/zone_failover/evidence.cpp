#include "zone_failover/evidence.h"

#include <algorithm>

namespace mothrack::zone_failover {
namespace {

constexpr std::uint8_t kVersion = 1;
constexpr std::size_t kMaxStep = 15;
// A zone has hundreds of upstreams at most; a run of more is one already.
constexpr std::size_t kMaxRunUpstreams = 16;
constexpr std::size_t kMaxResponsiveUpstreams = 512;
// An outcome that comes twice comes soon after: by then so many others have ended at the very most.
constexpr std::size_t kRememberedAttempts = 256;
// Silent for four of five in the window, of five at least, though the latest was a word.
constexpr std::uint32_t kMinUnanswered = 5;
constexpr std::uint16_t kUnresponsiveRun = 2;

// The figures in the order in which they are told.
constexpr std::array kFigures = {&ZoneEvidence::sent,          &ZoneEvidence::answered,
                                 &ZoneEvidence::in_time,       &ZoneEvidence::rejected,
                                 &ZoneEvidence::unanswered,    &ZoneEvidence::unanswered_run,
                                 &ZoneEvidence::run_upstreams, &ZoneEvidence::responsive_upstreams,
                                 &ZoneEvidence::upstreams,     &ZoneEvidence::peak_rate,
                                 &ZoneEvidence::in_flight};

std::uint16_t Clamp(std::uint64_t count) {
  return static_cast<std::uint16_t>(std::min<std::uint64_t>(count, kMaxCount));
}

void PutVarint(std::string& to, std::uint32_t value) {
  for (; value >= 0x80; value >>= 7) to.push_back(static_cast<char>(0x80 | (value & 0x7f)));
  to.push_back(static_cast<char>(value));
}
void PutId(std::string& to, ZoneId id) {
  for (int shift = 0; shift < 32; shift += 8) to.push_back(static_cast<char>(id >> shift));
}

// Reads on until something is wrong, and says so then for good.
class Reader {
 public:
  explicit Reader(std::string_view bytes) : rest_(bytes) {}
  std::uint32_t Byte() {
    if (rest_.empty()) return Fail();
    const auto byte = static_cast<unsigned char>(rest_.front());
    rest_.remove_prefix(1);
    return byte;
  }
  std::uint32_t Id() {
    std::uint32_t id = 0;
    for (int shift = 0; shift < 32; shift += 8) id |= Byte() << shift;
    return id;
  }
  std::uint32_t Varint(std::uint32_t max) {
    std::uint64_t value = 0;
    for (int shift = 0; shift < 35; shift += 7) {
      const std::uint32_t byte = Byte();
      value |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
      if ((byte & 0x80) != 0) continue;
      // One way to write each number.
      if (value > max || (byte == 0 && shift > 0)) return Fail();
      return static_cast<std::uint32_t>(value);
    }
    return Fail();
  }
  std::uint32_t Fail() {
    valid_ = false;
    rest_ = {};
    return 0;
  }
  bool valid() const { return valid_; }
  bool at_end() const { return rest_.empty(); }

 private:
  std::string_view rest_;
  bool valid_ = true;
};

std::int64_t BucketOf(TimePoint now) { return now.time_since_epoch() / kBucket; }

}  // namespace

const ZoneEvidence* Evidence::Find(ZoneId zone) const {
  const auto it =
      std::find_if(zones.begin(), zones.end(), [&](const ZoneEvidence& z) { return z.zone == zone; });
  return it == zones.end() ? nullptr : &*it;
}

Verdict VerdictOf(const ZoneEvidence& e) {
  const std::uint16_t all = std::max<std::uint16_t>(e.upstreams, 1);
  if (e.unanswered_run >= kUnresponsiveRun && e.run_upstreams >= std::min(kUnresponsiveRun, all))
    return Verdict::kUnresponsive;
  const std::uint32_t responses = e.answered + e.rejected;
  if (e.unanswered >= kMinUnanswered && e.unanswered >= 4 * responses) return Verdict::kUnresponsive;
  return responses > 0 ? Verdict::kResponsive : Verdict::kNone;
}

std::string Encode(const Evidence& evidence) {
  const std::size_t count = std::min(evidence.zones.size(), kMaxZones);
  std::string bytes{static_cast<char>(kVersion)};
  PutId(bytes, evidence.own_zone);
  bytes.push_back(static_cast<char>(count));
  for (std::size_t i = 0; i < count; ++i) {
    const ZoneEvidence& zone = evidence.zones[i];
    PutId(bytes, zone.zone);
    for (const auto figure : kFigures) PutVarint(bytes, Clamp(zone.*figure));
    bytes.push_back(static_cast<char>(static_cast<std::size_t>(zone.reported.phase) << 4 |
                                      std::min<std::size_t>(zone.reported.step, kMaxStep)));
    bytes.push_back(static_cast<char>(zone.reported.losses));
    PutVarint(bytes, zone.reported.generation);
    PutVarint(bytes, Clamp(zone.reported.age_quarters));
  }
  return bytes;
}

std::optional<Evidence> Decode(std::string_view bytes) {
  if (bytes.size() > kMaxEvidenceBytes) return std::nullopt;
  Reader reader(bytes);
  if (reader.Byte() != kVersion) return std::nullopt;
  Evidence evidence;
  evidence.own_zone = reader.Id();
  const std::size_t count = reader.Byte();
  if (count > kMaxZones) return std::nullopt;
  for (std::size_t i = 0; i < count && reader.valid(); ++i) {
    ZoneEvidence zone;
    zone.zone = reader.Id();
    if (i > 0 && zone.zone <= evidence.zones.back().zone) return std::nullopt;
    for (const auto figure : kFigures) zone.*figure = static_cast<std::uint16_t>(reader.Varint(kMaxCount));
    const std::uint32_t phase = reader.Byte();
    if (phase >> 4 > static_cast<std::uint32_t>(Phase::kRecovering)) return std::nullopt;
    zone.reported.phase = static_cast<Phase>(phase >> 4);
    zone.reported.step = phase & 0xf;
    zone.reported.losses = static_cast<std::uint8_t>(reader.Byte());
    zone.reported.generation = reader.Varint(UINT32_MAX);
    zone.reported.age_quarters = static_cast<std::uint16_t>(reader.Varint(kMaxCount));
    if (zone.in_time > zone.answered || zone.run_upstreams > zone.unanswered_run) return std::nullopt;
    evidence.zones.push_back(zone);
  }
  if (!reader.valid() || !reader.at_end()) return std::nullopt;
  return evidence;
}

void Observer::AdvanceBuckets(Zone& zone, TimePoint now) {
  const std::int64_t bucket = BucketOf(now);
  const std::int64_t from = std::max(zone.newest + 1, bucket - static_cast<std::int64_t>(kBuckets) + 1);
  for (std::int64_t b = from; b <= bucket; ++b) zone.buckets[static_cast<std::size_t>(b) % kBuckets] = {};
  zone.newest = std::max(zone.newest, bucket);
}

Observer::Zone* Observer::Find(std::string_view name, TimePoint now) {
  const ZoneId id = IdOf(name);
  auto it = zones_.find(id);
  if (it == zones_.end()) {
    if (zones_.size() >= kMaxZones) return nullptr;
    it = zones_.emplace(id, Zone{}).first;
    it->second.newest = BucketOf(now);
  }
  AdvanceBuckets(it->second, now);
  return &it->second;
}

void Observer::SetUpstreams(std::string_view zone, std::size_t count, TimePoint now) {
  if (Zone* z = Find(zone, now)) z->upstreams = count;
}

void Observer::SetReportedState(std::string_view zone, const ReportedState& reported,
                                std::uint64_t peak_rate) {
  const auto it = zones_.find(IdOf(zone));
  if (it != zones_.end()) it->second.reported = reported, it->second.peak_rate = peak_rate;
}

void Observer::OnSent(std::string_view zone, TimePoint now) {
  Zone* z = Find(zone, now);
  if (z == nullptr) return;
  ++Now(*z).sent;
  ++z->in_flight;
}

void Observer::OnAttemptEnd(const AttemptEnd& end, TimePoint now) {
  Zone* z = Find(end.zone, now);
  if (z == nullptr) return;
  if (end.unsafe) {
    if (!end.final ||
        std::find(finished_unsafe_.begin(), finished_unsafe_.end(), end.attempt) != finished_unsafe_.end())
      return;
    finished_unsafe_.push_back(end.attempt);
    if (finished_unsafe_.size() > kRememberedAttempts) finished_unsafe_.pop_front();
  }
  if (z->in_flight > 0) --z->in_flight;
  if (end.outcome == Outcome::kCancelled) return;
  Bucket& bucket = Now(*z);
  const std::uint64_t upstream = Hash(end.upstream);
  if (end.outcome == Outcome::kNoResponse) {
    ++bucket.unanswered;
    // Sent before the zone's last word it does not tell what came after it.
    if (z->last_response && now - end.elapsed < *z->last_response) return;
    ++z->unanswered_run;
    if (z->run_upstreams.size() < kMaxRunUpstreams) z->run_upstreams.insert(upstream);
    return;
  }
  ++(end.outcome == Outcome::kRejected ? bucket.rejected : bucket.answered);
  if (end.outcome == Outcome::kAnswered && end.in_time) ++bucket.in_time;
  z->unanswered_run = 0;
  z->run_upstreams.clear();
  z->last_response = now;
  if (z->responsive_upstreams.size() < kMaxResponsiveUpstreams || z->responsive_upstreams.contains(upstream))
    z->responsive_upstreams[upstream] = now;
}

Evidence Observer::Snapshot(TimePoint now) {
  Evidence evidence;
  evidence.own_zone = own_;
  for (auto& [id, zone] : zones_) {
    AdvanceBuckets(zone, now);
    std::erase_if(zone.responsive_upstreams,
                  [&](const auto& entry) { return now - entry.second >= kWindow; });
    Bucket sum;
    for (const Bucket& b : zone.buckets) {
      sum.sent += b.sent;
      sum.answered += b.answered;
      sum.in_time += b.in_time;
      sum.rejected += b.rejected;
      sum.unanswered += b.unanswered;
    }
    // A run of which nothing was seen for a window tells of what was, not of what is.
    if (sum.unanswered == 0) zone.unanswered_run = 0, zone.run_upstreams.clear();
    ZoneEvidence e;
    e.zone = id;
    e.sent = Clamp(sum.sent);
    e.answered = Clamp(sum.answered);
    e.in_time = Clamp(sum.in_time);
    e.rejected = Clamp(sum.rejected);
    e.unanswered = Clamp(sum.unanswered);
    e.unanswered_run = Clamp(zone.unanswered_run);
    e.run_upstreams = Clamp(zone.run_upstreams.size());
    e.responsive_upstreams = Clamp(zone.responsive_upstreams.size());
    e.upstreams = Clamp(zone.upstreams);
    e.peak_rate = Clamp(zone.peak_rate);
    e.in_flight = Clamp(zone.in_flight);
    e.reported = zone.reported;
    evidence.zones.push_back(e);
  }
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
