// Encoding of FreezeState. The order of the fields is the format: changing it requires another
// kEncodingVersion.
#include <array>
#include <utility>

#include "change_freeze/freeze_state.h"

namespace mothrack::change_freeze {

namespace {

constexpr std::uint64_t kEncodingVersion = 1;

// The sets of a footprint in encoding order.
template <typename AnyFootprint>
auto NameSetsOf(AnyFootprint& footprint) {
  return std::array{&footprint.sites, &footprint.zones, &footprint.generations, &footprint.instances};
}

// The texts of a break-glass record in encoding order.
template <typename AnyRecord>
auto TextsOf(AnyRecord& record) {
  return std::array{&record.agent, &record.change, &record.operator_name, &record.reason};
}

}  // namespace

std::string FreezeState::Encode(TimePoint now) const {
  Encoder encoder;
  encoder.Number(kEncodingVersion);
  incidents.Encode(encoder, now);
  EncodePermits(encoder);
  EncodeBreakGlass(encoder);
  return encoder.bytes();
}

void FreezeState::EncodePermits(Encoder& encoder) const {
  encoder.Number(permits_.size());
  for (const Permit& permit : permits_) {
    encoder.Text(permit.change);
    encoder.Enum(permit.kind);
    for (const auto* names : NameSetsOf(permit.footprint)) encoder.Names(*names);
    encoder.Text(permit.requester);
    encoder.Number(permit.remedies.size());
    for (const std::uint64_t id : permit.remedies) encoder.Number(id);
    encoder.Number(permit.batch);
    encoder.Enum(permit.state);
    encoder.Text(permit.reason);
    encoder.Number(permit.ended ? 1 : 0);
  }
}

void FreezeState::EncodeBreakGlass(Encoder& encoder) const {
  encoder.Number(last_break_glass_.size());
  for (const auto& [agent, number] : last_break_glass_) {
    encoder.Text(agent);
    encoder.Number(number);
  }
  encoder.Number(break_glass_.size());
  for (const BreakGlassRecord& record : break_glass_) {
    encoder.Number(record.number);
    for (const auto* text : TextsOf(record)) encoder.Text(*text);
  }
}

std::optional<FreezeState> FreezeState::Decode(const std::string& bytes, TimePoint now) {
  FreezeState state;
  if (bytes.empty()) return state;
  Decoder decoder(bytes);
  if (decoder.Number() != kEncodingVersion || !state.incidents.Decode(decoder, now)) return std::nullopt;
  state.DecodePermits(decoder, now);
  state.DecodeBreakGlass(decoder, bytes.size());
  if (!decoder.done()) return std::nullopt;
  return state;
}

void FreezeState::DecodePermits(Decoder& decoder, TimePoint now) {
  for (auto left = decoder.Number(kMaxPermits); left > 0 && decoder.ok(); --left) {
    Permit permit;
    permit.change = decoder.Text();
    permit.kind = decoder.Enum(ChangeKind::kBreakGlass);
    for (auto* names : NameSetsOf(permit.footprint)) *names = decoder.Names();
    permit.requester = decoder.Text();
    for (auto ids = decoder.Number(kMaxIncidents); ids > 0 && decoder.ok(); --ids)
      permit.remedies.insert(decoder.Number());
    permit.batch = static_cast<std::uint32_t>(decoder.Number(UINT32_MAX));
    permit.state = decoder.Enum(PermitState::kBlocked);
    permit.reason = decoder.Text();
    permit.ended = decoder.Number(1) == 1;
    permit.ended_at = now;
    permit.last_polled = now;
    permits_.push_back(std::move(permit));
  }
}

void FreezeState::DecodeBreakGlass(Decoder& decoder, std::size_t max_agents) {
  for (auto left = decoder.Number(max_agents); left > 0 && decoder.ok(); --left) {
    const std::string agent = decoder.Text();
    last_break_glass_[agent] = decoder.Number();
  }
  for (auto left = decoder.Number(kMaxBreakGlassRecords); left > 0 && decoder.ok(); --left) {
    BreakGlassRecord record;
    record.number = decoder.Number();
    for (auto* text : TextsOf(record)) *text = decoder.Text();
    break_glass_.push_back(std::move(record));
  }
}

}  // namespace mothrack::change_freeze
