#include "zone_failover/evidence.h"

#include <algorithm>

namespace mothrack::zone_failover {
namespace {

constexpr std::uint8_t kVersion = 1;
constexpr std::size_t kMostStep = 15;
// A zone has hundreds of upstreams at most; a run of more is one already.
constexpr std::size_t kMostRun = 16;
constexpr std::size_t kMostReached = 512;
// An outcome that comes twice comes soon after: by then so many others have ended at the very most.
constexpr std::size_t kRemembered = 256;
// Silent for four of five in the window, of five at least, though the latest was a word.
constexpr std::uint32_t kSilentOf = 5;
constexpr std::uint16_t kRunToSay = 2;

// The figures in the order in which they are told.
constexpr std::array kFigures = {
    &ZoneEvidence::sent,      &ZoneEvidence::well, &ZoneEvidence::in_time,       &ZoneEvidence::full,
    &ZoneEvidence::silent,    &ZoneEvidence::run,  &ZoneEvidence::run_upstreams, &ZoneEvidence::reached,
    &ZoneEvidence::upstreams, &ZoneEvidence::best, &ZoneEvidence::held};

std::uint16_t Clamp(std::uint64_t count) {
  return static_cast<std::uint16_t>(std::min<std::uint64_t>(count, kMostCount));
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
  explicit Reader(std::string_view bytes) : left_(bytes) {}
  std::uint32_t Byte() {
    if (left_.empty()) return Fail();
    const auto byte = static_cast<unsigned char>(left_.front());
    left_.remove_prefix(1);
    return byte;
  }
  std::uint32_t Id() {
    std::uint32_t id = 0;
    for (int shift = 0; shift < 32; shift += 8) id |= Byte() << shift;
    return id;
  }
  std::uint32_t Varint(std::uint32_t most) {
    std::uint64_t value = 0;
    for (int shift = 0; shift < 35; shift += 7) {
      const std::uint32_t byte = Byte();
      value |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
      if ((byte & 0x80) != 0) continue;
      // One way to write each number.
      if (value > most || (byte == 0 && shift > 0)) return Fail();
      return static_cast<std::uint32_t>(value);
    }
    return Fail();
  }
  std::uint32_t Fail() {
    good_ = false;
    left_ = {};
    return 0;
  }
  bool good() const { return good_; }
  bool over() const { return left_.empty(); }

 private:
  std::string_view left_;
  bool good_ = true;
};

std::int64_t BucketOf(TimePoint now) { return now.time_since_epoch() / kBucket; }

}  // namespace

const ZoneEvidence* Evidence::Of(ZoneId zone) const {
  const auto it =
      std::find_if(zones.begin(), zones.end(), [&](const ZoneEvidence& z) { return z.zone == zone; });
  return it == zones.end() ? nullptr : &*it;
}

Say SayOf(const ZoneEvidence& e) {
  const std::uint16_t all = std::max<std::uint16_t>(e.upstreams, 1);
  if (e.run >= kRunToSay && e.run_upstreams >= std::min(kRunToSay, all)) return Say::kSilent;
  const std::uint32_t words = e.well + e.full;
  if (e.silent >= kSilentOf && e.silent >= 4 * words) return Say::kSilent;
  return words > 0 ? Say::kWell : Say::kNothing;
}

std::string Write(const Evidence& evidence) {
  const std::size_t count = std::min(evidence.zones.size(), kMostZones);
  std::string bytes{static_cast<char>(kVersion)};
  PutId(bytes, evidence.own);
  bytes.push_back(static_cast<char>(count));
  for (std::size_t i = 0; i < count; ++i) {
    const ZoneEvidence& zone = evidence.zones[i];
    PutId(bytes, zone.zone);
    for (const auto figure : kFigures) PutVarint(bytes, Clamp(zone.*figure));
    bytes.push_back(static_cast<char>(static_cast<std::size_t>(zone.told.phase) << 4 |
                                      std::min<std::size_t>(zone.told.step, kMostStep)));
    bytes.push_back(static_cast<char>(zone.told.losses));
    PutVarint(bytes, zone.told.generation);
    PutVarint(bytes, Clamp(zone.told.held));
  }
  return bytes;
}

std::optional<Evidence> Read(std::string_view bytes) {
  if (bytes.size() > kMostBytes) return std::nullopt;
  Reader reader(bytes);
  if (reader.Byte() != kVersion) return std::nullopt;
  Evidence evidence;
  evidence.own = reader.Id();
  const std::size_t count = reader.Byte();
  if (count > kMostZones) return std::nullopt;
  for (std::size_t i = 0; i < count && reader.good(); ++i) {
    ZoneEvidence zone;
    zone.zone = reader.Id();
    if (i > 0 && zone.zone <= evidence.zones.back().zone) return std::nullopt;
    for (const auto figure : kFigures) zone.*figure = static_cast<std::uint16_t>(reader.Varint(kMostCount));
    const std::uint32_t phase = reader.Byte();
    if (phase >> 4 > static_cast<std::uint32_t>(Phase::kReturning)) return std::nullopt;
    zone.told.phase = static_cast<Phase>(phase >> 4);
    zone.told.step = phase & 0xf;
    zone.told.losses = static_cast<std::uint8_t>(reader.Byte());
    zone.told.generation = reader.Varint(UINT32_MAX);
    zone.told.held = static_cast<std::uint16_t>(reader.Varint(kMostCount));
    if (zone.in_time > zone.well || zone.run_upstreams > zone.run) return std::nullopt;
    evidence.zones.push_back(zone);
  }
  if (!reader.good() || !reader.over()) return std::nullopt;
  return evidence;
}

void Observer::Roll(Zone& zone, TimePoint now) {
  const std::int64_t bucket = BucketOf(now);
  const std::int64_t from = std::max(zone.newest + 1, bucket - static_cast<std::int64_t>(kBuckets) + 1);
  for (std::int64_t b = from; b <= bucket; ++b) zone.buckets[static_cast<std::size_t>(b) % kBuckets] = {};
  zone.newest = std::max(zone.newest, bucket);
}

Observer::Zone* Observer::Find(std::string_view name, TimePoint now) {
  const ZoneId id = IdOf(name);
  auto it = zones_.find(id);
  if (it == zones_.end()) {
    if (zones_.size() >= kMostZones) return nullptr;
    it = zones_.emplace(id, Zone{}).first;
    it->second.newest = BucketOf(now);
  }
  Roll(it->second, now);
  return &it->second;
}

void Observer::SetUpstreams(std::string_view zone, std::size_t count, TimePoint now) {
  if (Zone* z = Find(zone, now)) z->upstreams = count;
}

void Observer::SetTold(std::string_view zone, const Told& told, std::uint64_t best) {
  const auto it = zones_.find(IdOf(zone));
  if (it != zones_.end()) it->second.told = told, it->second.best = best;
}

void Observer::OnSent(std::string_view zone, TimePoint now) {
  Zone* z = Find(zone, now);
  if (z == nullptr) return;
  ++Now(*z).sent;
  ++z->held;
}

void Observer::OnAttemptEnd(const End& end, TimePoint now) {
  Zone* z = Find(end.zone, now);
  if (z == nullptr) return;
  if (end.unsafe) {
    if (!end.final || std::find(counted_.begin(), counted_.end(), end.attempt) != counted_.end()) return;
    counted_.push_back(end.attempt);
    if (counted_.size() > kRemembered) counted_.pop_front();
  }
  if (z->held > 0) --z->held;
  if (end.outcome == Outcome::kCalledOff) return;
  Bucket& bucket = Now(*z);
  const std::uint64_t upstream = Hash(end.upstream);
  if (end.outcome == Outcome::kSilent) {
    ++bucket.silent;
    // Sent before the zone's last word it does not tell what came after it.
    if (z->word && now - end.elapsed < *z->word) return;
    ++z->run;
    if (z->run_of.size() < kMostRun) z->run_of.insert(upstream);
    return;
  }
  ++(end.outcome == Outcome::kFull ? bucket.full : bucket.well);
  if (end.outcome == Outcome::kAnswered && end.in_time) ++bucket.in_time;
  z->run = 0;
  z->run_of.clear();
  z->word = now;
  if (z->reached.size() < kMostReached || z->reached.contains(upstream)) z->reached[upstream] = now;
}

Evidence Observer::Look(TimePoint now) {
  Evidence evidence;
  evidence.own = own_;
  for (auto& [id, zone] : zones_) {
    Roll(zone, now);
    std::erase_if(zone.reached, [&](const auto& entry) { return now - entry.second >= kWindow; });
    Bucket sum;
    for (const Bucket& b : zone.buckets) {
      sum.sent += b.sent;
      sum.well += b.well;
      sum.in_time += b.in_time;
      sum.full += b.full;
      sum.silent += b.silent;
    }
    // A run of which nothing was seen for a window tells of what was, not of what is.
    if (sum.silent == 0) zone.run = 0, zone.run_of.clear();
    ZoneEvidence e;
    e.zone = id;
    e.sent = Clamp(sum.sent);
    e.well = Clamp(sum.well);
    e.in_time = Clamp(sum.in_time);
    e.full = Clamp(sum.full);
    e.silent = Clamp(sum.silent);
    e.run = Clamp(zone.run);
    e.run_upstreams = Clamp(zone.run_of.size());
    e.reached = Clamp(zone.reached.size());
    e.upstreams = Clamp(zone.upstreams);
    e.best = Clamp(zone.best);
    e.held = Clamp(zone.held);
    e.told = zone.told;
    evidence.zones.push_back(e);
  }
  return evidence;
}

std::optional<std::string> Observer::Tell(TimePoint now) {
  if (told_at_ && now - *told_at_ < kLeast) return std::nullopt;
  Evidence evidence = Look(now);
  const auto same = [](const ZoneEvidence& a, const ZoneEvidence& b) {
    return a.zone == b.zone && SayOf(a) == SayOf(b) && a.told.generation == b.told.generation;
  };
  const bool material =
      !std::equal(evidence.zones.begin(), evidence.zones.end(), told_.zones.begin(), told_.zones.end(), same);
  if (told_at_ && !material && now - *told_at_ < kEvery) return std::nullopt;
  told_at_ = now;
  told_ = std::move(evidence);
  return Write(told_);
}

}  // namespace mothrack::zone_failover
