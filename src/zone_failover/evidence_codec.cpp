#include "zone_failover/evidence_codec.h"

#include <algorithm>
#include <array>
#include <cstdint>

namespace mothrack::zone_failover {
namespace {

constexpr std::uint8_t kVersion = 1;
constexpr std::size_t kMaxStep = 15;  // a nibble
constexpr int kMaxVarintBits = 35;    // five bytes of seven bits hold a std::uint32_t

// The counts in encoding order.
constexpr std::array kCounts = {&ZoneEvidence::sent,          &ZoneEvidence::answered,
                                &ZoneEvidence::in_time,       &ZoneEvidence::rejected,
                                &ZoneEvidence::unanswered,    &ZoneEvidence::unanswered_run,
                                &ZoneEvidence::run_upstreams, &ZoneEvidence::responsive_upstreams,
                                &ZoneEvidence::upstreams,     &ZoneEvidence::peak_rate,
                                &ZoneEvidence::in_flight};

std::uint16_t Clamp(std::uint16_t count) { return std::min(count, kMaxCount); }

void PutVarint(std::string& to, std::uint32_t value) {
  for (; value >= 0x80; value >>= 7) to.push_back(static_cast<char>(0x80 | (value & 0x7f)));
  to.push_back(static_cast<char>(value));
}
void PutId(std::string& to, ZoneId id) {
  for (int shift = 0; shift < 32; shift += 8) to.push_back(static_cast<char>(id >> shift));
}

// Reads values in sequence. After the first error valid() is false and all further values are 0.
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
    for (int shift = 0; shift < kMaxVarintBits; shift += 7) {
      const std::uint32_t byte = Byte();
      value |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
      if ((byte & 0x80) != 0) continue;
      // Accept only the shortest encoding of each number.
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

void PutState(std::string& to, const ReportedState& state) {
  to.push_back(static_cast<char>(static_cast<std::size_t>(state.phase) << 4 |
                                 std::min<std::size_t>(state.step, kMaxStep)));
  to.push_back(static_cast<char>(state.losses));
  PutVarint(to, state.generation);
  PutVarint(to, Clamp(state.age_quarters));
}

std::optional<ReportedState> ReadState(Reader& reader) {
  const std::uint32_t phase_and_step = reader.Byte();
  const std::uint32_t phase = phase_and_step >> 4;
  if (phase > static_cast<std::uint32_t>(Phase::kRecovering)) return std::nullopt;
  ReportedState state;
  state.phase = static_cast<Phase>(phase);
  state.step = phase_and_step & 0xf;
  state.losses = static_cast<std::uint8_t>(reader.Byte());
  state.generation = reader.Varint(UINT32_MAX);
  state.age_quarters = static_cast<std::uint16_t>(reader.Varint(kMaxCount));
  return state;
}

}  // namespace

std::string Encode(const Evidence& evidence) {
  const std::size_t zones = std::min(evidence.zones.size(), kMaxZones);
  std::string bytes{static_cast<char>(kVersion)};
  PutId(bytes, evidence.own_zone);
  bytes.push_back(static_cast<char>(zones));
  for (std::size_t i = 0; i < zones; ++i) {
    const ZoneEvidence& zone = evidence.zones[i];
    PutId(bytes, zone.zone);
    for (const auto count : kCounts) PutVarint(bytes, Clamp(zone.*count));
    PutState(bytes, zone.reported);
  }
  return bytes;
}

std::optional<Evidence> Decode(std::string_view bytes) {
  if (bytes.size() > kMaxEvidenceBytes) return std::nullopt;
  Reader reader(bytes);
  if (reader.Byte() != kVersion) return std::nullopt;
  Evidence evidence;
  evidence.own_zone = reader.Id();
  const std::size_t zones = reader.Byte();
  if (zones > kMaxZones) return std::nullopt;
  for (std::size_t i = 0; i < zones && reader.valid(); ++i) {
    ZoneEvidence zone;
    zone.zone = reader.Id();
    if (i > 0 && zone.zone <= evidence.zones.back().zone) return std::nullopt;
    for (const auto count : kCounts) zone.*count = static_cast<std::uint16_t>(reader.Varint(kMaxCount));
    const auto reported = ReadState(reader);
    if (!reported) return std::nullopt;
    zone.reported = *reported;
    if (zone.in_time > zone.answered || zone.run_upstreams > zone.unanswered_run) return std::nullopt;
    evidence.zones.push_back(zone);
  }
  if (!reader.valid() || !reader.at_end()) return std::nullopt;
  return evidence;
}

}  // namespace mothrack::zone_failover
